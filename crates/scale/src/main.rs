//! The command line of the scale tests.

use clap::{Args, Parser, Subcommand};
use quartzhall_scale::choice;
use quartzhall_scale::core_steps;
use quartzhall_scale::memory;
use quartzhall_scale::results::{self, Run};
use quartzhall_scale::run::{self, Plan};
use quartzhall_scale::scenario::Scenario;
use quartzhall_scale::steps::{self, Measurement};
use quartzhall_scale::table;
use serde::Serialize;
use slog::{info, o, Drain, Logger};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Scale tests of the dispatcher.
#[derive(Parser)]
#[command(name = "quartzhall-scale", version)]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Measure what the module's steps cost against the size of the fleet.
    Steps(Steps),
    /// Measure what the core's steps cost against the size of the fleet.
    CoreSteps(CoreSteps),
    /// Measure the memory of what the core holds.
    Memory(Memory),
    /// Compare the worth of a choice among candidates with that of a choice among all servers.
    Choice(Choice),
    /// Play a scenario; exit code 1 where something that must hold does not.
    Run(RunScenario),
    /// Play a scenario at several sizes of its fleet in turn.
    Sweep(Sweep),
    /// Write the tables of the page from the results.
    Table(Table),
}

#[derive(Args)]
struct CoreSteps {
    /// The file of results.
    #[arg(long)]
    out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    sizes: Vec<usize>,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    dispatchers: u32,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
}

#[derive(Args)]
struct Memory {
    /// The file of results.
    #[arg(long)]
    out: PathBuf,
    /// Replicas of the fleet.
    #[arg(long, default_value_t = 11000)]
    replicas: usize,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    dispatchers: u32,
    /// Draws the fleet.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Args)]
struct Choice {
    /// The file of results.
    #[arg(long)]
    out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    sizes: Vec<usize>,
    /// Part of the replicas that is cold.
    #[arg(long, default_value_t = 0.0)]
    cold: f64,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Simulated seconds of each play.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
}

#[derive(Args)]
struct RunScenario {
    /// The scenario's file.
    scenario: PathBuf,
    #[command(flatten)]
    how: How,
}

#[derive(Args)]
struct Sweep {
    /// The scenario's file.
    scenario: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    #[command(flatten)]
    how: How,
}

#[derive(Args)]
struct How {
    /// Each run is played once with each seed.
    #[arg(long = "seed", value_delimiter = ',', default_value = "1")]
    seeds: Vec<u64>,
    /// The file of results; without it they are printed.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The folder of configurations and logs.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// The dispatcher's program; without it the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
}

#[derive(Args)]
struct Steps {
    /// The file of results.
    #[arg(long)]
    out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    sizes: Vec<usize>,
    /// Part of the replicas that is cold.
    #[arg(long, default_value_t = 0.0)]
    cold: f64,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    dispatchers: u32,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Requests of each play at most.
    #[arg(long, default_value_t = 3000)]
    arrivals: usize,
    /// Real seconds of each play at most.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
}

#[derive(Args)]
struct Table {
    /// The page.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// The folder of results.
    #[arg(long, default_value = "crates/scale/results")]
    results: PathBuf,
    /// Write nothing, and fail where page and results differ.
    #[arg(long)]
    check: bool,
}

fn logger() -> (Logger, slog_async::AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let (drain, guard) = slog_async::Async::new(format).build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), guard)
}

/// What a command prints, on one line; empty where it can't be run.
fn printed(command: &str, arguments: &[&str]) -> String {
    let output = Command::new(command).args(arguments).output();
    output
        .map(|it| String::from_utf8_lossy(&it.stdout).trim().to_owned())
        .unwrap_or_default()
}

/// The commit of the tree that this is run in.
fn commit() -> String {
    let commit = printed("git", &["rev-parse", "--short", "HEAD"]);
    let changed = printed(
        "git",
        &[
            "status",
            "--porcelain",
            "--",
            "src",
            "crates/scale/src",
            "Cargo.lock",
        ],
    );
    if changed.is_empty() {
        commit
    } else {
        format!("{commit} with changes")
    }
}

