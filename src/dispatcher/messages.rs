//! The types that go in and out of the core: requests, outcomes, events and commands. No wire, no socket, no state.

use super::reasons::EndReason;
use super::settings_error::SettingsError;
use crate::config::Deployment;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::routing::api::{EndpointId, EndpointRecord, LoadReport, RequestId, RequestMetadata};
use crate::upgrade::stream_migration::{ReceivedUpstream, UpstreamHalf};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The client's own request, as endpoints receive it. Cloning shares the body.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The id that the client chose, by which every endpoint knows the request.
    pub client_request_id: Arc<str>,
    /// The client's own path and query.
    pub target: Arc<str>,
    /// The request's body.
    pub body: Bytes,
}

/// A chunk of a response stream. Where the channel closes without `End`, the stream has broken.
#[derive(Debug, PartialEq)]
pub enum StreamChunk {
    /// Bytes of the stream, as they were received.
    Data(Bytes),
    /// The stream is complete.
    End,
    /// The stream is to continue in another process: the frontend migrates this half, or drops it.
    Migrate(UpstreamHalf),
}

/// How many chunks of a stream may wait for a slow client before no more is read from its endpoint.
pub const MAX_QUEUED_CHUNKS: usize = 4;

/// The request of a stream that another process has begun.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request, with the number that the handle assigned.
    pub id: RequestId,
    /// The id that the client chose, where it is known.
    pub client_request_id: Option<Arc<str>>,
    /// The address of the endpoint that streams, where it is known.
    pub address: Option<Arc<str>>,
}

/// The attempt of a stream that another process has begun: the backend goes on with it.
#[derive(Debug)]
pub struct ReceivedAttempt {
    /// The request in the core's table.
    pub id: RequestId,
    /// The upstream side of the stream.
    pub upstream: ReceivedUpstream,
    /// Where the stream goes.
    pub chunks: mpsc::Sender<StreamChunk>,
}

/// The final outcome of a request; there is one for each.
#[derive(Debug)]
pub enum Outcome {
    /// An endpoint's stream, from its first event on.
    Stream(mpsc::Receiver<StreamChunk>),
    /// Nothing ran; trying again is harmless.
    Shed {
        /// How long the client should wait before it tries again.
        retry_after: Duration,
    },
    /// It failed, and may have run.
    Failed,
    /// A request of this client request id is in flight, or ended recently and may have run.
    DuplicateId,
    /// An endpoint found the request itself invalid; it did not run.
    InvalidRequest,
}

/// An endpoint of the fleet, as discovery reports it.
#[derive(Clone, Debug)]
pub struct DiscoveredEndpoint {
    /// Its id, the same at every dispatcher.
    pub id: Arc<str>,
    /// The address on which it listens.
    pub address: Arc<str>,
    /// What the router receives; the core sets its number.
    pub record: EndpointRecord,
    /// Only its id and its status could be read: the rest is as it was reported before, and an endpoint that was never
    /// reported is ignored.
    pub is_partial: bool,
}

