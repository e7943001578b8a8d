//! The interface of the routing module: a router's settings, the events that it handles, and the actions that
//! it returns.
//!
//! This file has types only and no logic. No input is an error: a router ignores ids that it doesn't know.
//! Every [`Time`] is in microseconds on the caller's clock. Ids are assigned by the caller. The caller owns
//! all values; a [`Router`](crate::routing::Router) copies what it needs.

/// An instant or a duration, in microseconds.
pub type Time = u64;
/// The caller's number for one client request. Unique among open requests.
pub type RequestId = u64;
/// The caller's number for an endpoint.
pub type EndpointId = u32;

/// The part of a request's work that an endpoint does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts, and reserves each KV cache until a decode endpoint takes it over.
    #[default]
    Prefill,
    /// Takes over KV caches and streams responses.
    Decode,
    /// Does prefill and decode, for the same request or for different ones.
    Mixed,
}

/// The set of endpoints that share idempotency keys and drop duplicates of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    AllEndpoints,
    /// The endpoints of the zone that the request was first sent to.
    Zone,
    /// The endpoints of the cell that the request was first sent to.
    Cell,
}

/// Whether a request may safely run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Endpoints in `scope` drop duplicates for `window` after the request was first sent.
    IdempotencyKey {
        /// The endpoints that drop duplicates.
        scope: DeduplicationScope,
        /// How long duplicates are dropped, in microseconds.
        window: Time,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// A request class: objectives, priority and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Objective for the time to first token (TTFT), in microseconds.
    pub ttft_objective: Time,
    /// Addition to the TTFT objective for each 1,000 prompt tokens, in microseconds.
    pub ttft_objective_per_1000_tokens: Time,
    /// Objective for the mean time between output tokens, in microseconds; 0: none.
    pub inter_token_objective: Time,
    /// Weight of a request that meets its objective, relative to other classes.
    pub priority_weight: f64,
    /// Whether requests of this class may run more than once.
    pub idempotency: Idempotency,
    /// Whether new requests may have this class. Requests that are already open keep an inactive class.
    pub is_active: bool,
}

/// A tenant's quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second over all dispatchers together; 0: no limit.
    pub requests_per_second: f64,
}

/// How endpoints report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// With ended attempts and with probe responses.
    WithResponses,
    /// With probe responses only.
    WithProbes,
    /// Endpoints report no load.
    Never,
}

/// The settings of a router.
#[derive(Clone, Debug)]
pub struct RoutingSettings {
    /// Number of dispatchers that share the endpoints; 0 counts as 1.
    pub dispatchers: u32,
    /// This dispatcher's zone.
    pub zone: u32,
    /// Request classes; [`RequestMetadata::class`] is an index into them.
    pub classes: Vec<RequestClass>,
    /// Tenants; [`RequestMetadata::tenant`] is an index into them. May be empty.
    pub tenants: Vec<Tenant>,
    /// Factor applied to the priority weight of a request that exceeds its tenant's quota.
    pub over_quota_weight: f64,
    /// How endpoints report their load. With [`LoadReporting::Never`], the router sends no probes before a
    /// placement.
    pub load_reporting: LoadReporting,
    /// Whether the router must subscribe to the endpoint list with [`Action::WatchEndpoints`]; if false, the
    /// list is pushed without a subscription.
    pub must_poll_endpoints: bool,
    /// Whether the router may emit [`Action::Probe`].
    pub probes_allowed: bool,
    /// Whether the router may emit [`Action::CancelAttempt`].
    pub cancellation_allowed: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging_allowed: bool,
    /// The longest `retry_after` of [`Action::Shed`] that clients follow, in microseconds; 0: they follow none.
    pub max_retry_after: Time,
    /// Maximum attempts for each request; 0 counts as 1.
    pub max_attempts: u32,
    /// Minimum time between two calls of the router, in microseconds. Deadlines leave room for it.
    pub tick: Time,
    /// Grace period after the client's deadline in which a final response still counts, in microseconds.
    pub response_slack: Time,
    /// Time after the start of a drain from which on nothing is sent to the endpoint, in microseconds.
    pub drain_grace: Time,
    /// Time within which a reserved KV cache is taken over or released, in microseconds.
    pub reservation_ttl: Time,
    /// Share of its full capacity that an endpoint has when it starts, 0 to 1.
    pub slow_start_initial_share: f64,
    /// Duration of slow start, in microseconds. Meanwhile the capacity rises linearly to the full one.
    pub slow_start_duration: Time,
    /// Load that makes an endpoint in slow start fail, as a multiple of its capacity.
    pub overload_threshold: f64,
    /// How long a load of `overload_threshold` must last for the endpoint to fail, in microseconds.
    pub overload_window: Time,
    /// Cost of an attempt in another zone, as a share of the request's priority weight.
    pub cross_zone_cost: f64,
    /// Cost of moving a KV cache to another cell, as a share of the request's priority weight.
    pub kv_transfer_cost: f64,
}

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Accepts requests.
    #[default]
    Ready,
    /// Completes its requests and accepts no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointRecord {
    /// The endpoint's id, assigned by the caller.
    pub endpoint: EndpointId,
    /// Unique number of the endpoint, the same at every dispatcher: prefix affinity is hashed from it.
    pub key: u64,
    /// The work that the endpoint does.
    pub role: Role,
    /// Capacity of its KV cache memory, in tokens; 0: unknown.
    pub kv_capacity_tokens: f64,
    /// Zone number, in the numbering of [`RoutingSettings::zone`].
    pub zone: u32,
    /// Cell number. Moving a KV cache within a cell costs nothing.
    pub cell: u32,
    /// Whether it accepts requests.
    pub status: EndpointStatus,
    /// Instant of the endpoint's last start. The router treats a change of this value as a restart. `None`:
    /// the start was long enough ago that slow start is over.
    pub started_at: Option<Time>,
}

