//! The bounded event queue in front of the core: [`DispatcherHandle`] sends events, [`EventReceiver`] receives them.
//!
//! Urgent events have a queue of their own, which the core empties first. In the other direction the core publishes its
//! state on watch channels, which the receiver owns. They hold the deployment in force, the ban records, the readiness and
//! the number of open requests.

use super::messages::{Event, Outcome, Readiness, ReceivedRequest, UpstreamRequest};
use super::settings_error::SettingsError;
use crate::config::Deployment;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::routing::api::{RequestId, RequestMetadata};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The capacity of the event queue. Senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// The capacity of the queue for urgent events, such as operators' commands, which must not wait behind requests.
const URGENT_QUEUE_CAPACITY: usize = 16;

/// Sends events to the core and reads its published state. Cheap to clone.
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

/// A client's request in the core. Dropping it sends [`Event::ClientDisconnected`], which ends the request if it is open.
pub struct PendingRequest {
    id: RequestId,
    handle: DispatcherHandle,
    /// Receives whether the request may have run; set by [`DispatcherHandle::disconnect`] only.
    may_have_run: Option<oneshot::Sender<bool>>,
}

impl PendingRequest {
    /// Returns the request id in the core's table.
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
    /// Submits a request and returns the channel that receives its outcome. Assigns the request id, replacing the one in
    /// `metadata`. Waits while the queue is full.
    pub async fn submit(
        &self,
        metadata: RequestMetadata,
        upstream: UpstreamRequest,
    ) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        self.submit_with_report(metadata, upstream, None).await
    }

    /// Does the same as [`DispatcherHandle::submit`]. `end_report` receives whether the request may have run, once it has
    /// left the core's table or was rejected.
    pub async fn submit_with_report(
        &self,
        metadata: RequestMetadata,
        upstream: UpstreamRequest,
        end_report: Option<oneshot::Sender<bool>>,
    ) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (outcome_sender, outcome) = oneshot::channel();
        // Created before the wait, so that a client that disconnects while the queue is full is reported too.
        let pending = PendingRequest {
            id,
            handle: self.clone(),
            may_have_run: None,
        };
        let event = Event::RequestArrived {
            metadata: RequestMetadata { id, ..metadata },
            upstream,
            outcome: outcome_sender,
            end_report,
        };
        let _ = self.events.send(event).await;
        (pending, outcome)
    }

    /// Adds a received stream, which another process of this dispatcher started, to the core's table. The stream is
    /// attempt 0 of the returned request, which ends like any other request.
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

    /// Disconnects from a request, waits until it has left the core's table and returns whether it may have run; `None` if
    /// that is not known.
    pub async fn disconnect(&self, mut pending: PendingRequest) -> Option<bool> {
        let (reply, may_have_run) = oneshot::channel();
        pending.may_have_run = Some(reply);
        drop(pending);
        may_have_run.await.ok()
    }

    /// Sends an event to the core. Waits while the queue is full.
    pub async fn send(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Sends an event to the core from code that can't wait. If the queue is full, a task on the current Tokio runtime
    /// waits instead; outside a runtime the event would be lost.
    pub fn send_detached(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) {
            let events = self.events.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { events.send(event).await });
            }
        }
    }

    /// Bans an endpoint or ends its ban, ahead of queued events that are not urgent. Returns `None` if the core has ended.
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

    /// Sends an event to the core ahead of queued events that are not urgent. Waits while the urgent queue is full.
    pub async fn send_urgent(&self, event: Event) {
        let _ = self.urgent_events.send(event).await;
    }

    /// Applies new settings ahead of queued events that are not urgent. Returns `None` if the core has ended.
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

    /// Returns the deployment in force.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.deployment.borrow().clone()
    }

    /// Returns a watch channel of the ban records.
    pub fn ban_records(&self) -> watch::Receiver<BanRecords> {
        self.ban_records.clone()
    }

    /// Returns the state that load balancers see.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Waits until the core has published this readiness, or has ended.
    pub async fn wait_for_readiness(&self, readiness: Readiness) {
        let mut published = self.readiness.clone();
        let _ = published.wait_for(|current| *current == readiness).await;
    }

    /// Returns the number of requests in the core's table, including those whose reservations are being released.
    pub fn open_requests(&self) -> usize {
        *self.open_requests.borrow()
    }

    /// Waits until the core's table has no request, or the core has ended.
    pub async fn wait_until_idle(&self) {
        let mut published = self.open_requests.clone();
        let _ = published.wait_for(|open| *open == 0).await;
    }
}

/// The core's side of the event queue and of the watch channels, for [`run`](super::run).
pub struct EventReceiver {
    events: mpsc::Receiver<Event>,
    urgent_events: mpsc::Receiver<Event>,
    pub(crate) ban_records: watch::Sender<BanRecords>,
    pub(super) deployment: watch::Sender<Arc<Deployment>>,
    pub(super) readiness: watch::Sender<Readiness>,
    pub(super) open_requests: watch::Sender<usize>,
}

impl EventReceiver {
    /// Receives the next event, urgent ones first. Returns `None` when every handle has been dropped.
    pub async fn recv(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            Some(event) = self.urgent_events.recv() => Some(event),
            event = self.events.recv() => event,
        }
    }

    /// Returns the next queued event, urgent ones first; `None` if none is queued.
    pub(super) fn try_recv(&mut self) -> Option<Event> {
        self.urgent_events
            .try_recv()
            .or_else(|_| self.events.try_recv())
            .ok()
    }
}

/// Creates the event queue of a core, with the watch channels of its state. `deployment` is the first one in force.
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
