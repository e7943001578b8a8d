//! The JSON settings object, deserialized field for field. [`Deployment`](super::Deployment) resolves it into the terms
//! of the code.
//!
//! An absent field is `None`; `Deployment` chooses its default.

use miniserde::Deserialize;

/// The settings object of the configuration file; the field names are the setting names.
#[derive(Deserialize, Clone, Default)]
pub struct SettingsObject {
    /// The number of dispatchers in the fleet.
    pub(super) balancers: Option<u32>,
    /// The request classes; their order gives the class ids.
    pub(super) classes: Option<Vec<ClassSettings>>,
    /// The names of the zones.
    pub(super) dcs: Option<Vec<String>>,
    pub(super) deductions: Option<DeductionSettings>,
    /// Settings of the model family.
    pub(super) family_info: Option<FamilySettings>,
    pub(super) limits: Option<LimitSettings>,
    /// The names of the machine types, in the order of the lists indexed by machine type.
    pub(super) machine_types: Option<Vec<String>>,
    /// `subscribe`: the endpoint list is polled from a remote discovery service. Any other value: a local agent serves
    /// it.
    pub(super) membership_mode: Option<String>,
    /// The factor on the priority weight of requests over their tenant's quota.
    pub(super) over_share_worth: Option<f64>,
    pub(super) reporting: Option<ReportingSettings>,
    pub(super) rules: Option<RuleSettings>,
    pub(super) tenants: Option<Vec<TenantSettings>>,
    /// The minimum time between two calls of the router, in milliseconds.
    pub(super) tick: Option<f64>,
    /// The name of this dispatcher's zone.
    pub(super) zone: Option<String>,
    /// This dispatcher's index among its `peers`.
    pub me: Option<usize>,
}

/// A request class. Times are in milliseconds.
#[derive(Deserialize, Clone)]
pub(super) struct ClassSettings {
    pub(super) name: String,
    /// The TTFT objective of a request without prompt tokens.
    pub(super) aim: Option<f64>,
    /// The longest deadline of a request. The longest one of all classes bounds the drain at shutdown.
    pub(super) deadline: Option<f64>,
    /// The endpoints that share idempotency keys: `all`, `zone` or `cell`.
    pub(super) group: Option<String>,
    /// How long endpoints remember an idempotency key.
    pub(super) key_ttl: Option<f64>,
    /// Whether a request may run twice: `free`, `guarded` (by its idempotency key) or `single_shot`.
    pub(super) repeat: Option<String>,
    /// The priority weight of a request; absent: 0.
    pub(super) worth: Option<f64>,
}

/// A tenant and its quota, in requests per second.
#[derive(Deserialize, Clone)]
pub(super) struct TenantSettings {
    pub(super) name: String,
    pub(super) quota_per_s: Option<f64>,
}

/// Costs, as shares of a request's priority weight.
#[derive(Deserialize, Clone, Default)]
pub(super) struct DeductionSettings {
    /// The cost of an attempt in another zone.
    pub(super) cross_zone: Option<f64>,
    /// The cost of a full gossip message for each receiver.
    pub(super) peer: Option<f64>,
}

/// Settings of the model family. Times are in milliseconds unless the name says otherwise.
#[derive(Deserialize, Clone, Default)]
pub(super) struct FamilySettings {
    /// By class: what 1000 prompt tokens add to the TTFT objective, in microseconds.
    pub(super) aim_us_per_1000_prompt_tokens: Option<Vec<f64>>,
    /// The cost of transferring a KV cache to another cell.
    pub(super) move_fee: Option<f64>,
    /// The time within which a reserved KV cache is taken over or released.
    pub(super) release_within: Option<f64>,
    /// By machine type: `read` (prefill), `write` (decode) or `both`.
    pub(super) role_by_kind: Option<Vec<String>>,
    /// By class: the objective for the time between two tokens.
    pub(super) token_aim: Option<Vec<f64>>,
    /// By machine type: the KV cache's capacity in tokens.
    pub(super) tokens_by_kind: Option<Vec<f64>>,
}

/// Limits, and the optional mechanisms that the deployment allows. Times are in milliseconds.
#[derive(Deserialize, Clone, Default)]
pub(super) struct LimitSettings {
    /// Whether attempts may be cancelled.
    pub(super) cancel: Option<bool>,
    /// The time after which endpoints close an idle connection.
    pub(super) conn_idle: Option<f64>,
    /// The timeout for connecting to an endpoint.
    pub(super) dial_timeout: Option<f64>,
    /// The longest retry delay that clients follow.
    pub(super) max_retry_after: Option<f64>,
    /// Whether endpoints may be probed for their load.
    pub(super) may_probe: Option<bool>,
    /// Whether dispatchers may gossip.
    pub(super) peers: Option<bool>,
    /// The limit of open requests.
    pub(super) most_held: Option<u64>,
    /// The limit of attempts per request.
    pub(super) most_tries: Option<u32>,
    /// Whether clients follow the retry delay of a shed request.
    pub(super) retry_after: Option<bool>,
    /// Whether requests may be hedged.
    pub(super) second_copies: Option<bool>,
}

/// How endpoints report their load.
#[derive(Deserialize, Clone, Default)]
pub(super) struct ReportingSettings {
    /// `answers` (with each response), `probe` (only to probes) or `none`.
    pub(super) via: Option<String>,
}

/// Parameters of the routing rules. Times are in milliseconds.
#[derive(Deserialize, Clone, Default)]
pub(super) struct RuleSettings {
    /// The grace period after the client's deadline in which a final response still counts.
    pub(super) answer_slack: Option<f64>,
    /// The share of its full capacity with which an endpoint begins slow start, 0 to 1.
    pub(super) cold_from: Option<f64>,
    /// How long after the start of an endpoint's drain requests may still be sent to it.
    pub(super) drain_grace: Option<f64>,
    /// How long a load of `tip_multiple` must last for the endpoint to fail.
    pub(super) fall: Option<f64>,
    /// The load that makes an endpoint in slow start fail, as a multiple of its capacity.
    pub(super) tip_multiple: Option<f64>,
    /// The duration of slow start.
    pub(super) warm_within: Option<f64>,
}
