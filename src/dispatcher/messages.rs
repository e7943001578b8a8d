//! What goes in and out of the core: requests, answers, events and commands. No wire, no socket.

use super::reasons::EndReason;
use crate::config::Deployment;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::routing::api::{EndpointId, EndpointRecord, LoadReport, RequestId, RequestMetadata};
use crate::upgrade::stream_migration::UpstreamHalf;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// What a node is to be given: the client's own request, kept once.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The name by which the client, and so every node, knows the request.
    pub client_request_id: Arc<str>,
    /// What is asked for: the client's own path and query.
    pub target: Arc<str>,
    /// The request's body.
    pub body: Bytes,
}

/// A piece of an answer's stream. Where the channel closes without `End`, the stream has broken.
#[derive(Debug, PartialEq)]
pub enum StreamChunk {
    /// Some of its bytes, as they came.
    Data(Bytes),
    /// Its good end.
    End,
    /// It is to go on in another process: for the front to have moved, or to let go of.
    Migrate(UpstreamHalf),
}

/// The final answer to a request; there is one for each.
#[derive(Debug)]
pub enum Outcome {
    /// A node's stream, from its first event on.
    Stream(mpsc::Receiver<StreamChunk>),
    /// Nothing was done; trying again is harmless, after this time.
    Shed(Duration),
    /// Failed, and nothing is promised about its effect.
    Failed,
    /// A request of this name is in flight.
    DuplicateId,
    /// A node found that the request itself is bad; it did not run.
    InvalidRequest,
}

/// A member of the fleet, as discovery tells of it.
#[derive(Clone, Debug)]
pub struct DiscoveredEndpoint {
    /// Its name, the same at every dispatcher.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// What the module is told; the core sets its number.
    pub record: EndpointRecord,
    /// Only its name and its state could be read: the rest is as it was told before, and where nothing was, it is no
    /// member.
    pub is_partial: bool,
}

/// What the core hears.
#[derive(Debug)]
pub enum Event {
    /// A client's request.
    RequestArrived {
        /// What the module is told, with the number that the door gave.
        metadata: RequestMetadata,
        /// What nodes are told.
        upstream: UpstreamRequest,
        /// Where the answer goes.
        outcome: oneshot::Sender<Outcome>,
    },
    /// The client has left, or the request's ticket was let go after its end. When all of it is over, `fate`
    /// is told whether it may have run.
    ClientDisconnected {
        /// The request.
        id: RequestId,
        /// Who wants to know.
        may_have_run: Option<oneshot::Sender<bool>>,
    },
    /// An attempt's answer has begun.
    FirstEvent {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Its stream.
        stream: mpsc::Receiver<StreamChunk>,
    },
    /// An attempt has ended; each ends once.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// Why, and with what outcome.
        reason: EndReason,
        /// Tokens found kept, or 1 where no state was there.
        cached_tokens: f64,
        /// Tokens of the answer, where that was told.
        completion_tokens: f64,
        /// The node's load, where it was told.
        load: Option<LoadReport>,
    },
    /// A release that was commanded is over.
    ReleaseCompleted {
        /// The request.
        id: RequestId,
        /// A server said that it has let go; else none did in time.
        confirmed: bool,
    },
    /// A probe's answer.
    ProbeCompleted {
        /// The node.
        endpoint: EndpointId,
        /// It answered.
        is_healthy: bool,
        /// Its load, where it was told.
        load: Option<LoadReport>,
    },
    /// A message from another dispatcher.
    GossipReceived {
        /// Its number.
        from: usize,
        /// As it came.
        message: Bytes,
    },
    /// The list of members, whole or what changed in it.
    EndpointsChanged {
        /// Members that are absent are gone.
        is_full: bool,
        /// The members.
        endpoints: Vec<DiscoveredEndpoint>,
    },
    /// A call for the list failed.
    EndpointListFailed,
    /// An operator takes a replica out of use, or back.
    BanRequested {
        /// Its name.
        endpoint_id: Arc<str>,
        /// Out, or back.
        banned: bool,
        /// Whether that holds now.
        reply: oneshot::Sender<Result<(), BanError>>,
    },
    /// New settings. The snapshot that holds from now on goes to whoever watches it.
    SettingsChanged {
        /// As read, with numbers of its own.
        deployment: Box<Deployment>,
        /// Whether they were taken.
        reply: oneshot::Sender<Result<(), String>>,
    },
    /// Clients are taken from now on.
    AcceptClients,
    /// The part of its limits that this process keeps to, of [`SHARE_UNITS`], and how many processes there are.
    ResourceShareChanged {
        /// The part.
        share: u32,
        /// Processes of this dispatcher.
        processes: u32,
    },
    /// What another process of this dispatcher knows of replicas that are out of use.
    BanRecordsReceived(BanRecords),
    /// The dispatcher is to end: it takes no more from balancers, and serves what still comes. All that is no stream
    /// has its final answer within this time.
    Drain(Duration),
}

/// What the core has done.
#[derive(Clone, Debug)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
        /// The node's address.
        address: Arc<str>,
        /// What it is given.
        upstream: UpstreamRequest,
        /// How long the first event is waited for.
        timeout: Duration,
        /// It must not run twice, and so must not go on a kept connection, which its node may have closed: what
        /// breaks there may have run.
        needs_new_connection: bool,
    },
    /// Stop waiting for an attempt whose first event the core has not been told of.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Let go of what is held for a request, at the first of these nodes that can be reached.
    ReleaseReservation {
        /// The request.
        id: RequestId,
        /// Its name.
        client_request_id: Arc<str>,
        /// Where it may be told, best first.
        addresses: Vec<Arc<str>>,
    },
    /// RequestMetadata a node for its load.
    Probe {
        /// The node.
        endpoint: EndpointId,
        /// Its address.
        address: Arc<str>,
    },
    /// Nothing new may go to this address any more, not even what waits for a connection; or it may again.
    BlockAddress {
        /// The address.
        address: Arc<str>,
        /// Whether it is barred.
        is_blocked: bool,
    },
}

impl Command {
    /// Bars before all else, each sort in its order: what was commanded before a node was told to leave is not sent
    /// there afterwards.
    pub fn blocks_first(commands: &mut [Command]) {
        commands.sort_by_key(|command| !matches!(command, Command::BlockAddress { .. }));
    }
}

/// What balancers in front are told; the fronts only render it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Nothing could be served yet: no reader or no writer is known.
    Starting,
    /// Able to serve, but no clients are taken yet.
    Standby,
    /// Able to serve.
    Ready,
    /// About to end; still serving.
    Draining,
}
