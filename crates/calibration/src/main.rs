//! The command line of the calibration: reads recordings and prints the estimates made from them.

use clap::{Parser, Subcommand};
use quartzhall_calibration::calibrate::{calibrate, Calibration};
use quartzhall_calibration::estimate::Estimate;
use quartzhall_recording::{ReadError, Reader};
use std::error::Error;
use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Estimates the speed of endpoints from recorded traffic.
#[derive(Parser)]
#[command(name = "quartzhall-calibration", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Estimate the speed of the recorded endpoints, with 90% confidence intervals, for each recording separately.
    Calibrate {
        /// Paths of the recordings.
        #[arg(required = true)]
        recordings: Vec<PathBuf>,
        /// Seed of the random resampling for the intervals.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Why a recording could not be read.
#[derive(Debug)]
enum CalibrationError {
    /// The file cannot be opened.
    Open {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file cannot be read as a recording.
    Read { path: PathBuf, source: ReadError },
}

impl fmt::Display for CalibrationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CalibrationError::Open { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
            CalibrationError::Read { path, source } => {
                write!(formatter, "{}: {source}", path.display())
            }
        }
    }
}

impl Error for CalibrationError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CalibrationError::Open { source, .. } => Some(source),
            CalibrationError::Read { source, .. } => Some(source),
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
            format!("no estimate ({samples} samples in {blocks} blocks of 5 s)")
        }
    }
}

/// Calibrates from one recording and prints the result to standard output. A truncated last record is left out and the
/// truncation is printed. Prints nothing if the recording is damaged.
fn calibrate_recording(path: &Path, seed: u64) -> Result<(), CalibrationError> {
    let read_error = |source| CalibrationError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(|source| CalibrationError::Open {
        path: path.to_owned(),
        source,
    })?;
    let mut reader = Reader::new(BufReader::new(file)).map_err(read_error)?;
    let mut first_error = None;
    let records = std::iter::from_fn(|| match reader.next()? {
        Ok(record) => Some(record),
        Err(error) => {
            first_error = Some(error);
            None
        }
    });
    let calibration = calibrate(records, seed);
    if let Some(error) = first_error {
        return Err(read_error(error));
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
            "  {} records dropped, {} attempts without a recorded end",
            calibration.dropped, calibration.unended
        );
    }
    for role in &calibration.roles {
        println!(
            "  {:?}: {} endpoints, {} attempts, {:.2}% failed",
            role.role,
            role.endpoints,
            role.attempts,
            role.failed_share * 100.0
        );
        let rate = format_estimate(role.tokens_per_s, "tokens a second");
        println!("    rate: {rate}");
        println!("    latency: {}", format_estimate(role.latency_s, "s"));
    }
}

fn main() -> ExitCode {
    let Command::Calibrate { recordings, seed } = Arguments::parse().command;
    for recording in recordings {
        if let Err(error) = calibrate_recording(&recording, seed) {
            eprintln!("quartzhall-calibration: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
