//! The tables of `docs/CAPACITY.md`, written from the committed results.
//!
//! The page marks the place of each table with `<!-- table: NAME -->` and `<!-- end -->` on lines of their own; what
//! stands between is replaced.

use crate::results::{self, Run, StepCosts};
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
        if let Some(name) = line.strip_prefix(OPENS).and_then(|rest| rest.strip_suffix(OPENED)) {
            let table = table(name, results).map_err(|error| format!("line {}: {error}", number + 1))?;
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
    let (kind, file) =
        name.split_once(' ').ok_or_else(|| format!("no file of results is named: {name:?}"))?;
    let path = folder.join(format!("{file}.json"));
    match kind {
        "steps" => Ok(steps(&results::read::<Run<Vec<StepCosts>>>(&path)?)),
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
    let text = |value: f64| if value < 100.0 { format!("{value:.1}") } else { format!("{value:.0}") };
    let (Some(least), Some(most)) = (values.first(), values.last()) else { return "not run".into() };
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
    sizes.iter().for_each(|size| text.push_str(&format!(" {size} median | p99 |")));
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
            Some(slope) => text.push_str(&format!(" {:.2} ± {:.2} |\n", slope.exponent, slope.error)),
            None => text.push_str(" |\n"),
        }
    }
    let cut: BTreeMap<usize, usize> =
        run.results.iter().filter(|it| !it.finished).map(|it| (it.replicas, it.arrivals)).collect();
    for (size, arrivals) in cut {
        text.push_str(&format!("\nAt {size} replicas the time was up after {arrivals} requests.\n"));
    }
    text.push_str(&source(run));
    text
}
