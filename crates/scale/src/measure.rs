//! The subcommands: measurements, runs of scenarios, and the tables of the page.
//!
//! Results are stored together with the command line, the commit and the machine's cores, so that they can be repeated.

use crate::cli::{
    ChoiceOptions, CommonRunOptions, CoreStepsOptions, MemoryOptions, RunOptions, StepsOptions,
    SweepOptions, TableOptions,
};
use quartzhall_scale::core_steps::{self, MeasureError};
use quartzhall_scale::memory;
use quartzhall_scale::results::{self, MeasurementRun, ResultsError, ScaleRunResult};
use quartzhall_scale::run::{self, RunError, RunPlan};
use quartzhall_scale::scenario::{Scenario, ScenarioError};
use quartzhall_scale::selection;
use quartzhall_scale::steps::{self, StepMeasurement};
use quartzhall_scale::table::{self, TableError};
use serde::Serialize;
use slog::{info, Logger};
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::runtime::Runtime;

/// A reason for which a subcommand failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// The value of `--cold` for `steps` is not a share from 0 to 1.
    WarmingUpShare(f64),
    /// The scenario is not valid.
    Scenario(ScenarioError),
    /// The core under measurement could not be configured.
    Measure(MeasureError),
    /// The results could not be stored.
    Results(ResultsError),
    /// The dispatcher's program does not exist.
    NoProgram(PathBuf),
    /// The path of this program could not be read, or the runtime could not be created.
    System(std::io::Error),
    /// The folder for configurations and logs could not be created.
    CreateFolder {
        /// Path of the folder.
        folder: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A run could not be started or completed.
    Run(RunError),
    /// Runs ended, but not all expectations of their scenarios hold.
    UnmetExpectations(Vec<String>),
    /// The page with the tables could not be read.
    ReadPage {
        /// Path of the page.
        page: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The page with the tables could not be written.
    WritePage(std::io::Error),
    /// The tables could not be rendered from the results.
    Table(TableError),
    /// The page differs from the results in this line.
    LineDiffers {
        /// Path of the page.
        page: PathBuf,
        /// The line, counted from 1.
        line: usize,
    },
    /// The page has more or fewer lines than the results give, with no other difference.
    LengthDiffers(PathBuf),
}

impl CommandError {
    /// Returns whether the cause is the input of the command or the system, rather than a run or the page.
    pub(crate) fn is_input_error(&self) -> bool {
        match self {
            CommandError::WarmingUpShare(_)
            | CommandError::Scenario(_)
            | CommandError::Measure(_)
            | CommandError::Results(_)
            | CommandError::NoProgram(_)
            | CommandError::System(_)
            | CommandError::CreateFolder { .. } => true,
            CommandError::Run(_)
            | CommandError::UnmetExpectations(_)
            | CommandError::ReadPage { .. }
            | CommandError::WritePage(_)
            | CommandError::Table(_)
            | CommandError::LineDiffers { .. }
            | CommandError::LengthDiffers(_) => false,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::WarmingUpShare(share) => {
                write!(formatter, "--cold must be a share from 0 to 1, not {share}")
            }
            CommandError::Scenario(error) => error.fmt(formatter),
            CommandError::Measure(error) => error.fmt(formatter),
            CommandError::Results(error) => error.fmt(formatter),
            CommandError::NoProgram(program) => write!(
                formatter,
                "{}: dispatcher program not found; build it first",
                program.display()
            ),
            CommandError::System(error) | CommandError::WritePage(error) => error.fmt(formatter),
            CommandError::CreateFolder { folder, source } => {
                write!(formatter, "{}: {source}", folder.display())
            }
            CommandError::Run(error) => error.fmt(formatter),
            CommandError::UnmetExpectations(unmet) => formatter.write_str(&unmet.join("; ")),
            CommandError::ReadPage { page, source } => {
                write!(formatter, "{}: {source}", page.display())
            }
            CommandError::Table(error) => error.fmt(formatter),
            CommandError::LineDiffers { page, line } => write!(
                formatter,
                "{}:{line}: differs from the results",
                page.display()
            ),
            CommandError::LengthDiffers(page) => write!(
                formatter,
                "{}: a table has more or fewer lines than the results give",
                page.display()
            ),
        }
    }
}

impl Error for CommandError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            CommandError::Scenario(error) => Some(error),
            CommandError::Measure(error) => Some(error),
            CommandError::Results(error) => Some(error),
            CommandError::System(error) | CommandError::WritePage(error) => Some(error),
            CommandError::CreateFolder { source, .. } | CommandError::ReadPage { source, .. } => {
                Some(source)
            }
            CommandError::Run(error) => Some(error),
            CommandError::Table(error) => Some(error),
            CommandError::WarmingUpShare(_)
            | CommandError::NoProgram(_)
            | CommandError::UnmetExpectations(_)
            | CommandError::LineDiffers { .. }
            | CommandError::LengthDiffers(_) => None,
        }
    }
}

