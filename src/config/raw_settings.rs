//! The JSON settings object, field for field. Pure data: [`Deployment`](super::Deployment) gives it meaning.
//!
//! An absent field is `None`; which default it stands for is decided where it is resolved.

use miniserde::Deserialize;

/// The settings object as it stands in the configuration file; the field names are the setting names.
#[derive(Deserialize, Clone, Default)]
pub struct SettingsObject {
    pub(super) balancers: Option<u32>,
    pub(super) classes: Option<Vec<ClassSettings>>,
    pub(super) dcs: Option<Vec<String>>,
    pub(super) deductions: Option<DeductionSettings>,
    pub(super) family_info: Option<FamilySettings>,
    pub(super) limits: Option<LimitSettings>,
    pub(super) machine_types: Option<Vec<String>>,
    pub(super) membership_mode: Option<String>,
    pub(super) over_share_worth: Option<f64>,
    pub(super) reporting: Option<ReportingSettings>,
    pub(super) rules: Option<RuleSettings>,
    pub(super) tenants: Option<Vec<TenantSettings>>,
    pub(super) tick: Option<f64>,
    pub(super) zone: Option<String>,
    /// This dispatcher's index among its `peers`.
    pub me: Option<usize>,
}

/// A request class. Times are in milliseconds.
#[derive(Deserialize, Clone)]
pub(super) struct ClassSettings {
    pub(super) name: String,
    pub(super) aim: Option<f64>,
    pub(super) deadline: Option<f64>,
    pub(super) group: Option<String>,
    pub(super) key_ttl: Option<f64>,
    pub(super) repeat: Option<String>,
    pub(super) worth: Option<f64>,
}

/// A tenant and its quota, in requests per second.
#[derive(Deserialize, Clone)]
pub(super) struct TenantSettings {
    pub(super) name: String,
    pub(super) quota_per_s: Option<f64>,
}

/// What is deducted from an endpoint's or a message's value.
#[derive(Deserialize, Clone, Default)]
pub(super) struct DeductionSettings {
    pub(super) cross_zone: Option<f64>,
    pub(super) peer: Option<f64>,
}

/// What holds for the family of models: lists are indexed by class or by machine type.
#[derive(Deserialize, Clone, Default)]
pub(super) struct FamilySettings {
    pub(super) aim_us_per_1000_prompt_tokens: Option<Vec<f64>>,
    pub(super) move_fee: Option<f64>,
    pub(super) release_within: Option<f64>,
    pub(super) role_by_kind: Option<Vec<String>>,
    pub(super) token_aim: Option<Vec<f64>>,
    pub(super) tokens_by_kind: Option<Vec<f64>>,
}

/// What the deployment allows. Times are in milliseconds.
#[derive(Deserialize, Clone, Default)]
pub(super) struct LimitSettings {
    pub(super) cancel: Option<bool>,
    pub(super) conn_idle: Option<f64>,
    pub(super) dial_timeout: Option<f64>,
    pub(super) max_retry_after: Option<f64>,
    pub(super) may_probe: Option<bool>,
    pub(super) peers: Option<bool>,
    pub(super) most_held: Option<u64>,
    pub(super) most_tries: Option<u32>,
    pub(super) retry_after: Option<bool>,
    pub(super) second_copies: Option<bool>,
}

/// How endpoints report their load.
#[derive(Deserialize, Clone, Default)]
pub(super) struct ReportingSettings {
    pub(super) via: Option<String>,
}

/// Parameters of the routing rules. Times are in milliseconds.
#[derive(Deserialize, Clone, Default)]
pub(super) struct RuleSettings {
    pub(super) answer_slack: Option<f64>,
    pub(super) cold_from: Option<f64>,
    pub(super) drain_grace: Option<f64>,
    pub(super) fall: Option<f64>,
    pub(super) tip_multiple: Option<f64>,
    pub(super) warm_within: Option<f64>,
}
