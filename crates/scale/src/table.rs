//! The tables of `docs/CAPACITY.md`, written from the committed results.
//!
//! The page marks each table by a line `<!-- table: KIND FILE -->` before it and a line `<!-- end -->` after it.
//! [`fill`] replaces the lines between them. KIND selects the table (see `render_table`), and FILE names a file of
//! results without its extension. The texts of the tables must not change: `table --check` compares them with the
//! committed page.

use crate::power_law::PowerLaw;
use crate::results::{
    self, DispatcherUsage, MeasurementRun, MemoryUse, ResultsError, ScaleRunResult,
    SelectionComparison, StepCosts,
};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::fmt;
use std::path::Path;

/// Start of the line before each table; the kind of table and the file of results follow.
const MARKER_START: &str = "<!-- table: ";
/// End of the line before each table.
const MARKER_END: &str = " -->";
/// The line after each table.
const TABLE_END: &str = "<!-- end -->";

/// A reason for which the tables could not be written.
#[derive(Debug)]
pub enum TableError {
    /// A marker does not name a results file.
    NoFile(String),
    /// A marker names a kind of table that does not exist.
    UnknownKind(String),
    /// A file of results cannot be read.
    Results(ResultsError),
    /// A table of the page could not be written.
    Line {
        /// The line of the marker, counted from 1.
        number: usize,
        /// Why the table could not be written.
        source: Box<TableError>,
    },
    /// The last table of the page has no end marker.
    NotClosed,
}

impl fmt::Display for TableError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::NoFile(marker) => {
                write!(formatter, "marker names no results file: {marker:?}")
            }
            TableError::UnknownKind(kind) => write!(formatter, "unknown kind of table: {kind:?}"),
            TableError::Results(error) => error.fmt(formatter),
            TableError::Line { number, source } => write!(formatter, "line {number}: {source}"),
            TableError::NotClosed => formatter.write_str("the last table has no end marker"),
        }
    }
}

impl Error for TableError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            TableError::Results(error) => Some(error),
            TableError::Line { source, .. } => Some(source.as_ref()),
            TableError::NoFile(_) | TableError::UnknownKind(_) | TableError::NotClosed => None,
        }
    }
}

impl From<ResultsError> for TableError {
    fn from(error: ResultsError) -> TableError {
        TableError::Results(error)
    }
}

/// Returns the page with each table rewritten from the results in this folder.
///
/// # Errors
///
/// Fails if the last table has no end marker, a marker is not valid, or results cannot be read; the error is one line.
pub fn fill(page: &str, results: &Path) -> Result<String, TableError> {
    let mut filled = String::new();
    let mut is_in_table = false;
    for (index, line) in page.lines().enumerate() {
        if line == TABLE_END {
            is_in_table = false;
        }
        if !is_in_table {
            filled.push_str(line);
            filled.push('\n');
        }
        if let Some(marker) = parse_marker(line) {
            let table = render_table(marker, results).map_err(|error| TableError::Line {
                number: index + 1,
                source: Box::new(error),
            })?;
            filled.push_str(&table);
            is_in_table = true;
        }
    }
    if is_in_table {
        return Err(TableError::NotClosed);
    }
    Ok(filled)
}

/// Returns the kind and the file of a marker line; `None` for any other line.
fn parse_marker(line: &str) -> Option<&str> {
    line.strip_prefix(MARKER_START)?.strip_suffix(MARKER_END)
}

fn render_table(marker: &str, folder: &Path) -> Result<String, TableError> {
    let Some((kind, file)) = marker.split_once(' ') else {
        return Err(TableError::NoFile(marker.to_owned()));
    };
    let path = folder.join(format!("{file}.json"));
    let table = match kind {
        "steps" => render_steps(&results::read(&path)?),
        "choice" => render_selection(&results::read(&path)?),
        "runs" => render_runs(&results::read(&path)?),
        "budget" => render_budget(&results::read(&path)?),
        "carried" => render_extrapolation(&results::read(&path)?),
        "memory" => render_memory(&results::read(&path)?),
        other => return Err(TableError::UnknownKind(other.to_owned())),
    };
    Ok(table)
}

/// Formats the line below each table that tells how its values were measured.
fn provenance_line<T>(run: &MeasurementRun<T>) -> String {
    format!(
        "\nMeasured by `quartzhall-scale {}` on commit {}, {} cores.\n",
        run.command, run.commit, run.cores
    )
}

/// Returns the mean of values; 0 if there are none.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Formats the median of values, with the smallest and the largest if there are several.
fn median_and_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let format_value = |value: f64| {
        if value < 100.0 {
            format!("{value:.1}")
        } else {
            format!("{value:.0}")
        }
    };
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return "not run".into();
    };
    let median = format_value(values[values.len() / 2]);
    if values.len() == 1 {
        return median;
    }
    format!(
        "{median} ({} to {})",
        format_value(*min),
        format_value(*max)
    )
}

