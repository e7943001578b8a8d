//! The soak's command line.

use clap::Parser;
use quartzhall_soak::config::{MAX_DEADLINE, SHORT_DEADLINE};
use quartzhall_soak::error::SoakError;
use quartzhall_soak::oracle::Violation;
use quartzhall_soak::run::{run, RunPlan};
use quartzhall_soak::schedule::RunSize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// The most lines of one log file that are printed for a violation.
const MAX_LOG_LINES_PER_FILE: usize = 20;
/// Seeds that are a multiple of this include floods of idle connections.
const CONNECTION_FLOOD_SEED_INTERVAL: u64 = 4;
/// Seeds that are a multiple of this use [`SHORT_DEADLINE`].
const SHORT_DEADLINE_SEED_INTERVAL: u64 = 5;
/// Exit code if the test bench could not be set up; violations exit with 1.
const SETUP_FAILED_EXIT_CODE: u8 = 2;

/// Runs real dispatchers under overlapping faults and checks the protocol's invariants.
#[derive(Parser)]
#[command(name = "quartzhall-soak", version)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Number of dispatcher processes.
    #[arg(long, default_value_t = 12)]
    processes: usize,
    /// Number of prefill replicas.
    #[arg(long = "readers", value_name = "READERS", default_value_t = 5)]
    prefill_replicas: usize,
    /// Number of decode replicas.
    #[arg(long = "writers", value_name = "WRITERS", default_value_t = 7)]
    decode_replicas: usize,
    /// How long clients send requests, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Requests per second to each dispatcher.
    #[arg(long, default_value_t = 6.0)]
    rate: f64,
    /// Path of the dispatcher's executable.
    #[arg(long, default_value = "target/release/quartzhall")]
    program: PathBuf,
    /// Folder for configuration and log files, with a subfolder for each seed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// Prints a violation to standard output: the request's timeline, then lines that contain its id from the dispatchers' logs
/// in `folder`, at most [`MAX_LOG_LINES_PER_FILE`] of each file.
fn print_violation(seed: u64, violation: &Violation, folder: &Path) {
    let invariant = violation.invariant.name();
    println!("seed {seed}: BROKEN {invariant}, {}", violation.id);
    for line in &violation.timeline {
        println!("    {line}");
    }
    for entry in folder.read_dir().into_iter().flatten().flatten() {
        let path = entry.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            print_log_lines(&path, &violation.id);
        }
    }
}

fn print_log_lines(path: &Path, id: &str) {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let lines = text.lines().filter(|line| line.contains(id));
    for line in lines.take(MAX_LOG_LINES_PER_FILE) {
        println!("    log of {name}: {line}");
    }
}

/// Runs all seeds one after the other and returns the total number of violations.
async fn run_seeds(arguments: Arguments) -> Result<usize, SoakError> {
    let mut violations = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = arguments.folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(SoakError::CreateFolder)?;
        let plan = RunPlan {
            seed,
            size: RunSize {
                processes: arguments.processes,
                prefill_replicas: arguments.prefill_replicas,
                replicas: arguments.prefill_replicas + arguments.decode_replicas,
                load_duration: Duration::from_secs(arguments.seconds),
                has_connection_floods: seed.is_multiple_of(CONNECTION_FLOOD_SEED_INTERVAL),
            },
            rate: arguments.rate,
            max_deadline: if seed.is_multiple_of(SHORT_DEADLINE_SEED_INTERVAL) {
                SHORT_DEADLINE
            } else {
                MAX_DEADLINE
            },
            program: arguments.program.clone(),
            folder: folder.clone(),
        };
        let result = run(plan).await?;
        println!(
            "seed {seed}: {} faults, {} upgrades, {} served, {} refused, {} failed, longest event delay {} ms, {} breaches",
            result.faults,
            result.upgrades,
            result.counts.served,
            result.counts.shed,
            result.counts.failed,
            result.max_event_delay.as_millis(),
            result.violations.len()
        );
        for violation in &result.violations {
            print_violation(seed, violation, &folder);
        }
        violations += result.violations.len();
    }
    println!("soak: {} seeds, {violations} breaches", arguments.seeds);
    Ok(violations)
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_seeds(Arguments::parse()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quartzhall-soak: {error}");
            ExitCode::from(SETUP_FAILED_EXIT_CODE)
        }
    }
}
