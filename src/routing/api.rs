//! The interface of the decision module: the settings that a router is given, the events that it handles, and
//! the actions that it returns.
//!
//! Nothing here decides anything and nothing fails: input that makes no sense is ordinary input. Every
//! [`Time`] is in microseconds on the caller's clock. Ids are the caller's numbers and mean nothing beyond
//! equality. The caller owns all values; a [`Router`](crate::routing::Router) keeps copies of what it needs.

/// An instant or a duration, in microseconds.
pub type Time = u64;
/// The caller's number for one client request. Unique among the requests that are open.
pub type RequestId = u64;
/// The caller's number for an endpoint.
pub type EndpointId = u32;

/// What an endpoint does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts and reserves the KV cache until a decode endpoint takes it over.
    #[default]
    Prefill,
    /// Takes over a KV cache and streams the response.
    Decode,
    /// Does either, or both for the same request.
    Mixed,
}

/// The endpoints that together drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    AllEndpoints,
    /// Those of the zone to which the request was sent first.
    Zone,
    /// Those of the cell to which the request was sent first.
    Cell,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// Repeats are dropped within `scope` for `window` after the first send.
    IdempotencyKey {
        /// The endpoints that drop repeats.
        scope: DeduplicationScope,
        /// For how long, in microseconds.
        window: Time,
    },
    /// A repeat does harm.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Objective for the time to first token (TTFT), in microseconds.
    pub ttft_objective: Time,
    /// Added to the TTFT objective for each 1,000 prompt tokens, in microseconds.
    pub ttft_objective_per_1000_tokens: Time,
    /// Objective for the mean time between tokens, in microseconds; 0 where there is none.
    pub inter_token_objective: Time,
    /// Value of a request that is answered within its objective, relative to other classes.
    pub priority_weight: f64,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// New requests may have this class; else only requests that are already open have it.
    pub is_active: bool,
}

/// A tenant and its quota at all dispatchers together.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second at all dispatchers together; 0: no limit.
    pub requests_per_second: f64,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With the ends of attempts and with the answers to probes.
    WithResponses,
    /// With the answers to probes only.
    WithProbes,
    /// Never.
    Never,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Dispatchers that share the endpoints; 0 counts as 1.
    pub dispatchers: u32,
    /// This dispatcher's zone.
    pub zone: u32,
    /// Classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Factor on the priority weight of requests that exceed their tenant's quota.
    pub over_quota_weight: f64,
    /// How endpoints report their load.
    pub load_reporting: LoadReporting,
    /// The list of endpoints must be subscribed to with [`Action::WatchEndpoints`].
    pub must_poll_endpoints: bool,
    /// [`Action::Probe`] is allowed.
    pub probes_allowed: bool,
    /// [`Action::CancelAttempt`] is allowed.
    pub cancellation_allowed: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging_allowed: bool,
    /// The longest retry advice that clients follow, in microseconds; 0 where they follow none.
    pub max_retry_after: Time,
    /// Attempts allowed for a request; 0 counts as 1.
    pub max_attempts: u32,
    /// The least time between two calls of the module, in microseconds.
    pub tick: Time,
    /// A final response counts until this long after the client's deadline, in microseconds.
    pub response_slack: Time,
    /// Nothing is sent to an endpoint later than this after it began to drain, in microseconds.
    pub drain_grace: Time,
    /// Time to live of a reserved KV cache, in microseconds: it is taken over or released within it.
    pub reservation_ttl: Time,
    /// Share of its capacity that an endpoint has when it starts, 0 to 1.
    pub slow_start_initial_share: f64,
    /// An endpoint is warm this long after its start, in microseconds.
    pub slow_start_duration: Time,
    /// An endpoint in slow start fails when it is sent this multiple of its capacity ...
    pub overload_threshold: f64,
    /// ... for this time, in microseconds.
    pub overload_window: Time,
    /// Cost of an attempt in another zone, as a share of the request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of moving a KV cache out of its cell, as a share of the request's priority weight.
    pub kv_transfer_cost: f64,
}

/// Whether a listed endpoint takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Takes requests.
    #[default]
    Ready,
    /// Completes what it has and takes nothing new.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The same number for this endpoint at every dispatcher, and for no other: affinity is hashed from it.
    pub key: u64,
    /// What it does.
    pub role: Role,
    /// Capacity of its KV memory, in tokens; 0 where it is not known.
    pub kv_capacity_tokens: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell, within which a KV cache moves at no cost.
    pub cell: u32,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Time>,
}

