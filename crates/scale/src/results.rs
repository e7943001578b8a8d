//! Measured results and their form as JSON files below `crates/scale/results`.
//!
//! The files keep the names that fields had when the committed results were written; where the code's name differs, a
//! `serde` rename stands beside it.

use crate::simulation::UNITS_PER_MICROSECOND;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};

/// The cost of one kind of step.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct StepCost {
    /// Steps that were measured.
    pub count: u64,
    /// The median, in microseconds.
    pub median_us: f64,
    /// The 99th percentile, in microseconds.
    pub p99_us: f64,
    /// The mean, in microseconds.
    pub mean_us: f64,
}

impl StepCost {
    /// Summarizes a histogram in the unit of [`UNITS_PER_MICROSECOND`].
    pub fn from_histogram(histogram: &Histogram<u64>) -> StepCost {
        let to_us = |value: f64| value / UNITS_PER_MICROSECOND;
        StepCost {
            count: histogram.len(),
            median_us: to_us(histogram.value_at_quantile(0.5) as f64),
            p99_us: to_us(histogram.value_at_quantile(0.99) as f64),
            mean_us: to_us(histogram.mean()),
        }
    }
}

/// The cost of the routing module's steps at one size, in one simulation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepCosts {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Dispatchers of the fleet, as configured.
    pub dispatchers: u32,
    /// Share of the replicas that was warming up.
    #[serde(rename = "cold")]
    pub warming_up_share: f64,
    /// The simulation's seed.
    pub seed: u64,
    /// Requests that were simulated.
    pub arrivals: usize,
    /// All requested arrivals were simulated; otherwise the time limit came before.
    #[serde(rename = "finished")]
    pub is_finished: bool,
    /// By the step's name.
    pub steps: BTreeMap<String, StepCost>,
}

/// A run of a measuring command, with all that is needed to repeat it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MeasurementRun<T> {
    /// The command line, without the program's path.
    pub command: String,
    /// The commit that was measured, and whether the tree differed from it.
    pub commit: String,
    /// When it ended, in Unix seconds.
    #[serde(rename = "at")]
    pub ended_at: u64,
    /// Cores of the machine.
    pub cores: usize,
    /// What was measured.
    pub results: T,
}

/// Why a file of results could not be read or written.
#[derive(Debug)]
pub enum ResultsError {
    /// The file cannot be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's JSON is not of the expected kind.
    Parse {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The results have no form in JSON.
    Serialize(serde_json::Error),
}

impl fmt::Display for ResultsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ResultsError::File { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
            ResultsError::Parse { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
            ResultsError::Serialize(source) => source.fmt(formatter),
        }
    }
}

impl Error for ResultsError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ResultsError::File { source, .. } => Some(source),
            ResultsError::Parse { source, .. } | ResultsError::Serialize(source) => Some(source),
        }
    }
}

/// Reads a file of results.
///
/// # Errors
///
/// Fails if the file cannot be read or is of another kind; the error is one line.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, ResultsError> {
    let text = std::fs::read_to_string(path).map_err(|source| ResultsError::File {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| ResultsError::Parse {
        path: path.to_owned(),
        source,
    })
}

/// Writes a file of results.
///
/// # Errors
///
/// Fails if the file cannot be written; the error is one line.
pub fn write<T: Serialize>(path: &Path, results: &T) -> Result<(), ResultsError> {
    let text = serde_json::to_string_pretty(results).map_err(ResultsError::Serialize)?;
    std::fs::write(path, text + "\n").map_err(|source| ResultsError::File {
        path: path.to_owned(),
        source,
    })
}

/// Selection among candidates, compared with selection among all endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SelectionComparison {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Routers that were simulated, which is all of them.
    pub routers: usize,
    /// Share of the replicas that was warming up.
    #[serde(rename = "cold")]
    pub warming_up_share: f64,
    /// The seed of both simulations.
    pub seed: u64,
    /// Requests of each simulation.
    pub arrivals: usize,
    /// Priority weight served in time with candidates, as a share of all that arrived.
    #[serde(rename = "worth_candidates")]
    pub served_weight_share: f64,
    /// The same with all endpoints scored.
    #[serde(rename = "worth_full")]
    pub served_weight_share_full: f64,
    /// Requests that were shed or failed with candidates.
    #[serde(rename = "given_up_candidates")]
    pub shed_or_failed: usize,
    /// The same with all endpoints scored.
    #[serde(rename = "given_up_full")]
    pub shed_or_failed_full: usize,
    /// Both made the same decisions, draw for draw.
    #[serde(rename = "same")]
    pub is_identical: bool,
}