/// An endpoint's load; each value may be missing. Values that are negative, not finite, or at least 1,000,000
/// are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests in the endpoint's queue. Routing doesn't use this value.
    pub queued: Option<f64>,
    /// Share of the KV cache memory that is reserved, 0 to 1.
    pub kv_memory_share: Option<f64>,
    /// Prompt tokens still to be prefilled or fetched, in thousands.
    pub pending_prefill_kilotokens: Option<f64>,
}

/// A request on its arrival.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// The caller's id of the request. Every event and action names the request by it.
    pub id: RequestId,
    /// Index into [`RoutingSettings::classes`]. A request with any other index fails with
    /// [`FailureReason::UnknownClass`].
    pub class: usize,
    /// Index into [`RoutingSettings::tenants`]; `None`: no quota applies.
    pub tenant: Option<usize>,
    /// Key of the request's session; `None`: it belongs to no session.
    pub session: Option<u64>,
    /// Key of the shared prefix with which the prompt begins; `None`: the prompt has no shared prefix.
    pub prefix: Option<u64>,
    /// Time left until the client's deadline, in microseconds.
    pub time_left: Time,
    /// Tokens in the whole prompt, including the shared prefix.
    pub prompt_tokens: f64,
    /// Tokens in the shared prefix; 0 without one.
    pub prefix_tokens: f64,
    /// Maximum tokens in the response.
    pub max_output_tokens: f64,
    /// Estimated duration of the response at the inter-token objective, in microseconds; `None` or 0: unknown.
    pub output_time_hint: Option<Time>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The response was complete.
    Served,
    /// The prefill is complete, and the KV cache is reserved at the endpoint.
    PrefillDone,
    /// The endpoint returned an error; the attempt may have run.
    Error,
    /// The endpoint refused the attempt because of overload; it did not run.
    Overloaded,
    /// The endpoint had no KV cache for the request; the attempt did not run.
    KvStateMissing,
    /// No response arrived in time; the attempt may have run.
    Timeout,
    /// No connection was established; the attempt did not run.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    Reset,
    /// A pooled connection was lost before any response byte arrived. It was probably closed while idle, which
    /// is no sign of an unhealthy endpoint. The attempt may have run.
    StaleConnection,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The request is invalid, and any endpoint would refuse it; the attempt did not run.
    InvalidRequest,
}

/// Why a router sheds or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureReason {
    /// No endpoint is likely to meet the request's objective, and load is above normal.
    Overload,
    /// The reservation of the request's KV cache has reached its time limit.
    KvStateExpired,
    /// The maximum number of attempts is reached.
    AttemptsExhausted,
    /// The request's deadline or the router's shutdown deadline has passed.
    DeadlineExceeded,
    /// An attempt may have run, and the request must not run twice.
    NotRepeatable,
    /// The request's class is not in the settings.
    UnknownClass,
}

