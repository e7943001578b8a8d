//! The model's command line.

use clap::{Parser, Subcommand};
use quartzhall_calibration::calibrate::calibrate;
use quartzhall_calibration::estimate::Figure;
use quartzhall_recording::Reader;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A model of the fleet, fed with recorded traffic.
#[derive(Parser)]
#[command(name = "quartzhall-calibration", version)]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Say what recordings tell of their nodes, with 90% intervals. Each recording by itself.
    Calibrate {
        /// The recordings.
        #[arg(required = true)]
        recordings: Vec<PathBuf>,
        /// Settles the draws of the intervals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

fn shown(figure: Figure, unit: &str) -> String {
    match figure {
        Figure::Known {
            value,
            low,
            high,
            samples,
        } => {
            format!("{value:.4} {unit} ({low:.4} to {high:.4}, {samples} samples)")
        }
        Figure::Unknown { samples, blocks } => {
            format!("not told by {samples} samples in {blocks} spans of 5 s")
        }
    }
}

fn show(path: &Path, seed: u64) -> Result<(), String> {
    let wrong = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let file = File::open(path).map_err(|error| wrong(&error))?;
    let mut reader = Reader::new(BufReader::new(file)).map_err(|damage| wrong(&damage))?;
    let mut damage = None;
    let records = std::iter::from_fn(|| match reader.next() {
        Some(Ok(record)) => Some(record),
        Some(Err(error)) => {
            damage = Some(error);
            None
        }
        None => None,
    });
    let told = calibrate(records, seed);
    if let Some(damage) = damage {
        return Err(wrong(&damage));
    }
    println!("{}: {} requests", path.display(), told.requests);
    if reader.was_cut() {
        println!("  cut off at byte {}: read up to there", reader.offset());
    }
    if told.dropped > 0 || told.unended > 0 {
        println!(
            "  {} records dropped, {} attempts without an end",
            told.dropped, told.unended
        );
    }
    for nodes in told.roles {
        let (role, count, attempts) = (nodes.role, nodes.nodes, nodes.attempts);
        println!(
            "  {role:?}: {count} nodes, {attempts} attempts, {:.2}% failed",
            nodes.failed * 100.0
        );
        println!("    rate: {}", shown(nodes.tokens_per_s, "tokens a second"));
        println!("    wait: {}", shown(nodes.wait_s, "s"));
    }
    Ok(())
}

fn main() -> ExitCode {
    let Task::Calibrate { recordings, seed } = Arguments::parse().task;
    for recording in recordings {
        if let Err(message) = show(&recording, seed) {
            eprintln!("quartzhall-calibration: {message}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
