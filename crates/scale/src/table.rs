//! The tables of `docs/CAPACITY.md`, written from the committed results.
//!
//! The page marks the place of each table with `<!-- table: NAME -->` and `<!-- end -->` on lines of their own; what
//! stands between is replaced.

use crate::results::{self, ChoiceWorth, MemoryUse, Run, ScaleRun, StepCosts};
use crate::slope::Slope;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const OPENS: &str = "<!-- table: ";
const OPENED: &str = " -->";
const ENDS: &str = "<!-- end -->";

/// The page with each table as the results in this folder have it; the error is one line.
pub fn fill(page: &str, results: &Path) -> Result<String, String> {
    let mut filled = String::new();
    let mut skips = false;
    for (number, line) in page.lines().enumerate() {
        if line == ENDS {
            skips = false;
        }
        if !skips {
            filled.push_str(line);
            filled.push('\n');
        }
        if let Some(name) = line
            .strip_prefix(OPENS)
            .and_then(|rest| rest.strip_suffix(OPENED))
        {
            let table =
                table(name, results).map_err(|error| format!("line {}: {error}", number + 1))?;
            filled.push_str(&table);
            skips = true;
        }
    }
    if skips {
        return Err("the last table has no end".into());
    }
    Ok(filled)
}

fn table(name: &str, folder: &Path) -> Result<String, String> {
    let (kind, file) = name
        .split_once(' ')
        .ok_or_else(|| format!("no file of results is named: {name:?}"))?;
    let path = folder.join(format!("{file}.json"));
    match kind {
        "steps" => Ok(steps(&results::read::<Run<Vec<StepCosts>>>(&path)?)),
        "choice" => Ok(choice(&results::read::<Run<Vec<ChoiceWorth>>>(&path)?)),
        "runs" => Ok(runs(&results::read::<Run<Vec<ScaleRun>>>(&path)?)),
        "budget" => Ok(budget(&results::read::<Run<Vec<ScaleRun>>>(&path)?)),
        "carried" => Ok(carried(&results::read::<Run<Vec<ScaleRun>>>(&path)?)),
        "memory" => Ok(memory(&results::read::<Run<Vec<MemoryUse>>>(&path)?)),
        other => Err(format!("no such table: {other:?}")),
    }
}

/// Where the figures come from, below each table.
fn source<T>(run: &Run<T>) -> String {
    format!(
        "\nMeasured by `quartzhall-scale {}` on commit {}, {} cores.\n",
        run.command, run.commit, run.cores
    )
}

/// The middle of several values, with the least and the most where they differ.
fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let text = |value: f64| {
        if value < 100.0 {
            format!("{value:.1}")
        } else {
            format!("{value:.0}")
        }
    };
    let (Some(least), Some(most)) = (values.first(), values.last()) else {
        return "not run".into();
    };
    let middle = text(values[values.len() / 2]);
    if values.len() == 1 {
        return middle;
    }
    format!("{middle} ({} to {})", text(*least), text(*most))
}

/// Medians and 99th percentiles of each step by the fleet's size, with the exponent of the medians.
fn steps(run: &Run<Vec<StepCosts>>) -> String {
    let sizes: BTreeSet<usize> = run.results.iter().map(|it| it.replicas).collect();
    let names: BTreeSet<&String> = run.results.iter().flat_map(|it| it.steps.keys()).collect();
    let mut text = String::from("| step, microseconds |");
    sizes
        .iter()
        .for_each(|size| text.push_str(&format!(" {size} median | p99 |")));
    text.push_str(" exponent |\n| --- |");
    sizes.iter().for_each(|_| text.push_str(" --- | --- |"));
    text.push_str(" --- |\n");
    for name in names {
        text.push_str(&format!("| {name} |"));
        let mut points = Vec::new();
        for size in &sizes {
            let plays = run.results.iter().filter(|it| it.replicas == *size);
            let costs: Vec<_> = plays.filter_map(|it| it.steps.get(name)).collect();
            let medians = costs.iter().map(|it| it.median_us).collect();
            let p99 = costs.iter().map(|it| it.p99_us).collect();
            points.extend(costs.iter().map(|it| (*size as f64, it.median_us)));
            text.push_str(&format!(" {} | {} |", spread(medians), spread(p99)));
        }
        match Slope::fit(&points) {
            Some(slope) => {
                text.push_str(&format!(" {:.2} ± {:.2} |\n", slope.exponent, slope.error))
            }
            None => text.push_str(" |\n"),
        }
    }
    let cut: BTreeMap<usize, usize> = run
        .results
        .iter()
        .filter(|it| !it.finished)
        .map(|it| (it.replicas, it.arrivals))
        .collect();
    for (size, arrivals) in cut {
        text.push_str(&format!(
            "\nAt {size} replicas the time was up after {arrivals} requests.\n"
        ));
    }
    text.push_str(&source(run));
    text
}