/// An input of a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointsChanged {
        /// Whether `endpoints` is the complete list; endpoints that are absent from it are removed then.
        is_full: bool,
        /// The entries, or those that changed.
        endpoints: Vec<EndpointRecord>,
    },
    /// New settings. The index of a class must not change while requests of the class are open.
    SettingsChanged(RoutingSettings),
    /// The router stops at this time; every request needs a final response by then.
    ShutdownDeadline(Time),
    /// A query for the endpoint list failed, or the subscription ended.
    EndpointListFailed,
    /// A client request has arrived.
    RequestArrived(RequestMetadata),
    /// The first event of an attempt's response has arrived.
    FirstEvent {
        /// The request. Unknown ids are ignored.
        id: RequestId,
        /// Index of the attempt, from 0. Unknown indices are ignored.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request. For unknown ids, only the load is used.
        id: RequestId,
        /// Index of the attempt, from 0.
        attempt: u32,
        /// The endpoint that the attempt was sent to.
        endpoint: EndpointId,
        /// How the attempt ended.
        status: AttemptStatus,
        /// Whether the client has its final response, from this attempt or an earlier one.
        request_closed: bool,
        /// Prompt tokens found in the endpoint's prefix cache; 0: none or not reported.
        cached_tokens: f64,
        /// The endpoint's load; `None`: not reported.
        load: Option<LoadReport>,
    },
    /// The client has disconnected, or the caller has closed the request itself, as after its deadline.
    ClientDisconnected {
        /// The request. Unknown ids are ignored.
        id: RequestId,
    },
    /// The time of an [`Action::SetTimer`] has come.
    TimerFired,
    /// Another dispatcher's report about an endpoint.
    PeerLoadReport {
        /// The endpoint. Unknown ids are ignored.
        endpoint: EndpointId,
        /// The endpoint's load; `None`: an attempt there has failed.
        load: Option<LoadReport>,
    },
    /// A probe was answered or has failed.
    ProbeCompleted {
        /// The probed endpoint. Unknown ids are ignored.
        endpoint: EndpointId,
        /// Whether the endpoint answered.
        is_healthy: bool,
        /// The endpoint's load; `None`: not reported.
        load: Option<LoadReport>,
    },
}

/// A command that the caller executes for a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt. The attempts of a request are numbered from 0 in the order of their starts.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint to send the attempt to.
        endpoint: EndpointId,
        /// The attempt's timeout, in microseconds.
        timeout: Time,
    },
    /// Cancels an attempt. [`Event::AttemptEnded`] follows as for any other attempt.
    CancelAttempt {
        /// The request. It may already have its final response.
        id: RequestId,
        /// Index of the attempt.
        attempt: u32,
    },
    /// Ends a request with a final response that tells the client that a retry is safe.
    Shed {
        /// The request, which has neither a final response nor a first event yet.
        id: RequestId,
        /// When the client should retry, in microseconds from now; 0: no advice.
        retry_after: Time,
        /// Why the request was not served.
        reason: FailureReason,
    },
    /// Ends a request with a final response that promises nothing: the request may have run, and a retry may
    /// be unsafe.
    Fail {
        /// The request, which has neither a final response nor a first event yet.
        id: RequestId,
        /// Why the request was not served.
        reason: FailureReason,
    },
    /// Releases every KV cache that is reserved for the request.
    ReleaseReservation {
        /// The request, which has its first event, or a final response and no attempt in flight.
        id: RequestId,
    },
    /// Requests [`Event::TimerFired`] at a given time. Replaces the previous timer.
    SetTimer {
        /// Time at which the timer fires, in microseconds on the caller's clock.
        at: Time,
    },
    /// Queries an endpoint for its load. [`Event::ProbeCompleted`] follows.
    Probe {
        /// The endpoint, whose last load report is missing or too old.
        endpoint: EndpointId,
    },
    /// Subscribes to changes of the endpoint list. Emitted only if
    /// [`RoutingSettings::must_poll_endpoints`] is set.
    WatchEndpoints,
}