/// An argument as it is kept: of a path outside the tree only the last part, for the rest is this machine's.
fn without_machine(argument: String) -> String {
    let path = Path::new(&argument);
    match path.file_name().filter(|_| path.is_absolute()) {
        Some(name) => name.to_string_lossy().into_owned(),
        None => argument,
    }
}

fn keep<T: Serialize>(path: &Path, results: T) -> Result<(), String> {
    let arguments: Vec<String> = std::env::args().skip(1).map(without_machine).collect();
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |it| it.as_secs());
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    results::write(
        path,
        &Run {
            command: arguments.join(" "),
            commit: commit(),
            at,
            cores,
            results,
        },
    )
}

fn measure_steps(task: &Steps, log: &Logger) -> Result<(), String> {
    if !(0.0..=1.0).contains(&task.cold) {
        return Err(format!("--cold is a part from 0 to 1, not {}", task.cold));
    }
    let mut all = Vec::new();
    for replicas in &task.sizes {
        for seed in &task.seeds {
            let measurement = Measurement {
                replicas: *replicas,
                cold: task.cold,
                dispatchers: task.dispatchers,
                seed: *seed,
                arrivals: task.arrivals,
                within: Duration::from_secs(task.seconds),
            };
            let costs = steps::measure(&measurement);
            let arrival = costs.steps.get("arrival").map_or(0.0, |it| it.median_us);
            info!(log, "steps"; "replicas" => replicas, "seed" => seed, "arrivals" => costs.arrivals,
                "arrival_median_us" => arrival);
            all.push(costs);
        }
    }
    keep(&task.out, all)
}

fn measure_core(task: &CoreSteps, log: &Logger) -> Result<(), String> {
    let mut all = Vec::new();
    for replicas in &task.sizes {
        for seed in &task.seeds {
            let costs = core_steps::measure(*replicas, task.dispatchers, *seed)?;
            info!(log, "core steps"; "replicas" => replicas, "seed" => seed);
            all.push(costs);
        }
    }
    keep(&task.out, all)
}

fn compare_choices(task: &Choice, log: &Logger) -> Result<(), String> {
    let mut all = Vec::new();
    for replicas in &task.sizes {
        for seed in &task.seeds {
            let worth = choice::compare(*replicas, task.cold, *seed, task.seconds);
            info!(log, "choice"; "replicas" => replicas, "seed" => seed, "candidates" => worth.worth_candidates,
                "full" => worth.worth_full, "given_up" => worth.given_up_candidates,
                "given_up_full" => worth.given_up_full, "same" => worth.same);
            all.push(worth);
        }
    }
    keep(&task.out, all)
}

fn write_tables(task: &Table) -> Result<(), String> {
    let read = |path: &Path| std::fs::read_to_string(path);
    let page = read(&task.page).map_err(|error| format!("{}: {error}", task.page.display()))?;
    let filled = table::fill(&page, &task.results)?;
    if !task.check {
        return std::fs::write(&task.page, filled).map_err(|error| error.to_string());
    }
    let differs = page
        .lines()
        .zip(filled.lines())
        .position(|(is, wanted)| is != wanted);
    match differs {
        _ if page == filled => Ok(()),
        Some(line) => Err(format!(
            "{}:{}: not what the results say",
            task.page.display(),
            line + 1
        )),
        None => Err(format!(
            "{}: a table is longer or shorter than the results",
            task.page.display()
        )),
    }
}

