//! The messages between the core and its surroundings: requests, outcomes, events and commands.
//!
//! Frontends, discovery, gossip and the process send [`Event`]s to the core; the backend executes its [`Command`]s. The
//! types are plain data without sockets or protocol details.

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

/// The client's request as it is forwarded to endpoints. Cloning shares the body.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The id by which endpoints identify the request. The client chose it, or the WebSocket frontend assigned it.
    pub client_request_id: Arc<str>,
    /// The request target: path and query as the client sent them, or a fixed path for a WebSocket session.
    pub target: Arc<str>,
    /// The request body, which endpoints receive unchanged. Emptied once the response stream starts, to free memory.
    pub body: Bytes,
    /// Whether the client's side of the response stream can migrate to another process of this dispatcher.
    pub stream_can_migrate: bool,
}

/// The times of a graceful shutdown, each from the moment of [`Event::Drain`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// How long requests are admitted whose streams can end in this process only. A later one would be cut by the kill.
    pub admit_within: Duration,
    /// Time in which every request without a stream gets its final outcome.
    pub respond_within: Duration,
}

/// A chunk of a response stream. If the channel closes without `End`, the stream has broken.
#[derive(Debug, PartialEq)]
pub enum StreamChunk {
    /// Bytes of the stream, as received from the endpoint.
    Data(Bytes),
    /// The stream is complete.
    End,
    /// The stream is to continue in another process. The frontend migrates this upstream half, or drops it.
    Migrate(UpstreamHalf),
}

/// The capacity of a stream's queue, in chunks. While a slow client keeps it full, nothing is read from the endpoint.
pub const MAX_QUEUED_CHUNKS: usize = 4;

/// The most bytes of an answer that may wait for its client, in the stream's queue and in the frontend. While that much
/// waits, nothing is read from the endpoint. A longer event waits alone.
pub const MAX_UNREAD_BYTES: usize = 32 * 1024;

/// The request of a received stream, which another process of this dispatcher started.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request id, assigned by the [`DispatcherHandle`](super::DispatcherHandle).
    pub id: RequestId,
    /// The client request id; `None` if the other process did not pass it on.
    pub client_request_id: Option<Arc<str>>,
    /// The address of the endpoint that sends the stream; `None` if the other process did not pass it on.
    pub address: Option<Arc<str>>,
}

/// The attempt of a received stream, which the backend continues to read.
#[derive(Debug)]
pub struct ReceivedAttempt {
    /// The request id in the core's table.
    pub id: RequestId,
    /// The upstream side of the stream.
    pub upstream: ReceivedUpstream,
    /// Receives the stream's chunks.
    pub chunks: mpsc::Sender<StreamChunk>,
}

