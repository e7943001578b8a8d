//! The bounded queue in front of the core: [`DispatcherHandle`] sends events, [`EventReceiver`] receives them.
//!
//! The receiver also owns the sending side of what the core publishes: the deployment in force, the ban records, the
//! readiness and the number of open requests.

use super::messages::{Event, Outcome, Readiness, ReceivedRequest, UpstreamRequest};
use super::settings_error::SettingsError;
use crate::config::Deployment;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::routing::api::{RequestId, RequestMetadata};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Events that may wait for the core; senders wait when the queue is full.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Urgent events, such as operators' calls, that may wait for the core: they never wait behind requests.
const URGENT_QUEUE_CAPACITY: usize = 16;

/// The way to the core for connection code: cheap to clone.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::Sender<Event>,
    urgent_events: mpsc::Sender<Event>,
    ban_records: watch::Receiver<BanRecords>,
    deployment: watch::Receiver<Arc<Deployment>>,
    next_request_id: Arc<AtomicU64>,
    readiness: watch::Receiver<Readiness>,
    open_requests: watch::Receiver<usize>,
}

/// A client's request in the core. Dropping it reports that the client has disconnected.
pub struct PendingRequest {
    id: RequestId,
    handle: DispatcherHandle,
    may_have_run: Option<oneshot::Sender<bool>>,
}

impl PendingRequest {
    /// The request's number in the core's table.
    pub fn id(&self) -> RequestId {
        self.id
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.handle.send_detached(Event::ClientDisconnected {
            id: self.id,
            may_have_run: self.may_have_run.take(),
        });
    }
}

impl DispatcherHandle {
    /// Submits a request; its outcome is sent on the channel. Waits while the queue is full.
    pub async fn submit(
        &self,
        metadata: RequestMetadata,
        upstream: UpstreamRequest,
    ) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (outcome_sender, outcome) = oneshot::channel();
        // The pending request is made before the wait: a client that disconnects while the queue is full is reported too.
        let pending = PendingRequest {
            id,
            handle: self.clone(),
            may_have_run: None,
        };
        let event = Event::RequestArrived {
            metadata: RequestMetadata { id, ..metadata },
            upstream,
            outcome: outcome_sender,
        };
        let _ = self.events.send(event).await;
        (pending, outcome)
    }

    /// Adds a stream that another process of this dispatcher has begun to the core's table. Its request is attempt 0 of
    /// the number that is returned, and ends there as any other does.
    pub async fn receive_stream(
        &self,
        client_request_id: Option<Arc<str>>,
        address: Option<Arc<str>>,
    ) -> PendingRequest {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let pending = PendingRequest {
            id,
            handle: self.clone(),
            may_have_run: None,
        };
        let event = Event::StreamReceived(ReceivedRequest {
            id,
            client_request_id,
            address,
        });
        let _ = self.events.send(event).await;
        pending
    }

    /// Disconnects from a request, waits until it has left the core's table and returns whether it may have run. `None`: that
    /// is not known.
    pub async fn disconnect(&self, mut pending: PendingRequest) -> Option<bool> {
        let (reply, may_have_run) = oneshot::channel();
        pending.may_have_run = Some(reply);
        drop(pending);
        may_have_run.await.ok()
    }

    /// Sends an event to the core; waits while the queue is full.
    pub async fn send(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Sends an event to the core from code that can't wait. A full queue loses nothing: a task waits instead.
    pub fn send_detached(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) {
            let events = self.events.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { events.send(event).await });
            }
        }
    }

    /// Bans an endpoint, or ends its ban, ahead of all that waits in the queue. `None`: the core has ended.
    pub async fn set_ban(
        &self,
        endpoint_id: Arc<str>,
        banned: bool,
    ) -> Option<Result<(), BanError>> {
        let (reply, result) = oneshot::channel();
        self.urgent_events
            .send(Event::BanRequested {
                endpoint_id,
                banned,
                reply,
            })
            .await
            .ok()?;
        result.await.ok()
    }

    /// Sends an event to the core ahead of all that waits in the queue.
    pub async fn send_urgent(&self, event: Event) {
        let _ = self.urgent_events.send(event).await;
    }

    /// Applies new settings. `None`: the core has ended.
    pub async fn apply_settings(
        &self,
        deployment: Deployment,
    ) -> Option<Result<(), SettingsError>> {
        let (reply, result) = oneshot::channel();
        self.urgent_events
            .send(Event::SettingsChanged {
                deployment: Box::new(deployment),
                reply,
            })
            .await
            .ok()?;
        result.await.ok()
    }

    /// The deployment in force.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment.borrow().clone()
    }

    /// The ban records, and their changes.
    pub fn ban_records(&self) -> watch::Receiver<BanRecords> {
        self.ban_records.clone()
    }

    /// The state that load balancers see.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Waits until the core's state is the given one.
    pub async fn wait_for_readiness(&self, readiness: Readiness) {
        let mut published = self.readiness.clone();
        let _ = published.wait_for(|current| *current == readiness).await;
    }

    /// The number of requests in the core's table, with those whose reservations are being released.
    pub fn open_requests(&self) -> usize {
        *self.open_requests.borrow()
    }

    /// Waits until the core's table is empty.
    pub async fn wait_until_idle(&self) {
        let mut published = self.open_requests.clone();
        let _ = published.wait_for(|open| *open == 0).await;
    }
}

/// The core's side of the queue, for [`run`](super::run).
pub struct EventReceiver {
    events: mpsc::Receiver<Event>,
    urgent_events: mpsc::Receiver<Event>,
    pub(crate) ban_records: watch::Sender<BanRecords>,
    pub(super) deployment: watch::Sender<Arc<Deployment>>,
    pub(super) readiness: watch::Sender<Readiness>,
    pub(super) open_requests: watch::Sender<usize>,
}

impl EventReceiver {
    /// The next event, urgent ones first; `None` when every handle has been dropped.
    pub async fn recv(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            Some(event) = self.urgent_events.recv() => Some(event),
            event = self.events.recv() => event,
        }
    }

    pub(super) fn try_recv(&mut self) -> Option<Event> {
        self.urgent_events
            .try_recv()
            .or_else(|_| self.events.try_recv())
            .ok()
    }
}

/// Creates the queue of a core.
pub fn channel(deployment: Arc<Deployment>) -> (DispatcherHandle, EventReceiver) {
    let (events, event_queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (urgent_events, urgent_queue) = mpsc::channel(URGENT_QUEUE_CAPACITY);
    let (deployment_sender, deployment) = watch::channel(deployment);
    let (ban_records_sender, ban_records) = watch::channel(BanRecords::new());
    let (readiness_sender, readiness) = watch::channel(Readiness::Starting);
    let (open_requests_sender, open_requests) = watch::channel(0);
    let handle = DispatcherHandle {
        events,
        urgent_events,
        ban_records,
        deployment,
        next_request_id: Arc::new(AtomicU64::new(1)),
        readiness,
        open_requests,
    };
    let receiver = EventReceiver {
        events: event_queue,
        urgent_events: urgent_queue,
        ban_records: ban_records_sender,
        deployment: deployment_sender,
        readiness: readiness_sender,
        open_requests: open_requests_sender,
    };
    (handle, receiver)
}