/// A load report; each value may be missing. Values that are negative, not finite or 1,000,000 and more are
/// ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests that are queued.
    pub queued: Option<f64>,
    /// Share of the KV memory that is reserved, 0 to 1.
    pub kv_memory_share: Option<f64>,
    /// Prompt tokens to prefill or to fetch, in thousands.
    pub pending_prefill_kilotokens: Option<f64>,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Its id.
    pub id: RequestId,
    /// Index of its class. A request of an unknown class fails with [`FailureReason::UnknownClass`].
    pub class: usize,
    /// Index of its tenant, where there are tenants.
    pub tenant: Option<usize>,
    /// Key of its session.
    pub session: Option<u64>,
    /// Key of the shared prefix with which its prompt begins.
    pub prefix: Option<u64>,
    /// Time left until the client's deadline, in microseconds.
    pub time_left: Time,
    /// Tokens of its prompt.
    pub prompt_tokens: f64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: f64,
    /// The most tokens that the response may have.
    pub max_output_tokens: f64,
    /// A rough estimate of the response's time at the inter-token objective, in microseconds.
    pub output_time_hint: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The response was complete.
    Served,
    /// The prefill is done; the KV cache is reserved at the endpoint.
    PrefillDone,
    /// An error response; it may have run.
    Error,
    /// Refused by an overloaded endpoint; it did not run.
    Overloaded,
    /// The endpoint held no KV cache for the request; it did not run.
    KvStateMissing,
    /// No response in time; it may have run.
    Timeout,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// A pooled connection broke before anything came back: it was probably closed while it was idle, which
    /// says nothing of the endpoint; it may have run.
    StaleConnection,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Refused because the request itself is invalid, as it would be anywhere; it did not run.
    InvalidRequest,
}

/// Why a router sheds or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// Nothing is likely to serve it within its objective, and load is above usual.
    Overload,
    /// Its KV cache may be reserved no longer.
    KvStateExpired,
    /// No further attempt is allowed.
    AttemptsExhausted,
    /// Its deadline or the router's shutdown deadline has passed.
    DeadlineExceeded,
    /// It may have run and must not run twice.
    NotRepeatable,
    /// Its class is not known.
    UnknownClass,
}

/// What a router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints, in full or what changed in it.
    EndpointsChanged {
        /// The list is complete: endpoints that are absent from it are removed.
        is_full: bool,
        /// Its lines.
        endpoints: Vec<EndpointRecord>,
    },
    /// New settings. A class's index keeps its meaning while requests of the class are open.
    SettingsChanged(RoutingSettings),
    /// This router ends at this instant: every request needs its final response by then.
    ShutdownDeadline(Time),
    /// A request for the list of endpoints failed, or the subscription broke.
    EndpointListFailed,
    /// A client's request has arrived.
    RequestArrived(RequestMetadata),
    /// The response of an attempt has begun.
    FirstEvent {
        /// The request. Unknown ids are ignored.
        id: RequestId,
        /// Index of the attempt, from 0. Unknown ones are ignored.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request. For unknown ids only the load is used.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// The endpoint that it was sent to.
        endpoint: EndpointId,
        /// How it ended.
        status: AttemptStatus,
        /// The client has its final response, by this attempt or before it.
        request_closed: bool,
        /// Prompt tokens found in the prefix cache; 0 where that was not reported.
        cached_tokens: f64,
        /// The endpoint's load, where it was reported.
        load: Option<LoadReport>,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The request. Unknown ids are ignored.
        id: RequestId,
    },
    /// The instant of an [`Action::SetTimer`] has come.
    TimerFired,
    /// A report of another dispatcher on an endpoint.
    PeerLoadReport {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its load; `None`: an attempt there has failed.
        load: Option<LoadReport>,
    },
    /// A probe has been answered or has failed.
    ProbeCompleted {
        /// The endpoint.
        endpoint: EndpointId,
        /// It answered.
        is_healthy: bool,
        /// Its load, where it was reported.
        load: Option<LoadReport>,
    },
}

/// What a router wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. A request's attempts count from 0 in the order of their starts.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// The attempt's timeout, in microseconds.
        timeout: Time,
    },
    /// Cancel an attempt; its end is reported as usual.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Final response: nothing was done, and a retry is harmless.
    Shed {
        /// The request.
        id: RequestId,
        /// Advice on when to retry, in microseconds from now; 0: none.
        retry_after: Time,
        /// Why.
        reason: FailureReason,
    },
    /// Final response that promises nothing: the request may have run, and a retry may do harm.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        reason: FailureReason,
    },
    /// Release every KV cache that is reserved for the request.
    ReleaseReservation {
        /// The request.
        id: RequestId,
    },
    /// Send [`Event::TimerFired`] at this instant. Replaces an earlier timer.
    SetTimer {
        /// When, in microseconds on the caller's clock.
        at: Time,
    },
    /// Ask an endpoint for its load.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the list of endpoints.
    WatchEndpoints,
}