fn carry_out(arguments: &Arguments, log: &Logger) -> Result<(), Failure> {
    match &arguments.task {
        Task::Steps(task) => measure_steps(task, log).map_err(Failure::Input),
        Task::CoreSteps(task) => measure_core(task, log).map_err(Failure::Input),
        Task::Memory(task) => memory::measure(task.replicas, task.dispatchers, task.seed)
            .and_then(|results| keep(&task.out, results))
            .map_err(Failure::Input),
        Task::Choice(task) => compare_choices(task, log).map_err(Failure::Input),
        Task::Run(task) => {
            let scenario = Scenario::read(&task.scenario).map_err(Failure::Input)?;
            play(vec![scenario], &task.how, log)
        }
        Task::Sweep(task) => sweep(task, log),
        Task::Table(task) => write_tables(task).map_err(Failure::Run),
    }
}

/// The dispatcher's program: the one that is named, or the one beside this one.
fn program(named: &Option<PathBuf>) -> Result<PathBuf, Failure> {
    let own = std::env::current_exe().map_err(|error| Failure::Input(error.to_string()))?;
    let program = named
        .clone()
        .unwrap_or_else(|| own.with_file_name("quartzhall"));
    if program.is_file() {
        return Ok(program);
    }
    Err(Failure::Input(format!(
        "{}: there is no such program; build it first",
        program.display()
    )))
}

/// Plays scenarios with each seed, keeps what came of them, and tells whether all that must hold did.
fn play(scenarios: Vec<Scenario>, how: &How, log: &Logger) -> Result<(), Failure> {
    let program = program(&how.program)?;
    let folder = how.folder.clone().unwrap_or_else(|| {
        std::env::temp_dir().join(format!("quartzhall-scale-{}", std::process::id()))
    });
    let wrong = |error: std::io::Error| Failure::Input(format!("{}: {error}", folder.display()));
    std::fs::create_dir_all(&folder).map_err(wrong)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|error| Failure::Input(error.to_string()))?;
    let (mut results, mut broken) = (Vec::new(), Vec::new());
    for scenario in scenarios {
        for seed in &how.seeds {
            let plan = Plan {
                scenario: scenario.clone(),
                seed: *seed,
                program: program.clone(),
                folder: folder.clone(),
            };
            let ended = runtime.block_on(async {
                tokio::select! {
                    ended = run::run(&plan, log) => ended,
                    _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
                }
            });
            let result = ended.map_err(Failure::Run)?;
            broken.extend(
                run::broken(&scenario, &result)
                    .into_iter()
                    .map(|it| format!("seed {seed}: {it}")),
            );
            info!(log, "played"; "scenario" => &result.scenario, "replicas" => result.replicas, "seed" => seed,
                "served" => result.answers.served, "sent" => result.answers.sent,
                "core" => result.usage.iter().map(|it| it.core).sum::<f64>() / result.usage.len().max(1) as f64);
            results.push(result);
        }
    }
    match &how.out {
        Some(path) => keep(path, results).map_err(Failure::Input)?,
        None => println!(
            "{}",
            serde_json::to_string_pretty(&results).unwrap_or_default()
        ),
    }
    match broken.is_empty() {
        true => Ok(()),
        false => Err(Failure::Run(broken.join("; "))),
    }
}

fn sweep(task: &Sweep, log: &Logger) -> Result<(), Failure> {
    let scenario = Scenario::read(&task.scenario).map_err(Failure::Input)?;
    let sized = |replicas: &usize| {
        let mut sized = scenario.clone();
        sized.fleet.replicas = *replicas;
        sized
    };
    play(task.sizes.iter().map(sized).collect(), &task.how, log)
}

/// Why a command has failed.
enum Failure {
    /// What it was given is wrong, or not to be had on this machine.
    Input(String),
    /// What was played went wrong, or something that must hold does not.
    Run(String),
}

/// The exit codes of both.
const BAD_INPUT: u8 = 2;
const BROKEN: u8 = 1;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (log, _guard) = logger();
    match carry_out(&arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let (message, code) = match failure {
                Failure::Input(message) => (message, BAD_INPUT),
                Failure::Run(message) => (message, BROKEN),
            };
            eprintln!("quartzhall-scale: {message}");
            ExitCode::from(code)
        }
    }
}
