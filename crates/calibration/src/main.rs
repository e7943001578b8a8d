//! The command line of the calibration.

use clap::{Parser, Subcommand};
use quartzhall_calibration::calibrate::{calibrate, Calibration};
use quartzhall_calibration::estimate::Estimate;
use quartzhall_recording::{Damage, Reader};
use std::error::Error;
use std::fmt;
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

/// Why a recording could not be used.
#[derive(Debug)]
enum CalibrationError {
    /// The file cannot be opened.
    Open {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is damaged, or not a recording.
    Damaged { path: PathBuf, source: Damage },
}

impl fmt::Display for CalibrationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CalibrationError::Open { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
            CalibrationError::Damaged { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
        }
    }
}

impl Error for CalibrationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CalibrationError::Open { source, .. } => Some(source),
            CalibrationError::Damaged { source, .. } => Some(source),
        }
    }
}

fn format_estimate(estimate: Estimate, unit: &str) -> String {
    match estimate {
        Estimate::Known {
            value,
            low,
            high,
            samples,
        } => {
            format!("{value:.4} {unit} ({low:.4} to {high:.4}, {samples} samples)")
        }
        Estimate::Unknown { samples, blocks } => {
            format!("not told by {samples} samples in {blocks} spans of 5 s")
        }
    }
}

/// Calibrates from one recording, and prints the result.
fn calibrate_recording(path: &Path, seed: u64) -> Result<(), CalibrationError> {
    let damaged = |source| CalibrationError::Damaged {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(|source| CalibrationError::Open {
        path: path.to_owned(),
        source,
    })?;
    let mut reader = Reader::new(BufReader::new(file)).map_err(damaged)?;
    let mut damage = None;
    let records = std::iter::from_fn(|| match reader.next()? {
        Ok(record) => Some(record),
        Err(error) => {
            damage = Some(error);
            None
        }
    });
    let calibration = calibrate(records, seed);
    if let Some(damage) = damage {
        return Err(damaged(damage));
    }
    println!("{}: {} requests", path.display(), calibration.requests);
    if reader.is_truncated() {
        println!("  cut off at byte {}: read up to there", reader.offset());
    }
    print_calibration(&calibration);
    Ok(())
}

fn print_calibration(calibration: &Calibration) {
    if calibration.dropped > 0 || calibration.unended > 0 {
        println!(
            "  {} records dropped, {} attempts without an end",
            calibration.dropped, calibration.unended
        );
    }
    for role in &calibration.roles {
        println!(
            "  {:?}: {} nodes, {} attempts, {:.2}% failed",
            role.role,
            role.endpoints,
            role.attempts,
            role.failed_share * 100.0
        );
        let rate = format_estimate(role.tokens_per_s, "tokens a second");
        println!("    rate: {rate}");
        println!("    wait: {}", format_estimate(role.wait_s, "s"));
    }
}

fn main() -> ExitCode {
    let Task::Calibrate { recordings, seed } = Arguments::parse().task;
    for recording in recordings {
        if let Err(error) = calibrate_recording(&recording, seed) {
            eprintln!("quartzhall-calibration: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
