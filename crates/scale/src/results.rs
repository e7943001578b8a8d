//! The results of measurements, and the JSON files that store them.
//!
//! Committed results are in `crates/scale/results`, and [`crate::table`] reads them. The field names in the files
//! must not change; a field whose name in the code differs has a `serde` rename.

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
    /// Number of measured steps.
    pub count: u64,
    /// The median, in microseconds.
    pub median_us: f64,
    /// The 99th percentile, in microseconds.
    pub p99_us: f64,
    /// The mean, in microseconds.
    pub mean_us: f64,
}

impl StepCost {
    /// Summarizes a histogram whose unit is given by [`UNITS_PER_MICROSECOND`].
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

/// The cost of the steps of the routing module or of the core, at one fleet size with one seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepCosts {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Dispatchers of the fleet, as given in the settings.
    pub dispatchers: u32,
    /// Share of the replicas that was warming up at the start.
    #[serde(rename = "cold")]
    pub warming_up_share: f64,
    /// The seed of the measurement.
    pub seed: u64,
    /// Requests that arrived. For steps of the core, the usual number of repetitions of a step.
    pub arrivals: usize,
    /// Whether all requested arrivals were simulated; false if the time limit was reached first.
    #[serde(rename = "finished")]
    pub is_finished: bool,
    /// Costs by the name of the step.
    pub steps: BTreeMap<String, StepCost>,
}

/// The results of a measuring command, with what is needed to repeat it. Each file of results contains one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MeasurementRun<T> {
    /// The command line, without the program's path.
    pub command: String,
    /// The measured commit; followed by "with changes" if the measured sources differed from it.
    pub commit: String,
    /// When the command ended, in Unix seconds.
    #[serde(rename = "at")]
    pub ended_at: u64,
    /// Number of cores available to the command.
    pub cores: usize,
    /// The measured values; each command has its own type for them.
    pub results: T,
}

/// A reason for which a file of results could not be read or written.
#[derive(Debug)]
pub enum ResultsError {
    /// The file cannot be read or written.
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The content of the file is not JSON of the expected type.
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The results cannot be written as JSON.
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
/// Fails if the file cannot be read or its content is of another type; the error is one line.
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

/// Selection among a sample of candidates, compared with selection among all endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SelectionComparison {
    /// Replicas of the fleet.
    pub replicas: usize,
    /// Routers of the fleet, all of which were simulated.
    pub routers: usize,
    /// Share of the replicas that was warming up at the start.
    #[serde(rename = "cold")]
    pub warming_up_share: f64,
    /// The seed of both simulations.
    pub seed: u64,
    /// Requests that arrived in each simulation.
    pub arrivals: usize,
    /// With candidates: priority weight of the requests served in time, as a share of that of all arrivals.
    #[serde(rename = "worth_candidates")]
    pub served_weight_share: f64,
    /// With all endpoints: priority weight of the requests served in time, as a share of that of all arrivals.
    #[serde(rename = "worth_full")]
    pub served_weight_share_full: f64,
    /// With candidates: requests that were shed or failed.
    #[serde(rename = "given_up_candidates")]
    pub shed_or_failed: usize,
    /// With all endpoints: requests that were shed or failed.
    #[serde(rename = "given_up_full")]
    pub shed_or_failed_full: usize,
    /// Whether both simulations made the same decisions in the same order.
    #[serde(rename = "same")]
    pub is_identical: bool,
}

/// Resident memory of items of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemoryUse {
    /// What the items are, as the table prints it.
    pub kind: String,
    /// Number of items.
    pub count: u64,
    /// Resident memory per item, in bytes.
    pub bytes_each: f64,
}

/// Violations of protocol rules, as the simulated replicas count them.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct RuleViolations {
    /// Requests that reached a draining replica more than 0.3 s after their dispatcher was notified of the drain.
    pub sends_after_drain: u64,
    /// Slow starts in which a replica received more requests from all dispatchers together than the rule allows.
    #[serde(rename = "cold_falls")]
    pub slow_start_overloads: u64,
    /// KV caches that were neither consumed nor released within 1.3 s of their reservation.
    #[serde(rename = "states_held_too_long")]
    pub late_kv_releases: u64,
}

