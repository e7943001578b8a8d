//! The configuration file of a real dispatcher in a scale run, with the settings of the target deployment.
//!
//! The bench checks the slow start rule by the same constants. [`crate::core_steps`] uses the same configuration.

use crate::scenario::Scenario;
use std::time::Duration;

/// The capacity of a warm replica, in requests per second.
pub const REPLICA_REQUESTS_PER_SECOND: f64 = 20.0;
/// The share of its warm capacity ([`REPLICA_REQUESTS_PER_SECOND`]) that a replica has right after its start.
pub const SLOW_START_INITIAL_SHARE: f64 = 0.3;
/// A replica in slow start is overloaded if it is sent more than this multiple of its initial capacity within
/// [`OVERLOAD_WINDOW`].
pub const OVERLOAD_CAPACITY_MULTIPLE: f64 = 2.5;
/// The window over which requests to a replica in slow start are counted.
pub const OVERLOAD_WINDOW: Duration = Duration::from_millis(1_500);
/// The time from the start of a replica until it is warm.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(20);
/// The cost of a full gossip message for each receiver, as a share of the value of one request.
pub const GOSSIP_COST: f64 = 0.0028;

/// The addresses that one real dispatcher listens on or sends to, each with its port.
pub struct Addresses {
    /// The listener for clients.
    pub listen: String,
    /// The discovery agent that the dispatcher polls.
    pub discovery: String,
    /// The UDP socket that receives gossip.
    pub peer_listen: String,
    /// The destination of gossip to all other dispatchers.
    pub peers_all: String,
}

/// Formats the elements of a JSON array of strings, without its brackets.
fn quoted_list(values: impl Iterator<Item = String>) -> String {
    let items: Vec<String> = values.map(|value| format!("\"{value}\"")).collect();
    items.join(",")
}

/// Formats the configuration file of the real dispatcher with this number. `peers` are the gossip addresses of all
/// dispatchers, by number. Keys and values are those of the dispatcher's configuration.
pub fn config_text(
    scenario: &Scenario,
    number: usize,
    seed: u64,
    addresses: &Addresses,
    peers: &[String],
) -> String {
    let Addresses {
        listen,
        discovery,
        peer_listen,
        peers_all,
    } = addresses;
    let dispatchers = scenario.dispatchers.configured;
    let sockets = scenario.dispatchers.max_sockets;
    let overload_window_ms = OVERLOAD_WINDOW.as_millis();
    let slow_start_ms = SLOW_START_DURATION.as_millis();
    let zones = quoted_list((0..scenario.fleet.zones).map(|zone| format!("zone-{zone}")));
    let zone = number as u32 % scenario.fleet.zones;
    let peers = quoted_list(peers.iter().cloned());
    format!(
        r#"{{"name":"d{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":256,"sockets":{sockets}}},
 "peer_listen":"{peer_listen}","peers":[{peers}],"peers_all":"{peers_all}",
 "settings":{{"balancers":{dispatchers},"me":{number},"zone":"zone-{zone}","dcs":[{zones}],"tick":4.0,"over_share_worth":0.2,
 "classes":[{{"name":"chat","aim":510.0,"deadline":4000.0,"repeat":"free","group":"all","key_ttl":0.0,"worth":1.0}}],
 "family_info":{{"role_by_kind":["read","write"],"tokens_by_kind":[600000,400000],"release_within":1000.0,
  "token_aim":[60.0],"aim_us_per_1000_prompt_tokens":[20000.0],"move_fee":0.01}},
 "limits":{{"most_tries":5,"cancel":true,"conn_idle":30000.0,"dial_timeout":250.0,"retry_after":true,
  "max_retry_after":500.0,"second_copies":true,"most_held":2000,"may_probe":true,"peers":true}},
 "machine_types":["prefill","decode"],"membership_mode":"push","reporting":{{"via":"answers"}},
 "deductions":{{"cross_zone":0.01,"peer":{GOSSIP_COST}}},
 "rules":{{"fall":{overload_window_ms}.0,"answer_slack":16.0,"drain_grace":250.0,"cold_from":{SLOW_START_INITIAL_SHARE},
  "tip_multiple":{OVERLOAD_CAPACITY_MULTIPLE},"warm_within":{slow_start_ms}.0}},
 "tenants":[{{"name":"acme","quota_per_s":0.0}}]}}}}"#
    )
}
