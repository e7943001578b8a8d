//! One attempt at an endpoint, over either wire protocol: its request, its result, and the forwarding of its stream.
//!
//! The [`StreamForwarder`] reports the first event to the dispatcher, which then decides whether this attempt serves
//! the client. Until the stream ends, only complete events are forwarded. The bytes after the last event follow once
//! the stream has ended without an error.

use super::event_stream::{EventSplitter, MalformedEvent};
use super::unread_window::UnreadWindow;
use crate::dispatcher::{
    DispatcherHandle, EndReason, Event, StreamChunk, UpstreamRequest, MAX_QUEUED_CHUNKS,
};
use crate::net::message_framing::ChunkedDecoder;
use crate::routing::api::{LoadReport, RequestId};
use crate::upgrade::stream_migration::{MigrationSignal, OfferClaim, UpstreamHalf, UpstreamState};
use bytes::Bytes;
use slog::{info, Logger};
use std::future::Future;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// A stream that yields no complete event within this time counts as broken, unless an event is still being written.
/// Clients must learn of it within 5 s. A busy endpoint may pause for nearly as long, and such a stream must not be cut.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4700);

/// An event is being written as long as its next bytes arrive within this time. It is shorter than
/// [`STREAM_IDLE_TIMEOUT`], so that a stream that stops within the event after its last one ends in time, too.
const PARTIAL_EVENT_TIMEOUT: Duration = Duration::from_millis(3000);

/// An offer to migrate that is not claimed within this time is withdrawn. Events wait during the offer, and no event
/// may be delayed by 0.3 s.
const OFFER_TIMEOUT: Duration = Duration::from_millis(80);
/// The delay before a stream that could not migrate tries again.
const MIGRATION_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request's id in this process.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// An idle connection or session, or a new one.
    AllowPooled,
    /// Only a new one. The endpoint may be closing an idle one, and a request that fails there may have run.
    RequireNew,
}

/// One attempt, as requested by the dispatcher.
pub struct AttemptRequest {
    /// The request's id in this process.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u32,
    /// The endpoint's socket address.
    pub address: Arc<str>,
    /// What is sent to the endpoint.
    pub upstream: UpstreamRequest,
    /// The time limit from the attempt's start to its first event, or to its whole prefill response.
    pub timeout: Duration,
    /// Which connection the attempt may use.
    pub connection: ConnectionPolicy,
}

impl AttemptRequest {
    /// Returns the attempt's key.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            id: self.id,
            attempt: self.attempt,
        }
    }
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Why the attempt ended; also gives its status.
    pub reason: EndReason,
    /// The prompt tokens found in the prefix cache; 0 if not reported.
    pub cached_tokens: f64,
    /// The tokens of the completion; 0 if not reported.
    pub completion_tokens: f64,
    /// The endpoint's load; `None` if not reported.
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

/// Forwards the complete events of a stream as they arrive. The first event is reported to the dispatcher, which
/// decides which attempt serves the client. Bytes that complete no event are held back, because they may never become
/// one.
pub struct StreamForwarder {
    dispatcher: DispatcherHandle,
    key: AttemptKey,
    /// The queue to the client's side; `None` before the first event.
    chunks: Option<mpsc::Sender<StreamChunk>>,
    is_committed: Arc<AtomicBool>,
    /// The part of the stream that waits for the client.
    unread: UnreadWindow,
    events: EventSplitter,
    last_event_at: Instant,
    /// When bytes of an incomplete event last arrived.
    last_partial_event_at: Instant,
    /// The stream does not try to migrate before this time.
    next_migration_at: Instant,
    migration: MigrationSignal,
    log: Logger,
}

