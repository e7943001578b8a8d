//! A streamed response: its data goes to the [`StreamForwarder`], its last lines are buffered for the usage and the
//! load that they report, and it can migrate to another process between two pieces of data. One implementation serves
//! responses to requests of this process and those that another one has handed over.

use super::exchange::{CloseGuard, ResponseHead};
use super::stream_source::{ClientSource, ReceivedSource, SourcePosition, StreamSource};
use super::usage::{load_from_headers, parse_stream_tail};
use crate::backend::attempt::{AttemptResult, StreamForwarder};
use crate::dispatcher::EndReason;
use crate::routing::api::LoadReport;
use crate::upgrade::stream_migration::ReceivedUpstream;
use bytes::Bytes;
use hyper::{header, HeaderMap};
use slog::Logger;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

/// Bytes read from an endpoint pass through the HTTP client within this time.
const MAX_CLIENT_DELAY: Duration = Duration::from_millis(30);
/// How many of a stream's last bytes are buffered for the usage and the load report in them.
const TAIL_BYTES: usize = 4096;

/// What the source gave next: data, its end, or an error.
type NextData = Option<Result<Bytes, EndReason>>;

/// What a stream does next.
enum StreamStep {
    Data(NextData),
    /// It is this stream's turn to migrate. The turn ends when the permit is dropped.
    Migrate(OwnedSemaphorePermit),
}

/// Whether a stream goes on here.
#[derive(PartialEq)]
enum StreamProgress {
    Continues,
    Ended,
}

/// Where a stream has ended well.
enum StreamEnd {
    Completed,
    Migrated,
}

struct ResponseStream {
    source: StreamSource,
    forwarder: StreamForwarder,
    tail: Vec<u8>,
}

/// Forwards a streamed response to its end. The guard is disarmed when the first event has come.
pub(super) async fn forward_stream(
    head: ResponseHead,
    deadline: Instant,
    forwarder: StreamForwarder,
    guard: CloseGuard,
    log: &Logger,
) -> AttemptResult {
    let header_load = load_from_headers(head.response.headers());
    if !is_event_stream(head.response.headers()) {
        return AttemptResult {
            load: header_load,
            ..EndReason::UnreadableResponse.into()
        };
    }
    let source = StreamSource::Client(ClientSource::new(head, log.clone()));
    let stream = ResponseStream::new(source, forwarder);
    stream.forward_to_end(deadline, guard, header_load).await
}

/// Goes on with a streamed response that another process has begun. Its first event has come there.
pub(super) async fn forward_received_stream(
    upstream: ReceivedUpstream,
    forwarder: StreamForwarder,
) -> AttemptResult {
    let source = ReceivedSource::new(upstream.socket, upstream.state.chunks);
    let mut stream = ResponseStream::new(StreamSource::Received(source), forwarder);
    // The frame's partial event may hold whole ones, where the sender's version did not forward them.
    if let Err(reason) = stream.forwarder.forward(&[]).await {
        return reason.into();
    }
    let no_deadline = Instant::now(); // it holds before the first event only
    stream
        .forward_to_end(no_deadline, CloseGuard::default(), None)
        .await
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

impl ResponseStream {
    fn new(source: StreamSource, forwarder: StreamForwarder) -> ResponseStream {
        ResponseStream {
            source,
            forwarder,
            tail: Vec::new(),
        }
    }

    async fn forward_to_end(
        mut self,
        deadline: Instant,
        mut guard: CloseGuard,
        header_load: Option<LoadReport>,
    ) -> AttemptResult {
        match self.run(deadline, &mut guard).await {
            Ok(StreamEnd::Completed) => {}
            Ok(StreamEnd::Migrated) => {
                self.source.release();
                return EndReason::Migrated.into();
            }
            Err(reason) => return reason.into(),
        }
        guard.disarm();
        if let Err(reason) = self.forwarder.finish().await {
            return AttemptResult {
                load: header_load,
                ..reason.into()
            };
        }
        let report = parse_stream_tail(&self.tail);
        AttemptResult {
            reason: EndReason::Served,
            cached_tokens: report.cached_tokens,
            completion_tokens: report.completion_tokens,
            load: report.load.or(header_load),
        }
    }

    /// Forwards data until the stream ends or migrates.
    async fn run(
        &mut self,
        deadline: Instant,
        guard: &mut CloseGuard,
    ) -> Result<StreamEnd, EndReason> {
        loop {
            // A turn that was waited for is kept over the data that comes meanwhile.
            let mut turn = pin!(self.forwarder.migration_turn());
            loop {
                let step = tokio::select! {
                    biased;
                    data = self.forwarder.next(deadline, self.source.next_data()) => StreamStep::Data(data?),
                    turn = turn.as_mut(), if self.forwarder.has_started() => StreamStep::Migrate(turn),
                };
                match step {
                    StreamStep::Data(data) => {
                        if self.forward_data(data).await? == StreamProgress::Ended {
                            return Ok(StreamEnd::Completed);
                        }
                        if self.forwarder.has_started() {
                            guard.disarm();
                        }
                    }
                    StreamStep::Migrate(_turn) => {
                        if self.migrate().await? {
                            return Ok(StreamEnd::Migrated);
                        }
                        self.source.resume();
                        break;
                    }
                }
            }
        }
    }

    async fn forward_data(&mut self, data: NextData) -> Result<StreamProgress, EndReason> {
        let Some(data) = data else {
            return Ok(StreamProgress::Ended);
        };
        let data = data?;
        self.buffer_tail(&data);
        self.forwarder.forward(&data).await?;
        Ok(StreamProgress::Continues)
    }

    fn buffer_tail(&mut self, data: &[u8]) {
        let newest = &data[data.len().saturating_sub(TAIL_BYTES)..];
        self.tail.extend_from_slice(newest);
        let excess = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..excess);
    }

    /// Hands the connection to another process: nothing more is read from it, and what was read is forwarded first.
    /// Returns whether the stream goes on there; reading is still paused then.
    async fn migrate(&mut self) -> Result<bool, EndReason> {
        self.source.pause();
        let deadline = Instant::now() + MAX_CLIENT_DELAY;
        loop {
            match self.source.position() {
                SourcePosition::Reached { upstream, chunks } => {
                    return Ok(self.forwarder.migrate(upstream, chunks).await);
                }
                // While the client is stalled a forward would wait for it, and others for this stream's turn.
                SourcePosition::Behind if self.forwarder.can_forward_now() => {}
                SourcePosition::Behind | SourcePosition::Unknown => {
                    self.forwarder.postpone_migration();
                    return Ok(false);
                }
            }
            // Bytes that were read and have not come here yet need only the connection's own task.
            let Ok(data) = timeout_at(deadline, self.source.next_data()).await else {
                self.forwarder.postpone_migration();
                return Ok(false);
            };
            let has_ended = data.is_none();
            self.forward_data(data).await?;
            if has_ended {
                return Ok(false);
            }
        }
    }
}