/// Formats the mean of values, with its standard error if there are several.
fn mean_and_error(values: &[f64], digits: usize) -> String {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return format!("{mean:.digits$}");
    }
    let squared_deviations = values
        .iter()
        .map(|value| (value - mean).powi(2))
        .sum::<f64>();
    let error = (squared_deviations / (count - 1.0) / count).sqrt();
    format!("{mean:.digits$} ± {error:.digits$}")
}

/// Renders the median and 99th percentile of each step by fleet size, and the exponent of the growth of the median.
fn render_steps(run: &MeasurementRun<Vec<StepCosts>>) -> String {
    let sizes: BTreeSet<usize> = run.results.iter().map(|costs| costs.replicas).collect();
    let names: BTreeSet<&String> = run
        .results
        .iter()
        .flat_map(|costs| costs.steps.keys())
        .collect();
    let mut text = String::from("| step, microseconds |");
    for size in &sizes {
        text.push_str(&format!(" {size} median | p99 |"));
    }
    text.push_str(" exponent |\n| --- |");
    text.push_str(&" --- | --- |".repeat(sizes.len()));
    text.push_str(" --- |\n");
    for name in names {
        text.push_str(&render_step(run, name, &sizes));
    }
    let mut unfinished = BTreeMap::new();
    for costs in &run.results {
        if !costs.is_finished {
            unfinished.insert(costs.replicas, costs.arrivals);
        }
    }
    for (size, arrivals) in unfinished {
        text.push_str(&format!(
            "\nAt {size} replicas the time was up after {arrivals} requests.\n"
        ));
    }
    text + &provenance_line(run)
}

/// Renders the row of one step: its costs at each size, and the exponent with its standard error.
fn render_step(
    run: &MeasurementRun<Vec<StepCosts>>,
    name: &str,
    sizes: &BTreeSet<usize>,
) -> String {
    let mut text = format!("| {name} |");
    let mut points = Vec::new();
    for size in sizes {
        let mut medians = Vec::new();
        let mut p99 = Vec::new();
        for costs in run.results.iter().filter(|costs| costs.replicas == *size) {
            let Some(cost) = costs.steps.get(name) else {
                continue;
            };
            medians.push(cost.median_us);
            p99.push(cost.p99_us);
            points.push((*size as f64, cost.median_us));
        }
        text.push_str(&format!(
            " {} | {} |",
            median_and_range(medians),
            median_and_range(p99)
        ));
    }
    match PowerLaw::fit(&points) {
        Some(law) => text.push_str(&format!(
            " {:.2} ± {:.2} |\n",
            law.exponent, law.exponent_error
        )),
        None => text.push_str(" |\n"),
    }
    text
}

/// Renders the served weight of both kinds of selection by fleet size, and how often both made the same decisions.
fn render_selection(run: &MeasurementRun<Vec<SelectionComparison>>) -> String {
    let mut text = String::from(
        "| replicas | cold | plays | worth with candidates | with all looked at | given up | with all looked at | the same draw for draw |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let group_of = |comparison: &SelectionComparison| {
        (
            comparison.replicas,
            (comparison.warming_up_share * 100.0) as u64,
        )
    };
    let groups: BTreeSet<(usize, u64)> = run.results.iter().map(group_of).collect();
    for group in groups {
        let comparisons: Vec<&SelectionComparison> = run
            .results
            .iter()
            .filter(|comparison| group_of(comparison) == group)
            .collect();
        let column = |value: fn(&SelectionComparison) -> f64| {
            let values: Vec<f64> = comparisons.iter().copied().map(value).collect();
            mean_and_error(&values, 4)
        };
        let identical = comparisons
            .iter()
            .filter(|comparison| comparison.is_identical)
            .count();
        let (replicas, warming_up_percent) = group;
        text.push_str(&format!(
            "| {replicas} | {warming_up_percent}% | {} | {} | {} | {} | {} | {identical} |\n",
            comparisons.len(),
            column(|row| row.served_weight_share),
            column(|row| row.served_weight_share_full),
            column(|row| row.shed_or_failed as f64 / row.arrivals as f64),
            column(|row| row.shed_or_failed_full as f64 / row.arrivals as f64),
        ));
    }
    text + &provenance_line(run)
}

/// Selects one value of a dispatcher's usage.
type UsageMetric = fn(&DispatcherUsage) -> f64;