impl RuleViolations {
    /// Returns the number of all violations.
    pub fn total(&self) -> u64 {
        self.sends_after_drain + self.slow_start_overloads + self.late_kv_releases
    }
}

/// Clients' requests by the kind of their response.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct ResponseCounts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests whose stream was received to its end.
    pub served: u64,
    /// Requests that were shed, with status 429 or 503.
    #[serde(rename = "refused")]
    pub shed: u64,
    /// Requests with another error status.
    pub failed: u64,
    /// Requests without a response, or without the end of their stream.
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

/// Quantiles of durations; all are 0 if there are none.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct DurationSummary {
    /// Number of durations that were measured.
    pub count: u64,
    /// The median, in milliseconds.
    pub median_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The longest duration, in milliseconds.
    #[serde(rename = "longest_ms")]
    pub max_ms: f64,
}

impl DurationSummary {
    /// Summarizes a histogram whose unit is microseconds.
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

/// The resources that one real dispatcher used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct DispatcherUsage {
    /// Processor time under load, as a share of one core.
    #[serde(rename = "core")]
    pub core_share: f64,
    /// Resident memory at the end of the load, in MB of 1,024 KB.
    pub resident_mb: f64,
    /// Time from the start of the process until it was ready, in seconds.
    pub ready_s: f64,
    /// Processor time from the start of the process until it was ready, in seconds.
    pub ready_core_s: f64,
    /// Endpoint lists sent to the dispatcher during the load, in bytes per second.
    pub list_bytes_per_s: f64,
    /// Number of endpoint lists sent to the dispatcher since its start, including full ones.
    pub lists: u64,
    /// Number of full endpoint lists sent to the dispatcher since its start.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Gossip sent to the dispatcher by simulated ones during the load, in bytes per second.
    #[serde(rename = "heard_bytes_per_s")]
    pub gossip_bytes_per_s: f64,
}

/// The result of one run of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScaleRunResult {
    /// The scenario's name.
    pub scenario: String,
    /// The seed that the fleet, the load and the events were drawn from.
    pub seed: u64,
    /// Number of simulated replicas.
    pub replicas: usize,
    /// Number of real dispatchers.
    #[serde(rename = "real")]
    pub real_dispatchers: usize,
    /// Number of simulated dispatchers.
    #[serde(rename = "hollow")]
    pub simulated_dispatchers: usize,
    /// Requests per second sent to each real dispatcher.
    pub rate: f64,
    /// Requests to all real dispatchers, by the kind of their response.
    #[serde(rename = "answers")]
    pub responses: ResponseCounts,
    /// Violations of protocol rules by all dispatchers.
    pub rules: RuleViolations,
    /// Resources used by each real dispatcher.
    pub usage: Vec<DispatcherUsage>,
    /// From the time that a request was due to be sent until its first token.
    #[serde(rename = "first_token")]
    pub time_to_first_token: DurationSummary,
    /// From the time that a request was due to be sent until it reached the first replica.
    #[serde(rename = "to_replica")]
    pub time_to_replica: DurationSummary,
    /// From the notification of a drain to attempts of the notified dispatcher that reached the draining replica after it.
    #[serde(rename = "after_drain")]
    pub time_after_drain: DurationSummary,
    /// Probes of all real dispatchers, per client request. Probes during the shutdown are included.
    pub probes_per_request: f64,
    /// Connections that replicas accepted, per client request. Those during the shutdown are included.
    pub connections_per_request: f64,
    /// Probes of all real dispatchers with their responses, in bytes per second of load. The heads are approximate.
    pub probe_bytes_per_s: f64,
    /// From the time that a request was due until the bench sent it.
    #[serde(rename = "sent_late")]
    pub send_delay: DurationSummary,
    /// Average number of cores that the bench, the process of the scale tests, used during the load.
    #[serde(rename = "rig_cores")]
    pub bench_cores: f64,
    /// Whether the bench was the bottleneck, so that the measured times are not those of the dispatcher.
    #[serde(rename = "rig_limited")]
    pub is_bench_limited: bool,
}
