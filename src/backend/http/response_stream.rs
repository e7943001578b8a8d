//! Forwards a streamed response to the [`StreamForwarder`], for requests of this process and for received streams.
//!
//! The last lines are buffered for the usage and the load that they report. Between two reads the stream can migrate to
//! another process.

use super::exchange::{CloseGuard, ResponseHead};
use super::stream_source::{HttpClientSource, ReceivedSource, SourcePosition, StreamSource};
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

/// How long a migration waits for the HTTP client to return bytes that were already read from the socket.
const MAX_HTTP_CLIENT_DELAY: Duration = Duration::from_millis(30);
/// The number of a stream's last bytes that are buffered, to parse the usage and the load report in them.
const TAIL_BYTES: usize = 4096;

/// The next data of a source: bytes, an error, or `None` at the end of the body.
type NextData = Option<Result<Bytes, EndReason>>;

/// The next step of a stream.
enum StreamStep {
    Data(NextData),
    /// The stream should try to migrate, and holds the permit meanwhile.
    Migrate(OwnedSemaphorePermit),
}

/// Whether a stream continues after a step.
#[derive(PartialEq)]
enum StreamProgress {
    Continues,
    Ended,
}

/// How a stream ended without an error.
enum StreamEnd {
    Completed,
    Migrated,
}

/// A streamed response that is being forwarded.
struct ResponseStream {
    source: StreamSource,
    forwarder: StreamForwarder,
    /// The last bytes forwarded, at most [`TAIL_BYTES`].
    tail: Vec<u8>,
}

/// Forwards a streamed response to its end. Disarms the guard once the first event has arrived.
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
    let source = StreamSource::HttpClient(HttpClientSource::new(head, log.clone()));
    let stream = ResponseStream::new(source, forwarder);
    stream.forward_to_end(deadline, guard, header_load).await
}

/// Forwards a received stream to its end. The other process has already forwarded its first event.
pub(super) async fn forward_received_stream(
    upstream: ReceivedUpstream,
    forwarder: StreamForwarder,
) -> AttemptResult {
    let source = ReceivedSource::new(upstream.socket, upstream.state.chunks);
    let mut stream = ResponseStream::new(StreamSource::Received(source), forwarder);
    // The received partial event may contain complete events that the sender's version did not forward.
    if let Err(reason) = stream.forwarder.forward(&[]).await {
        return reason.into();
    }
    let no_deadline = Instant::now(); // unused: it applies only before the first event
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

    /// Forwards the stream until it ends or migrates, and returns the attempt's result. `deadline` applies until the
    /// first event. `header_load` is the load report of the response's head, used if the stream's last lines have none.
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
            // Data does not restart the wait for the permit, so that the stream keeps its place in the queue.
            let mut permit = pin!(self.forwarder.migration_permit());
            loop {
                let step = tokio::select! {
                    biased;
                    data = self.forwarder.next(deadline, self.source.next_data()) => StreamStep::Data(data?),
                    permit = permit.as_mut(), if self.forwarder.has_started() => StreamStep::Migrate(permit),
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
                    StreamStep::Migrate(_permit) => {
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

    /// Forwards the next data of the source. Returns `Ended` at the end of the body. An error is the reason for which
    /// the attempt ended: the source failed, the stream is malformed, or the client disconnected.
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

    /// Tries to migrate the stream: pauses reading, forwards the bytes already read, then offers the connection.
    /// Returns whether the stream has migrated; reading stays paused in either case.
    async fn migrate(&mut self) -> Result<bool, EndReason> {
        self.source.pause();
        let deadline = Instant::now() + MAX_HTTP_CLIENT_DELAY;
        loop {
            match self.source.position() {
                SourcePosition::CaughtUp { upstream, chunks } => {
                    return Ok(self.forwarder.migrate(upstream, chunks).await);
                }
                // With a stalled client, forwarding would block and keep the permit from other streams.
                SourcePosition::Behind if self.forwarder.can_forward_now() => {}
                SourcePosition::Behind | SourcePosition::Unknown => {
                    self.forwarder.postpone_migration();
                    return Ok(false);
                }
            }
            // Bytes that were read already arrive without further I/O, through the connection's own task.
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
