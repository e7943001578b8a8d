//! The interface of the decision module: what a router is told at its start, what it hears, what it does.
//!
//! Nothing here decides anything. Times are `u64` microseconds on the caller's clock; ids are the caller's
//! numbers and mean nothing beyond equality.

/// A moment or a span, in microseconds.
pub type Time = u64;
/// The caller's number for one try of a client.
pub type RequestId = u64;
/// The caller's number for a server.
pub type EndpointId = u32;

/// What a kind of server does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts and keeps the read state until a writer takes it.
    #[default]
    Prefill,
    /// Takes a read state and streams the answer.
    Decode,
    /// Does either, or both for the same request.
    Mixed,
}

/// The servers that drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers together.
    AllEndpoints,
    /// Those of the zone where it was sent first.
    Zone,
    /// Those of the cell where it was sent first.
    Cell,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// Repeats are dropped inside `group` for `window` after the first send.
    IdempotencyKey {
        /// Who drops repeats.
        scope: DeduplicationScope,
        /// For how long.
        window: Time,
    },
    /// A repeat does harm.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The first token is wanted within this time.
    pub ttft_objective: Time,
    /// Added to the aim for each 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: Time,
    /// Tokens are wanted this far apart on average; 0 where it is not told.
    pub inter_token_objective: Time,
    /// Worth of a request answered in time.
    pub priority_weight: f64,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// New requests may be of it; else only some that are under way are.
    pub is_active: bool,
}

/// One tenant: what it may ask of all routers together.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all routers; 0 where it is not told.
    pub requests_per_second: f64,
}

/// How servers tell their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With outcomes and with answers to probes.
    WithResponses,
    /// With answers to probes only.
    WithProbes,
    /// Never.
    Never,
}

/// What a router is told when it starts.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Routers that share the servers.
    pub dispatchers: u32,
    /// This router's zone.
    pub zone: u32,
    /// Classes, by number.
    pub classes: Vec<RequestClass>,
    /// Tenants, by number; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic over a tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// How load is reported.
    pub load_reporting: LoadReporting,
    /// The list of servers has to be asked for.
    pub must_poll_endpoints: bool,
    /// Probes are allowed.
    pub probes_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Two attempts of a request may be out at once.
    pub hedging_allowed: bool,
    /// Clients heed advice on when to come back, up to this long; 0 where they do not.
    pub max_retry_after: Time,
    /// Attempts allowed for a request.
    pub max_attempts: u32,
    /// The least time between two calls of the module.
    pub tick: Time,
    /// A final answer counts until this long after the client's time.
    pub response_slack: Time,
    /// Sends to a leaving server end this long after it was told.
    pub drain_grace: Time,
    /// A held state is taken or let go within this time.
    pub reservation_ttl: Time,
    /// Share of its capacity that a server has when it starts.
    pub slow_start_initial_share: f64,
    /// It is warm after this time at most.
    pub slow_start_duration: Time,
    /// A cold server sent this multiple of what it can do ...
    pub overload_threshold: f64,
    /// ... for this time falls over.
    pub overload_window: Time,
    /// Price of an attempt that crosses zones, in parts of a request's worth.
    pub cross_zone_cost: f64,
    /// Price of moving a state out of its cell, in parts of a request's worth.
    pub kv_transfer_cost: f64,
}

/// Whether a server of the list takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes work.
    #[default]
    Ready,
    /// Ends what it has.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecord {
    /// The server.
    pub endpoint: EndpointId,
    /// The same number for this server at every router, and for no other.
    pub key: u64,
    /// What it does.
    pub role: Role,
    /// Its memory in tokens; 0 where it is not told.
    pub kv_capacity_tokens: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes work.
    pub status: EndpointStatus,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Time>,
}

/// A load report; every value may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// Share of its memory that is held.
    pub kv_memory_share: Option<f64>,
    /// Prompt tokens to read or to fetch, in thousands.
    pub pending_prefill_kilotokens: Option<f64>,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Its number.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// Its session.
    pub session: Option<u64>,
    /// The shared text with which it begins.
    pub prefix: Option<u64>,
    /// The client's remaining time.
    pub time_left: Time,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens of the shared text.
    pub prefix_tokens: f64,
    /// The most tokens that the answer may have.
    pub max_output_tokens: f64,
    /// A rough guess of the answer's time at the token aim, where there is one.
    pub output_time_hint: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// Served.
    Served,
    /// The prompt is read; its state waits at the reader.
    PrefillDone,
    /// An error answer; it may have run.
    Error,
    /// Turned away; it did not run.
    Overloaded,
    /// The endpoint held no KV cache for the request; it did not run.
    KvStateMissing,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// A kept connection broke before anything came back: as like as not it was closed while it stood idle,
    /// which tells nothing of the server; it may have run.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Turned away because the request itself is bad, as it would be anywhere; it did not run.
    InvalidRequest,
}

/// Why a router gives a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// Nothing is likely to serve it in time, and load is above usual.
    Overload,
    /// Its read state may be held no longer.
    KvStateExpired,
    /// No further attempt is allowed.
    AttemptsExhausted,
    /// Its time, or the router's own, is up.
    DeadlineExceeded,
    /// It may have run and must not run twice.
    NotRepeatable,
    /// Its class is not known.
    UnknownClass,
}

/// What a router hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of servers, whole or what changed in it.
    EndpointsChanged {
        /// Servers that are absent are gone.
        is_full: bool,
        /// Its lines.
        endpoints: Vec<EndpointRecord>,
    },
    /// What it was told at its start has changed. A class's number means what it meant while it is in use.
    SettingsChanged(RoutingSettings),
    /// This router ends soon: every request needs its final answer by then.
    ShutdownDeadline(Time),
    /// A call for the list failed, or the subscription broke.
    EndpointListFailed,
    /// A client's request.
    RequestArrived(RequestMetadata),
    /// The answer of an attempt has begun.
    FirstEvent {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which of its attempts, from 0.
        attempt: u32,
        /// The server.
        endpoint: EndpointId,
        /// How it ended.
        status: AttemptStatus,
        /// The request is over, by this or before it.
        request_closed: bool,
        /// Prompt tokens found in the prefix cache, where that was reported.
        cached_tokens: f64,
        /// The server's load, where it was told.
        load: Option<LoadReport>,
    },
    /// The client has left.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A time that was asked for by [`Action::SetTimer`] has come.
    TimerFired,
    /// What another router has told of a server.
    PeerLoadReport {
        /// The server.
        endpoint: EndpointId,
        /// Its load; without one, an attempt there has failed.
        load: Option<LoadReport>,
    },
    /// A probe's answer.
    ProbeCompleted {
        /// The server.
        endpoint: EndpointId,
        /// It answered.
        is_healthy: bool,
        /// Its load, where it was told.
        load: Option<LoadReport>,
    },
}

/// What a router does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a request's attempts count from 0.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// The attempt's time-out.
        timeout: Time,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// Final answer: nothing was done, and trying again is harmless.
    Shed {
        /// The request.
        id: RequestId,
        /// Advice on when to come back; 0: none.
        retry_after: Time,
        /// Why.
        reason: FailureReason,
    },
    /// Final answer that promises nothing.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: FailureReason,
    },
    /// Let go of every state that is held for the request.
    ReleaseReservation {
        /// The request.
        id: RequestId,
    },
    /// RequestMetadata for [`Event::TimerFired`] at this time.
    SetTimer {
        /// When.
        at: Time,
    },
    /// RequestMetadata a server for its load.
    Probe {
        /// The server.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the list of servers.
    WatchEndpoints,
}
