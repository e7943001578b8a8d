//! A streamed response: its frames go to the [`StreamForwarder`], its last lines are buffered for the usage and the
//! load that they report, and it can migrate to another process between two frames.

use super::exchange::{reason_may_have_run, CloseGuard, ResponseHead};
use super::usage::{load_from_headers, parse_tail};
use crate::backend::attempt::{AttemptResult, StreamForwarder};
use crate::backend::tracked_connection::TrackedConnection;
use crate::dispatcher::EndReason;
use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{header, HeaderMap};
use slog::{debug, Logger};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

/// Bytes read from an endpoint pass through the HTTP client within this time.
const MAX_CLIENT_DELAY: Duration = Duration::from_millis(300);
/// How many of a stream's last bytes are buffered for the usage and the load report in them.
const TAIL_BYTES: usize = 4096;

/// What the body gave next: a frame, its end, or an error.
type NextFrame = Option<hyper::Result<Frame<Bytes>>>;

/// What a stream does next.
enum StreamStep {
    Frame(NextFrame),
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

struct ResponseStream<'a> {
    body: Incoming,
    forwarder: StreamForwarder,
    received_bytes: u64,
    tail: Vec<u8>,
    log: &'a Logger,
}

/// Forwards a streamed response to its end. The guard is disarmed when the first event has come.
pub(super) async fn forward_stream(
    head: ResponseHead,
    deadline: Instant,
    forwarder: StreamForwarder,
    mut guard: CloseGuard,
    log: &Logger,
) -> AttemptResult {
    let header_load = load_from_headers(head.response.headers());
    if !is_event_stream(head.response.headers()) {
        return AttemptResult {
            load: header_load,
            ..EndReason::UnreadableResponse.into()
        };
    }
    let mut stream = ResponseStream {
        body: head.response.into_body(),
        forwarder,
        received_bytes: 0,
        tail: Vec::new(),
        log,
    };
    match stream.run(deadline, head.connection, &mut guard).await {
        Ok(StreamEnd::Completed) => {}
        Ok(StreamEnd::Migrated) => return EndReason::Served.into(),
        Err(reason) => return reason.into(),
    }
    guard.disarm();
    if let Err(reason) = stream.forwarder.finish().await {
        return AttemptResult {
            load: header_load,
            ..reason.into()
        };
    }
    let report = parse_tail(&stream.tail);
    AttemptResult {
        reason: EndReason::Served,
        cached_tokens: report.cached_tokens,
        completion_tokens: report.completion_tokens,
        load: report.load.or(header_load),
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.starts_with("text/event-stream"))
}

impl ResponseStream<'_> {
    /// Forwards frames until the stream ends or migrates.
    async fn run(
        &mut self,
        deadline: Instant,
        mut connection: Option<Arc<TrackedConnection>>,
        guard: &mut CloseGuard,
    ) -> Result<StreamEnd, EndReason> {
        loop {
            let step = tokio::select! {
                biased;
                frame = self.forwarder.next(deadline, self.body.frame()) => StreamStep::Frame(frame?),
                turn = self.forwarder.migration_turn(), if connection.is_some() => StreamStep::Migrate(turn),
            };
            match step {
                StreamStep::Frame(frame) => {
                    if self.forward_frame(frame).await? == StreamProgress::Ended {
                        return Ok(StreamEnd::Completed);
                    }
                    if self.forwarder.has_started() {
                        guard.disarm();
                    }
                }
                StreamStep::Migrate(_turn) => {
                    // It is tried once: a stream that can't migrate now can't later.
                    let Some(connection) = connection.take() else {
                        continue;
                    };
                    if self.migrate(&connection).await? {
                        return Ok(StreamEnd::Migrated);
                    }
                    connection.resume_reading();
                }
            }
        }
    }

    async fn forward_frame(&mut self, frame: NextFrame) -> Result<StreamProgress, EndReason> {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                debug!(self.log, "response stream broken"; "error" => ?error);
                return Err(reason_may_have_run(&error));
            }
            None => return Ok(StreamProgress::Ended),
        };
        if let Ok(data) = frame.into_data() {
            self.received_bytes += data.len() as u64;
            self.buffer_tail(&data);
            self.forwarder.forward(&data).await?;
        }
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
    async fn migrate(&mut self, connection: &TrackedConnection) -> Result<bool, EndReason> {
        connection.pause_reading();
        let deadline = Instant::now() + MAX_CLIENT_DELAY;
        loop {
            let Some((decoder, read_bytes)) = connection.response_body() else {
                return Ok(false);
            };
            if decoder.ended() {
                return Ok(false);
            }
            if read_bytes == self.received_bytes {
                let Some(descriptor) = connection.duplicate_descriptor() else {
                    return Ok(false);
                };
                return Ok(self.forwarder.migrate(descriptor, decoder).await);
            }
            // Bytes that were read and have not come here yet need only the connection's own task.
            let Ok(frame) = timeout_at(deadline, self.body.frame()).await else {
                return Ok(false);
            };
            if self.forward_frame(frame).await? == StreamProgress::Ended {
                return Ok(false);
            }
        }
    }
}