impl StreamForwarder {
    /// Creates a forwarder for an attempt whose stream has not started.
    pub fn new(
        dispatcher: DispatcherHandle,
        key: AttemptKey,
        migration: MigrationSignal,
        log: Logger,
    ) -> Self {
        StreamForwarder {
            dispatcher,
            key,
            chunks: None,
            is_committed: Arc::default(),
            unread: UnreadWindow::new(),
            events: EventSplitter::default(),
            last_event_at: Instant::now(),
            last_partial_event_at: Instant::now(),
            next_migration_at: Instant::now(),
            migration,
            log,
        }
    }

    /// Turns this into the forwarder of a received stream. The stream counts as started, and the time since its last
    /// event includes the time in the other process.
    pub fn resume(mut self, chunks: mpsc::Sender<StreamChunk>, state: &UpstreamState) -> Self {
        self.events = EventSplitter::resume(&state.partial_event);
        self.chunks = Some(chunks);
        self.is_committed.store(true, Ordering::Relaxed);
        if let Some(last_event_at) = self.last_event_at.checked_sub(state.idle_for) {
            self.last_event_at = last_event_at;
            // The other process does not tell when the last bytes of a partial event arrived.
            if state.partial_event.is_empty() {
                self.last_partial_event_at = last_event_at;
            }
        }
        self
    }

    /// Whether the first event has arrived. From then on the attempt's timeout no longer applies.
    pub fn has_started(&self) -> bool {
        self.chunks.is_some()
    }

    /// Returns a flag that is set when the first event is reported to the dispatcher. From then on a cancel must not
    /// end the stream.
    pub fn committed_flag(&self) -> Arc<AtomicBool> {
        self.is_committed.clone()
    }

    /// Returns the output of `next`, or why the attempt ended before `next` completed. Before the first event
    /// `deadline` applies. After it, each event must follow within `STREAM_IDLE_TIMEOUT`, or its bytes within
    /// `PARTIAL_EVENT_TIMEOUT` of each other, and the attempt ends when the client disconnects.
    pub async fn next<T>(
        &self,
        deadline: Instant,
        next: impl Future<Output = T>,
    ) -> Result<T, EndReason> {
        let (limit, reason) = if self.has_started() {
            let event_limit = self.last_event_at + STREAM_IDLE_TIMEOUT;
            let partial_event_limit = self.last_partial_event_at + PARTIAL_EVENT_TIMEOUT;
            (
                event_limit.max(partial_event_limit),
                EndReason::StreamIdleTimeout,
            )
        } else {
            (deadline, EndReason::Timeout)
        };
        tokio::select! {
            next = timeout_at(limit, next) => next.map_err(|_| self.log_abandoned("idle timeout", reason)),
            () = self.client_disconnected() => Err(EndReason::ClientDisconnected),
        }
    }

    /// Waits until streams should migrate, any delay by [`postpone_migration`](Self::postpone_migration) is over, and a
    /// permit is free. The permits limit how many streams migrate at once; this one must be held until the try has
    /// ended. The future does not borrow the forwarder, so that it keeps its place in the queue while events are
    /// forwarded.
    pub fn migration_permit(&self) -> impl Future<Output = OwnedSemaphorePermit> + use<> {
        let signal = self.migration.clone();
        let next_migration_at = self.next_migration_at;
        async move {
            sleep_until(next_migration_at).await;
            signal.acquire().await
        }
    }

    /// Delays the next try to migrate by `MIGRATION_RETRY_INTERVAL`.
    pub fn postpone_migration(&mut self) {
        self.next_migration_at = Instant::now() + MIGRATION_RETRY_INTERVAL;
    }

    /// Whether a chunk can be forwarded without waiting for the client.
    pub fn can_forward_now(&self) -> bool {
        let chunks = self.chunks.as_ref();
        chunks.is_some_and(|chunks| chunks.capacity() > 0) && self.unread.is_free()
    }

