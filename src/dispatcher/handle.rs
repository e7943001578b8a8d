//! The bounded queue before the core: [`DispatcherHandle`] is the way in for socket code, [`EventReceiver`] what it leads to.

use super::messages::{Event, Outcome, Readiness, UpstreamRequest};
use crate::config::Deployment;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::routing::api::{RequestId, RequestMetadata};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// Events that may wait for the core; senders wait when it is full.
const QUEUE: usize = 4096;
/// Operators' calls that may wait for it: they never wait behind requests.
const URGENT: usize = 16;

/// The way in for socket code: cheap to clone.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::Sender<Event>,
    urgent: mpsc::Sender<Event>,
    marks: watch::Receiver<BanRecords>,
    site: watch::Receiver<Arc<Deployment>>,
    next: Arc<AtomicU64>,
    readiness: watch::Receiver<Readiness>,
    open: watch::Receiver<usize>,
}

/// A client's hold on its request: letting it go tells the core that the client has left.
pub struct PendingRequest {
    id: RequestId,
    door: DispatcherHandle,
    fate: Option<oneshot::Sender<bool>>,
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.door.send_detached(Event::ClientDisconnected {
            id: self.id,
            may_have_run: self.fate.take(),
        });
    }
}

impl DispatcherHandle {
    /// Takes a request in; its answer comes on the channel.
    pub async fn submit(
        &self,
        ask: RequestMetadata,
        work: UpstreamRequest,
    ) -> (PendingRequest, oneshot::Receiver<Outcome>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        // The ticket comes first: a client that leaves while the queue is full is told of all the same.
        let ticket = PendingRequest {
            id,
            door: self.clone(),
            fate: None,
        };
        let event = Event::RequestArrived {
            metadata: RequestMetadata { id, ..ask },
            upstream: work,
            outcome: answer,
        };
        let _ = self.events.send(event).await;
        (ticket, answered)
    }

    /// Leaves a request; when all of it is over, tells whether it may have run. `None`: nobody knows.
    pub async fn disconnect(&self, mut ticket: PendingRequest) -> Option<bool> {
        let (fate, told) = oneshot::channel();
        ticket.fate = Some(fate);
        drop(ticket);
        told.await.ok()
    }

    /// Tells the core; waits while the queue is full.
    pub async fn send(&self, event: Event) {
        let _ = self.events.send(event).await;
    }

    /// Tells the core from where nothing can wait. A full queue loses nothing: a task waits instead.
    pub fn send_detached(&self, event: Event) {
        if let Err(mpsc::error::TrySendError::Full(event)) = self.events.try_send(event) {
            let events = self.events.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move { events.send(event).await });
            }
        }
    }

    /// Takes a replica out of use, or back, ahead of all that waits. `None`: the core has ended.
    pub async fn set_ban(&self, name: Arc<str>, banned: bool) -> Option<Result<(), BanError>> {
        let (answer, answered) = oneshot::channel();
        self.urgent
            .send(Event::BanRequested {
                endpoint_id: name,
                banned,
                reply: answer,
            })
            .await
            .ok()?;
        answered.await.ok()
    }

    /// Tells the core ahead of all that waits.
    pub async fn send_urgent(&self, event: Event) {
        let _ = self.urgent.send(event).await;
    }

    /// Takes new settings. `None`: the core has ended.
    pub async fn apply_settings(&self, site: Deployment) -> Option<Result<(), String>> {
        let (answer, answered) = oneshot::channel();
        self.urgent
            .send(Event::SettingsChanged {
                deployment: Box::new(site),
                reply: answer,
            })
            .await
            .ok()?;
        answered.await.ok()
    }

    /// The settings that hold now.
    pub fn deployment(&self) -> Arc<Deployment> {
        self.site.borrow().clone()
    }

    /// What operators have said of replicas.
    pub fn ban_records(&self) -> watch::Receiver<BanRecords> {
        self.marks.clone()
    }

    /// The state that balancers in front are told.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Waits until the core's state is the given one.
    pub async fn wait_for_readiness(&self, readiness: Readiness) {
        let mut watched = self.readiness.clone();
        let _ = watched.wait_for(|now| *now == readiness).await;
    }

    /// Requests in the core's table, with those whose states are being let go.
    pub fn open_requests(&self) -> usize {
        *self.open.borrow()
    }

    /// Waits until the core's table is empty.
    pub async fn wait_until_idle(&self) {
        let mut watched = self.open.clone();
        let _ = watched.wait_for(|open| *open == 0).await;
    }
}

/// The way in and what it leads to, for [`run`].
pub struct EventReceiver {
    events: mpsc::Receiver<Event>,
    urgent: mpsc::Receiver<Event>,
    pub(crate) marks: watch::Sender<BanRecords>,
    pub(super) site: watch::Sender<Arc<Deployment>>,
    pub(super) readiness: watch::Sender<Readiness>,
    pub(super) open: watch::Sender<usize>,
}

impl EventReceiver {
    /// The next event, urgent ones first; `None` when every door is gone.
    pub async fn recv(&mut self) -> Option<Event> {
        tokio::select! {
            biased;
            Some(event) = self.urgent.recv() => Some(event),
            event = self.events.recv() => event,
        }
    }

    pub(super) fn try_recv(&mut self) -> Option<Event> {
        self.urgent
            .try_recv()
            .or_else(|_| self.events.try_recv())
            .ok()
    }
}

/// Makes the queue of a core.
pub fn channel(site: Arc<Deployment>) -> (DispatcherHandle, EventReceiver) {
    let (events, queue) = mpsc::channel(QUEUE);
    let (urgent, urgent_queue) = mpsc::channel(URGENT);
    let (set_site, site) = watch::channel(site);
    let (set_marks, marks) = watch::channel(BanRecords::new());
    let (set_readiness, readiness) = watch::channel(Readiness::Starting);
    let (set_open, open) = watch::channel(0);
    let door = DispatcherHandle {
        events,
        urgent,
        marks,
        site,
        next: Arc::new(AtomicU64::new(1)),
        readiness,
        open,
    };
    let inbox = EventReceiver {
        events: queue,
        urgent: urgent_queue,
        marks: set_marks,
        site: set_site,
        readiness: set_readiness,
        open: set_open,
    };
    (door, inbox)
}
