//! What was measured, as it is kept: JSON files below `crates/scale/results`.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// What one kind of step cost.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct Cost {
    /// Steps that were measured.
    pub count: u64,
    /// The middle one, in microseconds.
    pub median_us: f64,
    /// The 99th percentile, in microseconds.
    pub p99_us: f64,
    /// The mean, in microseconds.
    pub mean_us: f64,
}

impl Cost {
    /// Of a histogram in the unit of [`crate::world::UNITS_PER_MICROSECOND`].
    pub fn of(histogram: &hdrhistogram::Histogram<u64>) -> Cost {
        let us = |value: f64| value / crate::world::UNITS_PER_MICROSECOND;
        Cost {
            count: histogram.len(),
            median_us: us(histogram.value_at_quantile(0.5) as f64),
            p99_us: us(histogram.value_at_quantile(0.99) as f64),
            mean_us: us(histogram.mean()),
        }
    }
}

/// What the steps of the module cost at one size, in one play.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepCosts {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Dispatchers that the settings told of.
    pub dispatchers: u32,
    /// Part of the replicas that was cold.
    pub cold: f64,
    /// The play's seed.
    pub seed: u64,
    /// Requests that were played.
    pub arrivals: usize,
    /// All that were asked for were played; else the time was up before.
    pub finished: bool,
    /// By the step's name.
    pub steps: BTreeMap<String, Cost>,
}

/// One run of a command of measurement, with all that is needed to repeat it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run<T> {
    /// The command line, without the program's path.
    pub command: String,
    /// The commit that was measured, and whether the tree differed from it.
    pub commit: String,
    /// Unix time of its end, in seconds.
    pub at: u64,
    /// Cores of the machine.
    pub cores: usize,
    /// What it gave.
    pub results: T,
}

/// Reads a file of results; the error is one line.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes a file of results; the error is one line.
pub fn write<T: Serialize>(path: &Path, results: &T) -> Result<(), String> {
    let text = serde_json::to_string_pretty(results).map_err(|error| error.to_string())?;
    std::fs::write(path, text + "\n").map_err(|error| format!("{}: {error}", path.display()))
}

/// What a choice among candidates was worth, and one among all servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChoiceWorth {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Routers that were played, which is all of them.
    pub routers: usize,
    /// Part of the replicas that was cold.
    pub cold: f64,
    /// The seed of both plays.
    pub seed: u64,
    /// Requests of each play.
    pub arrivals: usize,
    /// Worth served in time with candidates, as part of what came.
    pub worth_candidates: f64,
    /// The same with all servers looked at.
    pub worth_full: f64,
    /// Requests that were refused or failed with candidates.
    pub given_up_candidates: usize,
    /// The same with all servers looked at.
    pub given_up_full: usize,
    /// Both did the same, draw for draw.
    pub same: bool,
}

/// Resident memory that things of one kind take.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemoryUse {
    /// What they are.
    pub kind: String,
    /// How many there were.
    pub count: u64,
    /// Bytes for each.
    pub bytes_each: f64,
}

/// Rules that were counted at the replicas.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct RuleCounts {
    /// Requests that came to a replica over 0.3 s after their dispatcher was told that it drains.
    pub sends_after_drain: u64,
    /// Cold replicas that were sent more than the rule allows, by all dispatchers together.
    pub cold_falls: u64,
    /// Read states that were held for longer than the settings allow.
    pub states_held_too_long: u64,
}

/// What clients were answered.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Answers {
    /// Requests that were sent.
    pub sent: u64,
    /// Served to the end of the stream.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Not answered, or not to the end.
    pub lost: u64,
}

impl Answers {
    /// The sum of both.
    pub fn and(self, other: Answers) -> Answers {
        Answers {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            failed: self.failed + other.failed,
            lost: self.lost + other.lost,
        }
    }
}

/// Quantiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct Times {
    /// How many there were.
    pub count: u64,
    /// The middle one.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

impl Times {
    /// Of a histogram in microseconds.
    pub fn of(histogram: &hdrhistogram::Histogram<u64>) -> Times {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Times {
            count: histogram.len(),
            median_ms: at(0.5),
            p99_ms: at(0.99),
            longest_ms: at(1.0),
        }
    }
}

/// What one real dispatcher used while it was under load.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Usage {
    /// Processor time, as part of one core.
    pub core: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
    /// Seconds from its start until it was ready.
    pub ready_s: f64,
    /// Processor time up to then, in seconds.
    pub ready_core_s: f64,
    /// Bytes a second of lists that it was sent.
    pub list_bytes_per_s: f64,
    /// Lists that it was sent, whole ones among them.
    pub lists: u64,
    /// Whole lists that it was sent.
    pub whole_lists: u64,
    /// Bytes a second that it was told by other dispatchers.
    pub heard_bytes_per_s: f64,
}

/// One scale run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleRun {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the load.
    pub seed: u64,
    /// Replicas.
    pub replicas: usize,
    /// Real dispatchers.
    pub real: usize,
    /// Hollow dispatchers.
    pub hollow: usize,
    /// Requests a second of each real dispatcher.
    pub rate: f64,
    /// What clients were answered, by all real dispatchers.
    pub answers: Answers,
    /// Rules.
    pub rules: RuleCounts,
    /// By real dispatcher.
    pub usage: Vec<Usage>,
    /// From when a request was due to its first token.
    pub first_token: Times,
    /// From when a request was due to its arrival at the first replica.
    pub to_replica: Times,
    /// From discovery's write of a drain to a send against it.
    pub after_drain: Times,
    /// Probes for each request.
    pub probes_per_request: f64,
    /// Connections to replicas for each request.
    pub connections_per_request: f64,
    /// Bytes a second of probes, all real dispatchers together.
    pub probe_bytes_per_s: f64,
    /// How late the rig sent requests.
    pub sent_late: Times,
    /// Cores that the rig used, on the mean.
    pub rig_cores: f64,
    /// The rig was the bottleneck: the times are no figures of the dispatcher.
    pub rig_limited: bool,
}