    /// Offers the upstream connection for migration, queued after all chunks forwarded so far. Returns whether the
    /// stream has migrated. Otherwise it continues in this process, and tries again later.
    pub async fn migrate(&mut self, upstream: OwnedFd, chunks: ChunkedDecoder) -> bool {
        let (migrated, mut was_migrated) = oneshot::channel();
        let claim = OfferClaim::default();
        let half = UpstreamHalf {
            upstream,
            state: UpstreamState {
                chunks,
                partial_event: self.events.partial_event(),
                idle_for: self.last_event_at.elapsed(),
            },
            claim: claim.clone(),
            migrated,
        };
        let offer = async {
            if let Some(chunks) = &self.chunks {
                let _ = chunks.send(StreamChunk::Migrate(half)).await;
            }
            (&mut was_migrated).await.unwrap_or(false)
        };
        let has_migrated = match timeout(OFFER_TIMEOUT, offer).await {
            Ok(has_migrated) => has_migrated,
            // The offer is still queued, because the client reads slowly. Claiming it here withdraws it.
            Err(_) if claim.claim() => false,
            // The offer is being sent. Its sender either completes the migration or withdraws the offer in time.
            Err(_) => was_migrated.await.unwrap_or(false),
        };
        self.postpone_migration();
        has_migrated
    }

    /// Logs why a started stream stays incomplete although its connection did not break, and returns `reason`.
    fn log_abandoned(&self, cause: &str, reason: EndReason) -> EndReason {
        if self.has_started() {
            info!(self.log, "stream abandoned"; "id" => self.key.id, "attempt" => self.key.attempt, "cause" => cause,
                "since_last_event_ms" => self.last_event_at.elapsed().as_millis() as u64);
        }
        reason
    }

    async fn client_disconnected(&self) {
        match &self.chunks {
            Some(chunks) => chunks.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Adds bytes and forwards the events that they complete. An error is the reason for which the attempt ended: the
    /// client disconnected, or the stream is malformed.
    pub async fn forward(&mut self, data: &[u8]) -> Result<(), EndReason> {
        let events = self.events.push(data).map_err(|MalformedEvent| {
            self.log_abandoned("malformed event", EndReason::MalformedStream)
        })?;
        self.send_chunk(events).await?;
        if !data.is_empty() && self.events.is_within_event() {
            self.last_partial_event_at = Instant::now();
        }
        Ok(())
    }

    async fn send_chunk(&mut self, data: Bytes) -> Result<(), EndReason> {
        if data.is_empty() {
            return Ok(());
        }
        let data = tokio::select! {
            data = self.unread.admit(data) => data,
            () = self.client_disconnected() => return Err(EndReason::ClientDisconnected),
        };
        let chunk = StreamChunk::Data(data);
        match &self.chunks {
            Some(chunks) => {
                let sent = chunks.send(chunk).await;
                sent.map_err(|_| EndReason::ClientDisconnected)?;
            }
            None => self.start(chunk).await,
        }
        self.last_event_at = Instant::now();
        Ok(())
    }

    /// Reports the first event to the dispatcher, with the receiver of the stream's chunks.
    async fn start(&mut self, first_chunk: StreamChunk) {
        let (chunks, stream) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let _ = chunks.try_send(first_chunk); // the channel is new and empty
        self.chunks = Some(chunks);
        self.is_committed.store(true, Ordering::Relaxed);
        let event = Event::FirstEvent {
            id: self.key.id,
            attempt: self.key.attempt,
            stream,
        };
        self.dispatcher.send(event).await;
    }

    /// Forwards the bytes after the last event, then [`StreamChunk::End`], without which the stream counts as broken. A
    /// stream without any event is not a valid response.
    pub async fn finish(mut self) -> Result<(), EndReason> {
        let rest = std::mem::take(&mut self.events).finish();
        let rest = rest.map_err(|MalformedEvent| {
            self.log_abandoned("malformed end", EndReason::MalformedStream)
        })?;
        if !self.has_started() {
            return Err(EndReason::UnreadableResponse);
        }
        self.send_chunk(rest).await?;
        if let Some(chunks) = self.chunks {
            let _ = chunks.send(StreamChunk::End).await;
        }
        Ok(())
    }
}