/// Renders each run: the responses of the clients, and the resources and times of the real dispatchers.
fn render_runs(run: &MeasurementRun<Vec<ScaleRunResult>>) -> String {
    let mut text = String::from(
        "| replicas | seed | served | refused | lost | broken rules | core | MB | ready, s | to first token, ms: median | p99 | to a replica, ms: median | p99 | rig |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for result in &run.results {
        let usage_mean = |metric: UsageMetric| {
            let values: Vec<f64> = result.usage.iter().map(metric).collect();
            mean(&values)
        };
        let bottleneck = if result.is_bench_limited {
            "the bottleneck: no figure"
        } else {
            "not the bottleneck"
        };
        text.push_str(&format!(
            "| {} | {} | {} of {} | {} | {} | {} | {:.3} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {bottleneck} |\n",
            result.replicas,
            result.seed,
            result.responses.served,
            result.responses.sent,
            result.responses.shed,
            result.responses.lost,
            result.rules.total(),
            usage_mean(|usage| usage.core_share),
            usage_mean(|usage| usage.resident_mb),
            usage_mean(|usage| usage.ready_s),
            result.time_to_first_token.median_ms,
            result.time_to_first_token.p99_ms,
            result.time_to_replica.median_ms,
            result.time_to_replica.p99_ms,
        ));
    }
    text + &provenance_line(run)
}

fn max_replicas(run: &MeasurementRun<Vec<ScaleRunResult>>) -> usize {
    run.results
        .iter()
        .map(|result| result.replicas)
        .max()
        .unwrap_or(0)
}

/// Returns one value of each dispatcher in the runs whose number of replicas matches, as points of replicas and value.
fn usage_points(
    run: &MeasurementRun<Vec<ScaleRunResult>>,
    metric: UsageMetric,
    matches: impl Fn(usize) -> bool,
) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for result in &run.results {
        if matches(result.replicas) {
            let values = result.usage.iter().map(metric);
            points.extend(values.map(|value| (result.replicas as f64, value)));
        }
    }
    points
}

fn mean_of_points(points: &[(f64, f64)]) -> f64 {
    let values: Vec<f64> = points.iter().map(|(_, value)| *value).collect();
    mean(&values)
}

/// Renders a dispatcher's mean usage at the largest fleet that was run, next to the target's budget for it.
fn render_budget(run: &MeasurementRun<Vec<ScaleRunResult>>) -> String {
    let max_size = max_replicas(run);
    let mean_usage =
        |metric: UsageMetric| mean_of_points(&usage_points(run, metric, |size| size == max_size));
    let rows = [
        (
            "resident memory, all of it, MB",
            mean_usage(|usage| usage.resident_mb),
            256.0,
        ),
        (
            "lists, KB a second",
            mean_usage(|usage| usage.list_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "heard from other dispatchers, KB a second",
            mean_usage(|usage| usage.gossip_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "lists and talk heard together, KB a second",
            mean_usage(|usage| usage.list_bytes_per_s + usage.gossip_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "processor, requests and streams included, parts of a core",
            mean_usage(|usage| usage.core_share),
            0.013,
        ),
    ];
    let mut text =
        format!("| at {max_size} replicas | used | budget | |\n| --- | --- | --- | --- |\n");
    for (name, used, budget) in rows {
        let verdict = if used <= budget { "within" } else { "over" };
        text.push_str(&format!("| {name} | {used:.3} | {budget} | {verdict} |\n"));
    }
    text + &provenance_line(run)
}

/// Renders the memory per item of each kind.
fn render_memory(run: &MeasurementRun<Vec<MemoryUse>>) -> String {
    let mut text =
        String::from("| kind | count | bytes of resident memory for each |\n| --- | --- | --- |\n");
    for memory in &run.results {
        text.push_str(&format!(
            "| {} | {} | {:.0} |\n",
            memory.kind, memory.count, memory.bytes_each
        ));
    }
    text + &provenance_line(run)
}

/// Renders the usage at the largest fleet that a power law through smaller fleets predicts, and the measured usage.
fn render_extrapolation(run: &MeasurementRun<Vec<ScaleRunResult>>) -> String {
    let max_size = max_replicas(run);
    let rows: [(&str, UsageMetric); 2] = [
        ("processor, parts of a core", |usage| usage.core_share),
        ("resident memory, MB", |usage| usage.resident_mb),
    ];
    let mut text = format!(
        "| | exponent over smaller sizes | predicted at {max_size} replicas | measured |\n| --- | --- | --- | --- |\n"
    );
    for (name, metric) in rows {
        let measured = mean_of_points(&usage_points(run, metric, |size| size == max_size));
        let smaller = usage_points(run, metric, |size| size < max_size);
        let Some(law) = PowerLaw::fit(&smaller) else {
            continue;
        };
        text.push_str(&format!(
            "| {name} | {:.2} ± {:.2} | {:.3} | {measured:.3} |\n",
            law.exponent,
            law.exponent_error,
            law.cost_at(max_size as f64)
        ));
    }
    text + &provenance_line(run)
}