/// Runs a command and returns its trimmed output; empty if the command cannot be run.
fn command_output(command: &str, arguments: &[&str]) -> String {
    match Command::new(command).args(arguments).output() {
        Ok(output) => String::from_utf8_lossy(&output.stdout).trim().to_owned(),
        Err(_) => String::new(),
    }
}

/// Returns the commit of the current work tree, followed by "with changes" if the measured sources differ from it.
fn describe_commit() -> String {
    let commit = command_output("git", &["rev-parse", "--short", "HEAD"]);
    let measured_paths = ["src", "crates/scale/src", "Cargo.lock"];
    let mut arguments = vec!["status", "--porcelain", "--"];
    arguments.extend(measured_paths);
    if command_output("git", &arguments).is_empty() {
        commit
    } else {
        format!("{commit} with changes")
    }
}

/// Shortens an absolute path to its last component, because the rest is specific to this machine. Returns any other
/// argument unchanged.
fn shorten_path(argument: String) -> String {
    let path = Path::new(&argument);
    match path.file_name().filter(|_| path.is_absolute()) {
        Some(name) => name.to_string_lossy().into_owned(),
        None => argument,
    }
}

/// Writes results to a file, with the command line, the commit, the time and the number of cores.
fn store_results<T: Serialize>(path: &Path, results: T) -> Result<(), CommandError> {
    let arguments: Vec<String> = std::env::args().skip(1).map(shorten_path).collect();
    let ended_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs());
    let run = MeasurementRun {
        command: arguments.join(" "),
        commit: describe_commit(),
        ended_at,
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        results,
    };
    results::write(path, &run).map_err(CommandError::Results)
}

/// Runs `steps`: measures the routing module at each size with each seed, and stores the costs.
pub(crate) fn measure_steps(options: &StepsOptions, log: &Logger) -> Result<(), CommandError> {
    if !(0.0..=1.0).contains(&options.warming_up_share) {
        return Err(CommandError::WarmingUpShare(options.warming_up_share));
    }
    let mut all_costs = Vec::new();
    for replicas in &options.sizes {
        for seed in &options.seeds {
            let costs = steps::measure(&StepMeasurement {
                replicas: *replicas,
                warming_up_share: options.warming_up_share,
                dispatchers: options.dispatchers,
                seed: *seed,
                max_arrivals: options.arrivals,
                max_duration: Duration::from_secs(options.seconds),
            });
            let arrival_median_us = costs
                .steps
                .get("arrival")
                .map_or(0.0, |cost| cost.median_us);
            info!(log, "steps measured"; "replicas" => replicas, "seed" => seed,
                "arrivals" => costs.arrivals, "arrival_median_us" => arrival_median_us);
            all_costs.push(costs);
        }
    }
    store_results(&options.out, all_costs)
}

/// Runs `core-steps`: measures the core at each size with each seed, and stores the costs.
pub(crate) fn measure_core_steps(
    options: &CoreStepsOptions,
    log: &Logger,
) -> Result<(), CommandError> {
    let mut all_costs = Vec::new();
    for replicas in &options.sizes {
        for seed in &options.seeds {
            let costs = core_steps::measure(*replicas, options.dispatchers, *seed)
                .map_err(CommandError::Measure)?;
            info!(log, "core steps measured"; "replicas" => replicas, "seed" => seed);
            all_costs.push(costs);
        }
    }
    store_results(&options.out, all_costs)
}

/// Runs `memory`: measures one fleet, and stores the memory per replica and per open stream.
pub(crate) fn measure_memory(options: &MemoryOptions) -> Result<(), CommandError> {
    let results = memory::measure(options.replicas, options.dispatchers, options.seed)
        .map_err(CommandError::Measure)?;
    store_results(&options.out, results)
}

/// Runs `choice`: compares both kinds of selection at each size with each seed, and stores the comparisons.
pub(crate) fn compare_selections(
    options: &ChoiceOptions,
    log: &Logger,
) -> Result<(), CommandError> {
    let mut comparisons = Vec::new();
    for replicas in &options.sizes {
        for seed in &options.seeds {
            let comparison =
                selection::compare(*replicas, options.warming_up_share, *seed, options.seconds);
            info!(log, "selections compared"; "replicas" => replicas, "seed" => seed,
                "served_weight_share" => comparison.served_weight_share,
                "served_weight_share_full" => comparison.served_weight_share_full,
                "shed_or_failed" => comparison.shed_or_failed,
                "shed_or_failed_full" => comparison.shed_or_failed_full,
                "is_identical" => comparison.is_identical);
            comparisons.push(comparison);
        }
    }
    store_results(&options.out, comparisons)
}

