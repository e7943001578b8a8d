//! The soak's command line.

use clap::Parser;
use quartzhall_soak::oracle::Breach;
use quartzhall_soak::run::{play, Plan};
use quartzhall_soak::schedule::Shape;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays real dispatchers under faults that overlap in time, and judges by the protocol's rules.
#[derive(Parser)]
#[command(name = "quartzhall-soak", version)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Real dispatchers.
    #[arg(long, default_value_t = 12)]
    processes: usize,
    /// Servers that read.
    #[arg(long, default_value_t = 5)]
    readers: usize,
    /// Servers that write.
    #[arg(long, default_value_t = 7)]
    writers: usize,
    /// How long clients send, in seconds.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// Requests a second to each dispatcher.
    #[arg(long, default_value_t = 6.0)]
    rate: f64,
    /// The dispatcher's program.
    #[arg(long, default_value = "target/release/quartzhall")]
    program: PathBuf,
    /// Where configurations and logs go; a folder for each seed.
    #[arg(long, default_value = "target/soak")]
    folder: PathBuf,
}

/// Prints a breach with the request's time line, and the lines of the logs that name it.
fn print(seed: u64, breach: &Breach, folder: &std::path::Path) {
    println!("seed {seed}: BROKEN {:?}, {}", breach.invariant, breach.id);
    breach
        .timeline
        .iter()
        .for_each(|line| println!("    {line}"));
    let logs = folder
        .read_dir()
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.path());
    for path in logs.filter(|path| path.extension().is_some_and(|it| it == "log")) {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let lines = text
            .lines()
            .filter(|line| line.contains(&breach.id))
            .take(20);
        lines.for_each(|line| println!("    log of {name}: {line}"));
    }
}

async fn soak(arguments: Arguments) -> Result<usize, String> {
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = arguments.folder.join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let shape = Shape {
            processes: arguments.processes,
            readers: arguments.readers,
            servers: arguments.readers + arguments.writers,
            span: Duration::from_secs(arguments.seconds),
        };
        let (program, rate) = (arguments.program.clone(), arguments.rate);
        let played = play(Plan {
            seed,
            shape,
            rate,
            program,
            folder: folder.clone(),
        })
        .await?;
        let (served, refused, failed) = played.counts;
        println!(
            "seed {seed}: {} faults, {served} served, {refused} refused, {failed} failed, {} breaches",
            played.faults,
            played.breaches.len()
        );
        played
            .breaches
            .iter()
            .for_each(|breach| print(seed, breach, &folder));
        broken += played.breaches.len();
    }
    println!("soak: {} seeds, {broken} breaches", arguments.seeds);
    Ok(broken)
}

#[tokio::main]
async fn main() -> ExitCode {
    match soak(Arguments::parse()).await {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("quartzhall-soak: {error}");
            ExitCode::from(2)
        }
    }
}