/// Resident memory of items of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemoryUse {
    /// What they are.
    pub kind: String,
    /// How many there were.
    pub count: u64,
    /// Bytes for each.
    pub bytes_each: f64,
}

/// Violations of the protocol's rules that the replicas counted.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct RuleViolations {
    /// Requests that reached a replica over 0.3 s after their dispatcher was notified that it is draining.
    pub sends_after_drain: u64,
    /// Replicas in slow start that were sent more than the rule allows, by all dispatchers together.
    #[serde(rename = "cold_falls")]
    pub slow_start_overloads: u64,
    /// KV caches that were reserved for longer than the settings allow.
    #[serde(rename = "states_held_too_long")]
    pub late_kv_releases: u64,
}

impl RuleViolations {
    /// All violations.
    pub fn total(&self) -> u64 {
        self.sends_after_drain + self.slow_start_overloads + self.late_kv_releases
    }
}

/// Requests by the kind of their response.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct ResponseCounts {
    /// Requests that were sent.
    pub sent: u64,
    /// Served to the end of the stream.
    pub served: u64,
    /// Shed, with status 429 or 503.
    #[serde(rename = "refused")]
    pub shed: u64,
    /// Answered with another status.
    pub failed: u64,
    /// Not answered, or not to the end.
    pub lost: u64,
}

impl ResponseCounts {
    /// Adds the counts of another dispatcher.
    pub fn add(&mut self, other: ResponseCounts) {
        self.sent += other.sent;
        self.served += other.served;
        self.shed += other.shed;
        self.failed += other.failed;
        self.lost += other.lost;
    }
}

/// Quantiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct DurationSummary {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl DurationSummary {
    /// Summarizes a histogram in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> DurationSummary {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        DurationSummary {
            count: histogram.len(),
            median_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            max_ms: quantile_ms(1.0),
        }
    }
}

/// What one real dispatcher used while it was under load.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct DispatcherUsage {
    /// Processor time, as a share of one core.
    #[serde(rename = "core")]
    pub core_share: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
    /// Seconds from its start until it was ready.
    pub ready_s: f64,
    /// Processor time until then, in seconds.
    pub ready_core_s: f64,
    /// Endpoint lists that it was sent, in bytes per second.
    pub list_bytes_per_s: f64,
    /// Endpoint lists that it was sent, full ones included.
    pub lists: u64,
    /// Full lists that it was sent.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Gossip from other dispatchers, in bytes per second.
    #[serde(rename = "heard_bytes_per_s")]
    pub gossip_bytes_per_s: f64,
}

/// The result of one scale run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleRunResult {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the load.
    pub seed: u64,
    /// Replicas.
    pub replicas: usize,
    /// Real dispatchers.
    #[serde(rename = "real")]
    pub real_dispatchers: usize,
    /// Simulated dispatchers.
    #[serde(rename = "hollow")]
    pub simulated_dispatchers: usize,
    /// Requests per second of each real dispatcher.
    pub rate: f64,
    /// The clients' responses, of all real dispatchers.
    #[serde(rename = "answers")]
    pub responses: ResponseCounts,
    /// Violations that the replicas counted.
    pub rules: RuleViolations,
    /// By real dispatcher.
    pub usage: Vec<DispatcherUsage>,
    /// From when a request was due to its first token.
    #[serde(rename = "first_token")]
    pub time_to_first_token: DurationSummary,
    /// From when a request was due to its arrival at the first replica.
    #[serde(rename = "to_replica")]
    pub time_to_replica: DurationSummary,
    /// From the notification of a drain to a request that was sent against it.
    #[serde(rename = "after_drain")]
    pub time_after_drain: DurationSummary,
    /// Probes for each request.
    pub probes_per_request: f64,
    /// Connections to replicas for each request.
    pub connections_per_request: f64,
    /// Probes of all real dispatchers, in bytes per second.
    pub probe_bytes_per_s: f64,
    /// How late the bench sent requests.
    #[serde(rename = "sent_late")]
    pub send_delay: DurationSummary,
    /// Cores that the bench used on average.
    #[serde(rename = "rig_cores")]
    pub bench_cores: f64,
    /// The bench was the bottleneck: the times are not those of the dispatcher.
    #[serde(rename = "rig_limited")]
    pub is_bench_limited: bool,
}
