//! The `quartzhall-scale` program: runs a subcommand and maps its errors to exit codes.
//!
//! Log lines go to standard error, so that `run` can print its results to standard output.

mod cli;
mod measure;

use clap::Parser;
use cli::{Arguments, Task};
use measure::CommandError;
use slog::{o, Drain, Logger};
use std::process::ExitCode;

/// The exit code for invalid input, a missing program, results that cannot be stored, or an error of the system.
const EXIT_BAD_INPUT: u8 = 2;
/// The exit code if a run fails or misses its expectations, or if the page cannot be filled or differs from
/// the results.
const EXIT_RUN_FAILED: u8 = 1;

/// Creates a logger that writes lines of all levels to standard error, from a thread of its own. The guard waits for the last
/// lines when it is dropped.
fn create_logger() -> (Logger, slog_async::AsyncGuard) {
    let plain = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let (drain, guard) = slog_async::Async::new(format).build_with_guard();
    (Logger::root(drain.ignore_res(), o!()), guard)
}

fn execute(task: &Task, log: &Logger) -> Result<(), CommandError> {
    match task {
        Task::Steps(options) => measure::measure_steps(options, log),
        Task::CoreSteps(options) => measure::measure_core_steps(options, log),
        Task::Memory(options) => measure::measure_memory(options),
        Task::Choice(options) => measure::compare_selections(options, log),
        Task::Run(options) => measure::run_scenario(options, log),
        Task::Sweep(options) => measure::run_sweep(options, log),
        Task::Table(options) => measure::write_tables(options),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (log, _guard) = create_logger();
    match execute(&arguments.task, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzhall-scale: {error}");
            ExitCode::from(if error.is_input_error() {
                EXIT_BAD_INPUT
            } else {
                EXIT_RUN_FAILED
            })
        }
    }
}