/// The final outcome of a request. Each request has exactly one.
#[derive(Debug)]
pub enum Outcome {
    /// The response stream of an endpoint, from its first event on.
    Stream(mpsc::Receiver<StreamChunk>),
    /// The request did not run, or is safe to run twice: retrying is harmless.
    Shed {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// The request failed and may have run.
    Failed,
    /// A request with this client request id is in flight, or ended recently and may have run.
    DuplicateId,
    /// An endpoint rejected the request as invalid; it did not run.
    InvalidRequest,
}

/// An endpoint of the fleet, as discovery reports it.
#[derive(Clone, Debug)]
pub struct DiscoveredEndpoint {
    /// The endpoint's id, which is the same at every dispatcher.
    pub id: Arc<str>,
    /// The address on which the endpoint listens, as host and port.
    pub address: Arc<str>,
    /// The record for the router; the core fills in the endpoint id.
    pub record: EndpointRecord,
    /// Only the id and the status could be read. The core keeps the other properties as reported before, and ignores an
    /// endpoint that was never reported.
    pub is_partial: bool,
}

/// An input of the core.
#[derive(Debug)]
pub enum Event {
    /// A client has submitted a request.
    RequestArrived {
        /// The metadata for the router. Its request id is assigned by the
        /// [`DispatcherHandle`](super::DispatcherHandle).
        metadata: RequestMetadata,
        /// The request as endpoints receive it.
        upstream: UpstreamRequest,
        /// Receives the final outcome.
        outcome: oneshot::Sender<Outcome>,
        /// Receives whether the request may have run, once it has left the table or was rejected; `None` if nobody waits for
        /// it. A rejected request did not run, even if another one with its client request id did.
        end_report: Option<oneshot::Sender<bool>>,
    },
    /// A stream that another process of this dispatcher started continues here. It becomes a request in the table, with
    /// the stream as attempt 0.
    StreamReceived(ReceivedRequest),
    /// The client has disconnected, or its [`PendingRequest`](super::PendingRequest) was dropped after the request ended.
    ClientDisconnected {
        /// The request id. Ignored if the request has left the table.
        id: RequestId,
        /// Receives whether the request may have run, once it has left the table; `None` if nobody waits for it.
        may_have_run: Option<oneshot::Sender<bool>>,
    },
    /// The first event of an attempt's response stream has arrived.
    FirstEvent {
        /// The request id. If the request already has its outcome, the core drops the stream.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// The response stream, with its first event.
        stream: mpsc::Receiver<StreamChunk>,
    },
    /// An attempt has ended. This is sent exactly once per attempt.
    AttemptEnded {
        /// The request id. A request stays in the table until all its attempts have ended.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// Why the attempt ended.
        reason: EndReason,
        /// Prompt tokens that the endpoint found in its prefix cache; 0 if not reported.
        cached_tokens: f64,
        /// Tokens of the response; 0 if not reported.
        completion_tokens: f64,
        /// The endpoint's load; `None` if not reported.
        load: Option<LoadReport>,
    },
    /// A [`Command::ReleaseReservation`] has completed.
    ReleaseCompleted {
        /// The request id, as in the command.
        id: RequestId,
        /// Whether an endpoint confirmed the release in time.
        confirmed: bool,
    },
    /// A probe has completed.
    ProbeCompleted {
        /// The endpoint, as in the [`Command::Probe`]. It may have been removed since.
        endpoint: EndpointId,
        /// Whether the endpoint responded.
        is_healthy: bool,
        /// The endpoint's load; `None` if not reported.
        load: Option<LoadReport>,
    },
    /// A gossip message from another dispatcher has arrived.
    GossipReceived {
        /// The sender's index in the list of peers.
        peer: usize,
        /// The encoded message, not validated yet.
        message: Bytes,
    },
    /// The list of endpoints has changed.
    EndpointsChanged {
        /// Whether the list is complete: endpoints that it lacks have been removed. Otherwise it holds only changes.
        is_full: bool,
        /// The complete list, or only the changed endpoints. Among changes, a removed endpoint has the status
        /// [`Removed`](crate::routing::api::EndpointStatus::Removed).
        endpoints: Vec<DiscoveredEndpoint>,
    },
    /// A call to discovery for the list of endpoints has failed.
    EndpointListFailed,
    /// An operator bans an endpoint, or ends its ban.
    BanRequested {
        /// The endpoint's id.
        endpoint_id: Arc<str>,
        /// `true` bans the endpoint, `false` ends its ban.
        banned: bool,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), BanError>>,
    },
    /// The settings have changed. Once applied, the deployment in force is published to its watchers.
    SettingsChanged {
        /// The new deployment as read from the settings. Its class numbers may differ from those in force.
        deployment: Box<Deployment>,
        /// Receives the result. On an error, the settings in force stay.
        reply: oneshot::Sender<Result<(), SettingsError>>,
    },
    /// The process has begun to accept clients. Ends [`Readiness::Standby`].
    AcceptClients,
    /// This process's share of the limits or the number of processes has changed.
    ResourceShareChanged {
        /// The share, in [`SHARE_UNITS`](crate::net::adjustable_semaphore::SHARE_UNITS).
        share: u32,
        /// The number of processes of this dispatcher that share the limits.
        processes: u32,
    },
    /// Another process of this dispatcher has published its ban records.
    BanRecordsReceived(BanRecords),
    /// The process shuts down. It reports [`Readiness::Draining`] to load balancers, serves requests that still arrive
    /// while the schedule admits them, and sheds later ones.
    Drain(DrainSchedule),
    /// Another process of this dispatcher has begun or ceased to serve. While one serves, streams can migrate to it.
    StreamReceiverChanged {
        /// Whether another process serves.
        is_available: bool,
    },
}

/// A command of the core to the backend.
#[derive(Clone, Debug)]
pub enum Command {
    /// Sends a request to an endpoint.
    StartAttempt {
        /// The request id. Events about the attempt carry it together with the attempt's number.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
        /// The endpoint's address.
        address: Arc<str>,
        /// The request to send.
        upstream: UpstreamRequest,
        /// How long to wait for the first event of the stream.
        timeout: Duration,
        /// Whether the attempt must not use a pooled connection. The endpoint may have closed a pooled connection already,
        /// and a request whose connection breaks may have run. Set for requests that must not run twice,
        /// except for their prefill.
        needs_new_connection: bool,
    },
    /// Cancels an attempt in flight whose stream doesn't go to the client.
    CancelAttempt {
        /// The request id. The command has no effect on an attempt that has ended.
        id: RequestId,
        /// The attempt's number within the request, from 0.
        attempt: u32,
    },
    /// Releases a request's reservation, by a call to the first endpoint that can be reached.
    ReleaseReservation {
        /// The request id, which [`Event::ReleaseCompleted`] carries back to the core.
        id: RequestId,
        /// The client request id, by which endpoints know the reservation.
        client_request_id: Arc<str>,
        /// Addresses of endpoints that accept the call, in order of preference.
        addresses: Vec<Arc<str>>,
    },
    /// Probes an endpoint's health and load.
    Probe {
        /// The endpoint to probe.
        endpoint: EndpointId,
        /// The endpoint's address.
        address: Arc<str>,
    },
    /// Blocks or unblocks an address. Nothing new is sent to a blocked address, including attempts that already wait for a
    /// connection.
    BlockAddress {
        /// The address of an endpoint.
        address: Arc<str>,
        /// `true` blocks the address, `false` unblocks it.
        is_blocked: bool,
    },
}

impl Command {
    /// Moves address blocks before all other commands and otherwise keeps the order. So an attempt is not sent if a later
    /// command of the same batch blocks its endpoint's address, as when the endpoint begins to drain.
    pub fn sort_blocks_first(commands: &mut [Command]) {
        commands.sort_by_key(|command| !matches!(command, Command::BlockAddress { .. }));
    }
}

/// The state that load balancers see. Frontends report it as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Nothing can be served: no endpoint is ready for prefill, or none for decode.
    Starting,
    /// Able to serve, but the process doesn't accept clients yet.
    Standby,
    /// Able to serve and accepting clients.
    Ready,
    /// Shutting down; requests are served for a short time, and later ones are shed.
    Draining,
}
