//! The configuration of the dispatchers under test, and the limits in it that the oracle checks.

use std::time::Duration;

/// Setting `release_within`: the longest time that a reserved KV cache may be idle, with no attempt in flight. The KV cache
/// has to be consumed or released by then.
pub const KV_RESERVATION_TTL: Duration = Duration::from_millis(600);
/// The protocol's tolerance on [`KV_RESERVATION_TTL`].
pub const KV_RELEASE_SLACK: Duration = Duration::from_millis(300);
/// Attempts may reach a replica for this long after the dispatcher was notified that the replica is draining: the setting
/// `drain_grace`, plus 50 ms that the protocol allows.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Setting `deadline` of ordinary runs: the longest that a client waits for its first token.
pub const MAX_DEADLINE: Duration = Duration::from_millis(4_000);
/// Setting `deadline` of runs with short deadlines.
pub const SHORT_DEADLINE: Duration = Duration::from_millis(500);
/// The most file descriptors that a dispatcher process may open.
pub const MAX_DESCRIPTORS: u32 = 512;
/// Request class whose requests may be executed more than once.
pub const IDEMPOTENT_CLASS: &str = "chat";
/// Request class whose requests must be executed at most once.
pub const NON_IDEMPOTENT_CLASS: &str = "order";

/// Formats the JSON configuration file of dispatcher `number`, from 0, out of `processes`. `seed` starts the dispatcher's
/// own random generator. `listen` is the host and port for clients, `discovery` that of the discovery agent. `max_deadline`
/// is the setting `deadline` of both classes.
pub fn config_text(
    number: usize,
    processes: usize,
    seed: u64,
    listen: &str,
    discovery: &str,
    max_deadline: Duration,
) -> String {
    let release = KV_RESERVATION_TTL.as_millis();
    let deadline = max_deadline.as_millis();
    format!(
        r#"{{"name":"p{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{MAX_DESCRIPTORS}}},
 "settings":{{"balancers":{processes},"me":{number},"zone":"zone-0","dcs":["zone-0"],"tick":4.0,"over_share_worth":0.2,
 "classes":[
  {{"name":"{IDEMPOTENT_CLASS}","aim":1500.0,"deadline":{deadline}.0,"repeat":"free","group":"all","key_ttl":0.0,"worth":1.0}},
  {{"name":"{NON_IDEMPOTENT_CLASS}","aim":1500.0,"deadline":{deadline}.0,"repeat":"single_shot","group":"all","key_ttl":0.0,"worth":1.0}}],
 "family_info":{{"role_by_kind":["read","write"],"tokens_by_kind":[600000,400000],"release_within":{release}.0,
  "token_aim":[60.0,60.0],"aim_us_per_1000_prompt_tokens":[20000.0,20000.0],"move_fee":0.01}},
 "limits":{{"most_tries":5,"cancel":true,"conn_idle":30000.0,"dial_timeout":250.0,"retry_after":true,
  "max_retry_after":500.0,"second_copies":true,"most_held":500,"may_probe":false,"peers":false}},
 "machine_types":["prefill","decode"],"membership_mode":"push","reporting":{{"via":"answers"}},
 "deductions":{{"cross_zone":0.01}},
 "rules":{{"fall":1500.0,"answer_slack":16.0,"drain_grace":250.0,"cold_from":0.3,"tip_multiple":2.5,"warm_within":10000.0}},
 "tenants":[{{"name":"acme","quota_per_s":0.0}}]}}}}"#
    )
}