/// Runs `run`: the scenario as it is in the file, once with each seed.
pub(crate) fn run_scenario(options: &RunOptions, log: &Logger) -> Result<(), CommandError> {
    let scenario = Scenario::read(&options.scenario).map_err(CommandError::Scenario)?;
    run_all(&[scenario], &options.common, log)
}

/// Runs `sweep`: the scenario once for each number of replicas and each seed. All else, the number of dispatchers included, stays
/// as in the file.
pub(crate) fn run_sweep(options: &SweepOptions, log: &Logger) -> Result<(), CommandError> {
    let scenario = Scenario::read(&options.scenario).map_err(CommandError::Scenario)?;
    let mut scenarios = Vec::new();
    for replicas in &options.sizes {
        let mut resized = scenario.clone();
        resized.fleet.replicas = *replicas;
        scenarios.push(resized);
    }
    run_all(&scenarios, &options.common, log)
}

/// Returns the path of the dispatcher's program: the given one, or `quartzhall` in the folder of this program.
fn find_program(given: Option<&PathBuf>) -> Result<PathBuf, CommandError> {
    let own_path = std::env::current_exe().map_err(CommandError::System)?;
    let program = match given {
        Some(given) => given.clone(),
        None => own_path.with_file_name("quartzhall"),
    };
    if program.is_file() {
        Ok(program)
    } else {
        Err(CommandError::NoProgram(program))
    }
}

/// Creates the folder for configurations and logs: the given one, or one in the temporary directory.
fn create_folder(given: Option<&PathBuf>) -> Result<PathBuf, CommandError> {
    let folder = match given {
        Some(given) => given.clone(),
        None => std::env::temp_dir().join(format!("quartzhall-scale-{}", std::process::id())),
    };
    match std::fs::create_dir_all(&folder) {
        Ok(()) => Ok(folder),
        Err(source) => Err(CommandError::CreateFolder { folder, source }),
    }
}

/// Runs each scenario with each seed, and stores or prints the results. Fails at the end if expectations do not hold.
fn run_all(
    scenarios: &[Scenario],
    options: &CommonRunOptions,
    log: &Logger,
) -> Result<(), CommandError> {
    let program = find_program(options.program.as_ref())?;
    let folder = create_folder(options.folder.as_ref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::System)?;
    let mut results = Vec::new();
    let mut unmet = Vec::new();
    for scenario in scenarios {
        for seed in &options.seeds {
            let plan = RunPlan {
                scenario: scenario.clone(),
                seed: *seed,
                program: program.clone(),
                folder: folder.clone(),
            };
            let result = run_until_interrupted(&runtime, &plan, log).map_err(CommandError::Run)?;
            for expectation in run::find_unmet_expectations(scenario, &result) {
                unmet.push(format!("seed {seed}: {expectation}"));
            }
            log_result(&result, log);
            results.push(result);
        }
    }
    match &options.out {
        Some(path) => store_results(path, results)?,
        None => println!(
            "{}",
            serde_json::to_string_pretty(&results).unwrap_or_default()
        ),
    }
    if unmet.is_empty() {
        Ok(())
    } else {
        Err(CommandError::UnmetExpectations(unmet))
    }
}

fn run_until_interrupted(
    runtime: &Runtime,
    plan: &RunPlan,
    log: &Logger,
) -> Result<ScaleRunResult, RunError> {
    runtime.block_on(async {
        tokio::select! {
            result = run::run(plan, log) => result,
            _ = tokio::signal::ctrl_c() => Err(RunError::Interrupted),
        }
    })
}

/// Logs the main counts of a run; `core_share` is the mean over the real dispatchers.
fn log_result(result: &ScaleRunResult, log: &Logger) {
    let cores: f64 = result.usage.iter().map(|usage| usage.core_share).sum();
    info!(log, "run finished"; "scenario" => &result.scenario, "replicas" => result.replicas,
        "seed" => result.seed, "served" => result.responses.served, "sent" => result.responses.sent,
        "core_share" => cores / result.usage.len().max(1) as f64);
}

/// Runs `table`: writes the tables into the page. With `--check` it writes nothing, and fails at the first line that differs.
pub(crate) fn write_tables(options: &TableOptions) -> Result<(), CommandError> {
    let page = std::fs::read_to_string(&options.page).map_err(|source| CommandError::ReadPage {
        page: options.page.clone(),
        source,
    })?;
    let filled = table::fill(&page, &options.results).map_err(CommandError::Table)?;
    if !options.check {
        return std::fs::write(&options.page, filled).map_err(CommandError::WritePage);
    }
    if page == filled {
        return Ok(());
    }
    let mut lines = page.lines().zip(filled.lines());
    match lines.position(|(current, expected)| current != expected) {
        Some(index) => Err(CommandError::LineDiffers {
            page: options.page.clone(),
            line: index + 1,
        }),
        None => Err(CommandError::LengthDiffers(options.page.clone())),
    }
}
