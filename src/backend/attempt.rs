//! One attempt at an endpoint, on either wire protocol: what is sent, how it ended, and the forwarding of its stream.

use super::event_stream::{EventSplitter, MalformedEvent};
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

/// A stream without a whole event for so long has broken, whether its endpoint is silent or sends bytes that make no
/// event. A client may wait 5 s for that. A busy endpoint may be silent for nearly as long, and a stream that goes on
/// must not be cut.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4700);

/// An offer to migrate that nobody has taken after so long is withdrawn: no event may be held back by 0.3 s.
const OFFER_TIMEOUT: Duration = Duration::from_millis(80);
/// A stream that could not migrate tries again after this.
const MIGRATION_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Names one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, among those of the request.
    pub attempt: u32,
}

/// Which connection a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// An idle connection or session, or a new one.
    AllowPooled,
    /// Only a new one: the endpoint may have closed an idle one already, and what breaks there may have run.
    RequireNew,
}

/// One attempt, as the dispatcher commanded it.
pub struct AttemptRequest {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, among those of the request.
    pub attempt: u32,
    /// The endpoint's address.
    pub address: Arc<str>,
    /// What is sent to the endpoint.
    pub upstream: UpstreamRequest,
    /// How long the first event is waited for.
    pub timeout: Duration,
    /// Which connection it may use.
    pub connection: ConnectionPolicy,
}

impl AttemptRequest {
    /// The attempt's key.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            id: self.id,
            attempt: self.attempt,
        }
    }
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Why it ended, and with which outcome.
    pub reason: EndReason,
    /// Prompt tokens found in the prefix cache; 0 where that was not reported.
    pub cached_tokens: f64,
    /// Tokens of the completion; 0 where that was not reported.
    pub completion_tokens: f64,
    /// The endpoint's load, where it was reported.
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

/// Forwards a stream event by event, as they come. The first event is reported to the dispatcher, which decides which
/// attempt serves the client. Bytes that make no event yet may never make one, and commit nothing.
pub struct StreamForwarder {
    dispatcher: DispatcherHandle,
    key: AttemptKey,
    chunks: Option<mpsc::Sender<StreamChunk>>,
    is_committed: Arc<AtomicBool>,
    events: EventSplitter,
    last_event_at: Instant,
    /// A stream does not try to migrate before this.
    next_migration_at: Instant,
    migration: MigrationSignal,
    log: Logger,
}

impl StreamForwarder {
    /// A forwarder for this attempt, whose stream has not started.
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
            events: EventSplitter::default(),
            last_event_at: Instant::now(),
            next_migration_at: Instant::now(),
            migration,
            log,
        }
    }

    /// A forwarder that goes on with a stream which another process has begun. It has started, and the time since its
    /// last event counts on.
    pub fn resume(mut self, chunks: mpsc::Sender<StreamChunk>, state: &UpstreamState) -> Self {
        self.events = EventSplitter::resume(&state.partial_event);
        self.chunks = Some(chunks);
        self.is_committed.store(true, Ordering::Relaxed);
        if let Some(last_event_at) = self.last_event_at.checked_sub(state.idle_for) {
            self.last_event_at = last_event_at;
        }
        self
    }

    /// Whether a first event has come. It ends the attempt's timeout.
    pub fn has_started(&self) -> bool {
        self.chunks.is_some()
    }

    /// A flag that is set when the first event is reported to the dispatcher: from then on a cancel comes too late.
    pub fn committed_flag(&self) -> Arc<AtomicBool> {
        self.is_committed.clone()
    }

    /// What `next` gives, or how the attempt has ended instead. Before the first event the attempt's deadline holds;
    /// after it, the time within which each event has to come, and the stream ends when its client has left.
    pub async fn next<T>(
        &self,
        deadline: Instant,
        next: impl Future<Output = T>,
    ) -> Result<T, EndReason> {
        let (limit, reason) = if self.has_started() {
            let limit = self.last_event_at + STREAM_IDLE_TIMEOUT;
            (limit, EndReason::StreamIdleTimeout)
        } else {
            (deadline, EndReason::Timeout)
        };
        tokio::select! {
            next = timeout_at(limit, next) => next.map_err(|_| self.abandon("idle timeout", reason)),
            () = self.client_disconnected() => Err(EndReason::ClientDisconnected),
        }
    }

    /// Waits until the stream is to migrate and it is its turn. Does not borrow the forwarder, so that events may be
    /// forwarded meanwhile and the stream keeps its place among those that wait.
    pub fn migration_turn(&self) -> impl Future<Output = OwnedSemaphorePermit> + use<> {
        let signal = self.migration.clone();
        let next_migration_at = self.next_migration_at;
        async move {
            sleep_until(next_migration_at).await;
            signal.acquire().await
        }
    }

    /// The stream does not try to migrate for a while.
    pub fn postpone_migration(&mut self) {
        self.next_migration_at = Instant::now() + MIGRATION_RETRY_INTERVAL;
    }

    /// Whether a chunk can be forwarded without a wait for the client.
    pub fn can_forward_now(&self) -> bool {
        let chunks = self.chunks.as_ref();
        chunks.is_some_and(|chunks| chunks.capacity() > 0)
    }

    /// Offers the upstream connection, behind all chunks forwarded so far. Returns whether the stream has migrated;
    /// nothing of it is left here then. Otherwise it goes on here, and tries again later.
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
            // A client that reads slowly has not come to the offer yet.
            Err(_) if claim.claim() => false,
            // It is on its way: whoever sends it withdraws it in time, or has handed it over.
            Err(_) => was_migrated.await.unwrap_or(false),
        };
        self.postpone_migration();
        has_migrated
    }

    /// Logs why the client of a stream that has started gets no complete response, where no connection broke.
    fn abandon(&self, cause: &str, reason: EndReason) -> EndReason {
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

    /// Forwards the events that are whole with these bytes. An error is how the attempt has ended: the client has left,
    /// or the stream is malformed.
    pub async fn forward(&mut self, data: &[u8]) -> Result<(), EndReason> {
        let events = self.events.push(data).map_err(|MalformedEvent| {
            self.abandon("malformed event", EndReason::MalformedStream)
        })?;
        self.send_chunk(events).await
    }

    async fn send_chunk(&mut self, data: Bytes) -> Result<(), EndReason> {
        if data.is_empty() {
            return Ok(());
        }
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

    /// Reports the first event to the dispatcher, with the channel on which the stream follows.
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

    /// Forwards what came after the last event, and that the stream is complete; without that the stream
    /// counts as broken. A stream without an event is no valid response.
    pub async fn finish(mut self) -> Result<(), EndReason> {
        let rest = std::mem::take(&mut self.events).finish();
        let rest = rest
            .map_err(|MalformedEvent| self.abandon("malformed end", EndReason::MalformedStream))?;
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