/// Worth of both choices by size, and how often both did the same.
fn choice(run: &Run<Vec<ChoiceWorth>>) -> String {
    let mut text = String::from(
        "| replicas | cold | plays | worth with candidates | with all looked at | given up | with all looked at | the same draw for draw |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let kinds: BTreeSet<(usize, u64)> = run
        .results
        .iter()
        .map(|it| (it.replicas, (it.cold * 100.0) as u64))
        .collect();
    for (replicas, cold) in kinds {
        let of_kind =
            |it: &&ChoiceWorth| it.replicas == replicas && (it.cold * 100.0) as u64 == cold;
        let plays: Vec<&ChoiceWorth> = run.results.iter().filter(of_kind).collect();
        let part =
            |of: fn(&ChoiceWorth) -> f64| interval(plays.iter().map(|it| of(it)).collect(), 4);
        let same = plays.iter().filter(|it| it.same).count();
        text.push_str(&format!(
            "| {replicas} | {cold}% | {} | {} | {} | {} | {} | {same} |\n",
            plays.len(),
            part(|it| it.worth_candidates),
            part(|it| it.worth_full),
            part(|it| it.given_up_candidates as f64 / it.arrivals as f64),
            part(|it| it.given_up_full as f64 / it.arrivals as f64),
        ));
    }
    text + &source(run)
}

/// The mean of several values, with its standard error where there are several.
fn interval(values: Vec<f64>, digits: usize) -> String {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return format!("{mean:.digits$}");
    }
    let square = values.iter().map(|it| (it - mean).powi(2)).sum::<f64>();
    let error = (square / (count - 1.0) / count).sqrt();
    format!("{mean:.digits$} ± {error:.digits$}")
}

/// What real dispatchers used, and what their clients got, by size.
fn runs(run: &Run<Vec<ScaleRun>>) -> String {
    let mut text = String::from(
        "| replicas | seed | served | refused | lost | broken rules | core | MB | ready, s | to first token, ms: median | p99 | to a replica, ms: median | p99 | rig |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in &run.results {
        let count = it.usage.len().max(1) as f64;
        let mean = |of: Measure| it.usage.iter().map(of).sum::<f64>() / count;
        let rules =
            it.rules.sends_after_drain + it.rules.cold_falls + it.rules.states_held_too_long;
        text.push_str(&format!(
            "| {} | {} | {} of {} | {} | {} | {rules} | {:.3} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {} |\n",
            it.replicas,
            it.seed,
            it.answers.served,
            it.answers.sent,
            it.answers.refused,
            it.answers.lost,
            mean(|it| it.core),
            mean(|it| it.resident_mb),
            mean(|it| it.ready_s),
            it.first_token.median_ms,
            it.first_token.p99_ms,
            it.to_replica.median_ms,
            it.to_replica.p99_ms,
            if it.rig_limited { "the bottleneck: no figure" } else { "not the bottleneck" },
        ));
    }
    text + &source(run)
}

/// The target's budget for control, and what a dispatcher used at the largest size that was run.
fn budget(run: &Run<Vec<ScaleRun>>) -> String {
    let largest = run.results.iter().map(|it| it.replicas).max().unwrap_or(0);
    let plays: Vec<&ScaleRun> = run
        .results
        .iter()
        .filter(|it| it.replicas == largest)
        .collect();
    let mean = |of: Measure| {
        let values: Vec<f64> = plays.iter().flat_map(|it| &it.usage).map(of).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    let verdict = |used: f64, most: f64| if used <= most { "within" } else { "over" };
    let rows = [
        (
            "resident memory, all of it, MB",
            mean(|it| it.resident_mb),
            256.0,
        ),
        (
            "lists, KB a second",
            mean(|it| it.list_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "heard from other dispatchers, KB a second",
            mean(|it| it.heard_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "lists and talk heard together, KB a second",
            mean(|it| it.list_bytes_per_s + it.heard_bytes_per_s) / 1000.0,
            26.0,
        ),
        (
            "processor, requests and streams included, parts of a core",
            mean(|it| it.core),
            0.013,
        ),
    ];
    let mut text =
        format!("| at {largest} replicas | used | budget | |\n| --- | --- | --- | --- |\n");
    for (name, used, most) in rows {
        text.push_str(&format!(
            "| {name} | {used:.3} | {most} | {} |\n",
            verdict(used, most)
        ));
    }
    text + &source(run)
}

/// Bytes that one more of each kind takes.
fn memory(run: &Run<Vec<MemoryUse>>) -> String {
    let mut text =
        String::from("| kind | count | bytes of resident memory for each |\n| --- | --- | --- |\n");
    for it in &run.results {
        text.push_str(&format!(
            "| {} | {} | {:.0} |\n",
            it.kind, it.count, it.bytes_each
        ));
    }
    text + &source(run)
}

/// One figure of what a dispatcher used.
type Measure = fn(&results::Usage) -> f64;

/// What the smaller sizes say of the largest one, and what was measured there.
fn carried(run: &Run<Vec<ScaleRun>>) -> String {
    let largest = run.results.iter().map(|it| it.replicas).max().unwrap_or(0);
    let rows: [(&str, Measure); 2] = [
        ("processor, parts of a core", |it| it.core),
        ("resident memory, MB", |it| it.resident_mb),
    ];
    let mut text = format!(
        "| | exponent over smaller sizes | predicted at {largest} replicas | measured |\n| --- | --- | --- | --- |\n"
    );
    for (name, of) in rows {
        let points = |holds: fn(usize, usize) -> bool| -> Vec<(f64, f64)> {
            let plays = run.results.iter().filter(|it| holds(it.replicas, largest));
            plays
                .flat_map(|it| it.usage.iter().map(|usage| (it.replicas as f64, of(usage))))
                .collect()
        };
        let measured = points(|size, largest| size == largest);
        let mean = measured.iter().map(|it| it.1).sum::<f64>() / measured.len().max(1) as f64;
        let Some(slope) = Slope::fit(&points(|size, largest| size < largest)) else {
            continue;
        };
        text.push_str(&format!(
            "| {name} | {:.2} ± {:.2} | {:.3} | {mean:.3} |\n",
            slope.exponent,
            slope.error,
            slope.at(largest as f64)
        ));
    }
    text + &source(run)
}
