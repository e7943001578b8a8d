//! The configuration of a real dispatcher in a scale run: a deployment of the project's own, by the target's figures.

use crate::scenario::Scenario;
use std::time::Duration;

/// What a cold replica can do, in requests a second, when it is warm.
pub const CAPACITY: f64 = 20.0;
/// The part of it that it has at its start, the multiple that makes it fall, and in which time.
pub const COLD_FROM: f64 = 0.3;
/// What a cold replica that is sent this multiple of what it can do does: it falls.
pub const FALL_MULTIPLE: f64 = 2.5;
/// The time in which that is counted.
pub const FALL: Duration = Duration::from_millis(1_500);
/// A replica is warm after this.
pub const WARM_WITHIN: Duration = Duration::from_secs(20);
/// What a full message costs for each receiver and request.
pub const PEER_PRICE: f64 = 0.0028;

/// Addresses of one real dispatcher.
pub struct Addresses {
    /// Where clients connect.
    pub listen: String,
    /// Its agent of discovery.
    pub discovery: String,
    /// Where it is told things by others.
    pub peer_listen: String,
    /// Where it tells all others things.
    pub peers_all: String,
}

/// The configuration file of the dispatcher with this number.
pub fn text(
    scenario: &Scenario,
    number: usize,
    seed: u64,
    addresses: &Addresses,
    peers: &[String],
) -> String {
    let zones: Vec<String> = (0..scenario.fleet.zones)
        .map(|zone| format!("\"zone-{zone}\""))
        .collect();
    let peers: Vec<String> = peers.iter().map(|it| format!("\"{it}\"")).collect();
    let Addresses {
        listen,
        discovery,
        peer_listen,
        peers_all,
    } = addresses;
    let (told, sockets) = (scenario.dispatchers.told, scenario.dispatchers.sockets);
    let (fall, warm) = (FALL.as_millis(), WARM_WITHIN.as_millis());
    let (zones, peers, zone) = (
        zones.join(","),
        peers.join(","),
        number as u32 % scenario.fleet.zones,
    );
    format!(
        r#"{{"name":"d{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":256,"sockets":{sockets}}},
 "peer_listen":"{peer_listen}","peers":[{peers}],"peers_all":"{peers_all}",
 "settings":{{"balancers":{told},"me":{number},"zone":"zone-{zone}","dcs":[{zones}],"tick":4.0,"over_share_worth":0.2,
 "classes":[{{"name":"chat","aim":510.0,"deadline":4000.0,"repeat":"free","group":"all","key_ttl":0.0,"worth":1.0}}],
 "family_info":{{"role_by_kind":["read","write"],"tokens_by_kind":[600000,400000],"release_within":1000.0,
  "token_aim":[60.0],"aim_us_per_1000_prompt_tokens":[20000.0],"move_fee":0.01}},
 "limits":{{"most_tries":5,"cancel":true,"conn_idle":30000.0,"dial_timeout":250.0,"retry_after":true,
  "max_retry_after":500.0,"second_copies":true,"most_held":2000,"may_probe":true,"peers":true}},
 "machine_types":["prefill","decode"],"membership_mode":"push","reporting":{{"via":"answers"}},
 "deductions":{{"cross_zone":0.01,"peer":{PEER_PRICE}}},
 "rules":{{"fall":{fall}.0,"answer_slack":16.0,"drain_grace":250.0,"cold_from":{COLD_FROM},
  "tip_multiple":{FALL_MULTIPLE},"warm_within":{warm}.0}},
 "tenants":[{{"name":"acme","quota_per_s":0.0}}]}}}}"#
    )
}