/// An event that the core handles.
#[derive(Debug)]
pub enum Event {
    /// A client's request has arrived.
    RequestArrived {
        /// What the router receives, with the number that the handle assigned.
        metadata: RequestMetadata,
        /// What endpoints receive.
        upstream: UpstreamRequest,
        /// Receives the outcome.
        outcome: oneshot::Sender<Outcome>,
    },
    /// A stream that another process of this dispatcher has begun goes on here. It is a request in the table from now on,
    /// whose first attempt is this stream.
    StreamReceived(ReceivedRequest),
    /// The client has disconnected, or its [`PendingRequest`](super::PendingRequest) was dropped after the end.
    ClientDisconnected {
        /// The request.
        id: RequestId,
        /// Receives whether the request may have run, when it leaves the table.
        may_have_run: Option<oneshot::Sender<bool>>,
    },
    /// An attempt's response stream has begun.
    FirstEvent {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// The stream.
        stream: mpsc::Receiver<StreamChunk>,
    },
    /// An attempt has ended; each ends once.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Why it ended.
        reason: EndReason,
        /// Prompt tokens that were found cached.
        cached_tokens: f64,
        /// Tokens of the response, where they were reported; else 0.
        completion_tokens: f64,
        /// The endpoint's load, where it was reported.
        load: Option<LoadReport>,
    },
    /// A release that was commanded has completed.
    ReleaseCompleted {
        /// The request.
        id: RequestId,
        /// An endpoint confirmed the release; else none did in time.
        confirmed: bool,
    },
    /// A probe has completed.
    ProbeCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// It responded.
        is_healthy: bool,
        /// Its load, where it was reported.
        load: Option<LoadReport>,
    },
    /// A gossip message from another dispatcher was received.
    GossipReceived {
        /// The sender's number among the peers.
        peer: usize,
        /// The message, as received.
        message: Bytes,
    },
    /// The list of endpoints has changed.
    EndpointsChanged {
        /// The list is complete: endpoints that are absent have been removed. Else it holds only what changed.
        is_full: bool,
        /// The endpoints.
        endpoints: Vec<DiscoveredEndpoint>,
    },
    /// A call for the list of endpoints failed.
    EndpointListFailed,
    /// An operator bans an endpoint, or ends its ban.
    BanRequested {
        /// The endpoint's id.
        endpoint_id: Arc<str>,
        /// Whether it is to be banned from now on.
        banned: bool,
        /// Receives whether the ban was applied.
        reply: oneshot::Sender<Result<(), BanError>>,
    },
    /// The settings have changed. The deployment in force is then published to those who watch it.
    SettingsChanged {
        /// The new deployment, as read, with its own class numbers.
        deployment: Box<Deployment>,
        /// Receives whether the settings were applied.
        reply: oneshot::Sender<Result<(), SettingsError>>,
    },
    /// Clients are accepted from now on.
    AcceptClients,
    /// This process's share of the limits, or the number of processes, has changed.
    ResourceShareChanged {
        /// The share, in [`SHARE_UNITS`](crate::net::connection_limit::SHARE_UNITS).
        share: u32,
        /// Processes of this dispatcher that share the limits.
        processes: u32,
    },
    /// Another process of this dispatcher has published its ban records.
    BanRecordsReceived(BanRecords),
    /// The dispatcher shuts down: load balancers stop sending, and requests that still arrive are served. Every request
    /// that has no stream by then has its final outcome within this time.
    Drain(Duration),
}

/// A command to the backend.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// The endpoint's address.
        address: Arc<str>,
        /// The request to send.
        upstream: UpstreamRequest,
        /// How long to wait for the first event.
        timeout: Duration,
        /// It must not run twice, and so must not use a pooled connection, which its endpoint may have closed: a request
        /// whose connection breaks may have run.
        needs_new_connection: bool,
    },
    /// Cancel an attempt whose first event the core has not received.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Release what is reserved for a request, by a call to the first of these endpoints that can be reached.
    ReleaseReservation {
        /// The request.
        id: RequestId,
        /// Its client request id.
        client_request_id: Arc<str>,
        /// Addresses that accept the call, best first.
        addresses: Vec<Arc<str>>,
    },
    /// Probe an endpoint for its load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: Arc<str>,
    },
    /// Block or unblock an address: nothing new is sent to a blocked address, not even what waits for a connection.
    BlockAddress {
        /// The address.
        address: Arc<str>,
        /// Whether it is blocked from now on.
        is_blocked: bool,
    },
}

impl Command {
    /// Sorts blocks before all other commands, and keeps the order among each kind: an attempt that was commanded before its
    /// endpoint began to drain is not sent there afterwards.
    pub fn sort_blocks_first(commands: &mut [Command]) {
        commands.sort_by_key(|command| !matches!(command, Command::BlockAddress { .. }));
    }
}

/// The state that load balancers see; frontends only render it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Nothing can be served: no endpoint is ready for prefill, or none for decode.
    Starting,
    /// Able to serve, but clients are not accepted yet.
    Standby,
    /// Able to serve.
    Ready,
    /// Shutting down; still serving.
    Draining,
}
