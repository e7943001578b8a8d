//! One attempt at a node, whatever its wire: what is sent, how it ended, and the passing on of its stream.

use super::event_stream::{EventStream, MalformedEvent};
use crate::dispatcher::{DispatcherHandle, EndReason, Event, StreamChunk, UpstreamRequest};
use crate::net::message_framing::ChunkedDecoder;
use crate::routing::api::{LoadReport, RequestId};
use crate::upgrade::stream_migration::{MigrationSignal, UpstreamHalf};
use bytes::Bytes;
use slog::{info, Logger};
use std::future::Future;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Pieces of a stream that may wait for a slow client before its node is read no further.
const PIECES: usize = 4;
/// A stream without a whole event for so long has broken, whether its node is silent or sends what is none. A client may wait
/// 5 s for that; a node that runs and has much to do may be silent for nearly as long, and a stream that goes on is not cut.
const SILENCE: Duration = Duration::from_millis(4700);

/// One attempt, as the core commanded it.
pub struct AttemptRequest {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: u32,
    /// The node's address.
    pub address: Arc<str>,
    /// What it is given.
    pub work: UpstreamRequest,
    /// How long the first event is waited for.
    pub timeout: Duration,
    /// It goes on a connection of its own.
    pub alone: bool,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Why, and with what outcome.
    pub reason: EndReason,
    /// Prompt tokens found in the prefix cache, where that was reported.
    pub cached_tokens: f64,
    /// Tokens of the completion, where that was reported.
    pub completion_tokens: f64,
    /// The node's load, where it was told.
    pub load: Option<LoadReport>,
}

impl From<EndReason> for AttemptResult {
    fn from(reason: EndReason) -> Self {
        AttemptResult {
            reason,
            cached_tokens: 0.0,
            completion_tokens: 0.0,
            load: None,
        }
    }
}

/// Passes a stream on, event by event as they come. The first one tells the core, which decides whose it is;
/// bytes that are no event yet may never become one, and commit nothing.
pub struct StreamForwarder {
    door: DispatcherHandle,
    id: RequestId,
    attempt: u32,
    pieces: Option<mpsc::Sender<StreamChunk>>,
    mark: Arc<AtomicBool>,
    events: EventStream,
    last: Instant,
    moving: MigrationSignal,
    log: Logger,
}

impl StreamForwarder {
    /// For this attempt.
    pub fn new(
        door: DispatcherHandle,
        trial: &AttemptRequest,
        moving: MigrationSignal,
        log: Logger,
    ) -> Self {
        StreamForwarder {
            door,
            id: trial.id,
            attempt: trial.attempt,
            pieces: None,
            mark: Arc::default(),
            events: EventStream::default(),
            last: Instant::now(),
            moving,
            log,
        }
    }

    /// Whether a first event came; it stops the time-out.
    pub fn begun(&self) -> bool {
        self.pieces.is_some()
    }

    /// Turns true when the core is told of a first event: from then on a cancel comes too late.
    pub fn mark(&self) -> Arc<AtomicBool> {
        self.mark.clone()
    }

    /// What comes next from the node, or how the attempt has ended instead: before a first event the time-out
    /// holds, later the time within which each event has to come; and a stream that nobody wants any more ends.
    pub async fn next<T>(
        &self,
        until: Instant,
        next: impl Future<Output = T>,
    ) -> Result<T, EndReason> {
        let (limit, ended) = match self.begun() {
            true => (self.last + SILENCE, EndReason::StreamIdleTimeout),
            false => (until, EndReason::Timeout),
        };
        tokio::select! {
            next = timeout_at(limit, next) => next.map_err(|_| self.given_up("silent", ended)),
            () = self.abandoned() => Err(EndReason::ClientDisconnected),
        }
    }

    /// Waits until the stream is to move to another process, and for its turn; for ever, before it has begun.
    pub async fn to_move(&self) -> OwnedSemaphorePermit {
        match self.begun() {
            true => self.moving.acquire().await,
            false => std::future::pending().await,
        }
    }

    /// Offers the node's side, behind all that was passed on. True when it has moved: nothing of it is left here.
    pub async fn moves(&self, node: OwnedFd, chunks: ChunkedDecoder) -> bool {
        let (moved, told) = oneshot::channel();
        let half = UpstreamHalf {
            upstream: node,
            chunks,
            partial_event: self.events.part(),
            migrated: moved,
        };
        match &self.pieces {
            Some(pieces) if pieces.send(StreamChunk::Migrate(half)).await.is_ok() => {
                told.await.unwrap_or(false)
            }
            _ => false,
        }
    }

    /// Nothing broke, and yet the attempt is over: of a stream that has begun, whose client now gets no whole answer,
    /// the log tells why.
    fn given_up(&self, why: &str, reason: EndReason) -> EndReason {
        if self.begun() {
            info!(self.log, "a stream is given up"; "id" => self.id, "attempt" => self.attempt, "why" => why,
                "since_last_event_ms" => self.last.elapsed().as_millis() as u64);
        }
        reason
    }

    async fn abandoned(&self) {
        match &self.pieces {
            Some(pieces) => pieces.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Takes what came and passes on the events that are whole. An error is how the attempt has ended: nobody
    /// wants the stream any more, or it is spoilt.
    pub async fn data(&mut self, data: &[u8]) -> Result<(), EndReason> {
        let whole = self
            .events
            .take(data)
            .map_err(|MalformedEvent| self.given_up("spoilt", EndReason::MalformedStream))?;
        self.pass(whole).await
    }

    async fn pass(&mut self, data: Bytes) -> Result<(), EndReason> {
        if data.is_empty() {
            return Ok(());
        }
        match &self.pieces {
            Some(pieces) => pieces
                .send(StreamChunk::Data(data))
                .await
                .map_err(|_| EndReason::ClientDisconnected)?,
            None => {
                let (pieces, stream) = mpsc::channel(PIECES);
                let _ = pieces.try_send(StreamChunk::Data(data)); // the channel is new and empty
                self.pieces = Some(pieces);
                self.mark.store(true, Ordering::Relaxed);
                self.door
                    .send(Event::FirstEvent {
                        id: self.id,
                        attempt: self.attempt,
                        stream,
                    })
                    .await;
            }
        }
        self.last = Instant::now();
        Ok(())
    }

    /// Passes the good end on, with what came after the last event. Without it, whoever reads the stream takes
    /// it as broken. A stream without an event is no answer.
    pub async fn end(mut self) -> Result<(), EndReason> {
        let rest = std::mem::take(&mut self.events).rest();
        let rest = rest.map_err(|MalformedEvent| {
            self.given_up("spoilt at its end", EndReason::MalformedStream)
        })?;
        if !self.begun() {
            return Err(EndReason::UnreadableResponse);
        }
        self.pass(rest).await?;
        if let Some(pieces) = self.pieces {
            let _ = pieces.send(StreamChunk::End).await;
        }
        Ok(())
    }
}

/// Reads a load report: `TEXT inflight=7, queue=2`. What is not known is disregarded.
pub fn parse_load(text: &str) -> Option<LoadReport> {
    let text = text.trim();
    let text = text
        .strip_prefix("Endpoint-Load-Metrics:")
        .unwrap_or(text)
        .trim_start();
    let mut load = LoadReport::default();
    let mut any = false;
    for pair in text.strip_prefix("TEXT")?.split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let Some(value) = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite())
        else {
            continue;
        };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queued = Some(value),
            "x0" => load.kv_memory_share = Some(value),
            "x1" => load.pending_prefill_kilotokens = Some(value),
            _ => continue,
        }
        any = true;
    }
    any.then_some(load)
}
