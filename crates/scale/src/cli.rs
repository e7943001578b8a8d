//! The command line: subcommands, their flags, and the defaults.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Scale tests of the dispatcher.
#[derive(Parser)]
#[command(name = "quartzhall-scale", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) task: Task,
}

#[derive(Subcommand)]
pub(crate) enum Task {
    /// Measure the cost of each step of the routing module by the size of the fleet.
    Steps(StepsOptions),
    /// Measure the cost of each step of the dispatcher's core by the size of the fleet.
    CoreSteps(CoreStepsOptions),
    /// Measure the memory that the core takes for each replica and each open stream.
    Memory(MemoryOptions),
    /// Compare selection among a sample of candidates with selection among all endpoints.
    Choice(ChoiceOptions),
    /// Run a scenario; exits with 1 if an expectation of the scenario does not hold.
    Run(RunOptions),
    /// Run a scenario once for each of several fleet sizes.
    Sweep(SweepOptions),
    /// Write the tables of the capacity page from the stored results.
    Table(TableOptions),
}

#[derive(Args)]
pub(crate) struct CoreStepsOptions {
    /// File that the results are written to.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Fleet sizes, in replicas.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    pub(crate) sizes: Vec<usize>,
    /// Number of dispatchers in the fleet, as given in the settings.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Seeds; each size is measured once with each of them.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
}

#[derive(Args)]
pub(crate) struct MemoryOptions {
    /// File that the results are written to.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Fleet size, in replicas.
    #[arg(long, default_value_t = 11000)]
    pub(crate) replicas: usize,
    /// Number of dispatchers in the fleet, as given in the settings.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Seed by which the fleet is drawn.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

#[derive(Args)]
pub(crate) struct ChoiceOptions {
    /// File that the results are written to.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Fleet sizes, in replicas.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    pub(crate) sizes: Vec<usize>,
    /// Share of the replicas that is warming up at the start, from 0 to 1.
    #[arg(long = "cold", value_name = "COLD", default_value_t = 0.0)]
    pub(crate) warming_up_share: f64,
    /// Seeds; each size is measured once with each of them.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
    /// Seconds of simulated time for each size and seed.
    #[arg(long, default_value_t = 8.0)]
    pub(crate) seconds: f64,
}

#[derive(Args)]
pub(crate) struct RunOptions {
    /// Scenario file.
    pub(crate) scenario: PathBuf,
    #[command(flatten)]
    pub(crate) common: CommonRunOptions,
}

#[derive(Args)]
pub(crate) struct SweepOptions {
    /// Scenario file.
    pub(crate) scenario: PathBuf,
    /// Fleet sizes, in replicas.
    #[arg(long, value_delimiter = ',')]
    pub(crate) sizes: Vec<usize>,
    #[command(flatten)]
    pub(crate) common: CommonRunOptions,
}

#[derive(Args)]
pub(crate) struct CommonRunOptions {
    /// Seeds; the scenario is run once with each of them.
    #[arg(long = "seed", value_delimiter = ',', default_value = "1")]
    pub(crate) seeds: Vec<u64>,
    /// File that the results are written to; without it they are printed.
    #[arg(long)]
    pub(crate) out: Option<PathBuf>,
    /// Folder for the dispatchers' configurations and logs; without it one in the temporary directory.
    #[arg(long)]
    pub(crate) folder: Option<PathBuf>,
    /// Path of the dispatcher's program; without it `quartzhall` in the folder of this program.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct StepsOptions {
    /// File that the results are written to.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Fleet sizes, in replicas.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    pub(crate) sizes: Vec<usize>,
    /// Share of the replicas that is warming up at the start, from 0 to 1.
    #[arg(long = "cold", value_name = "COLD", default_value_t = 0.0)]
    pub(crate) warming_up_share: f64,
    /// Number of dispatchers in the fleet, as given in the settings.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Seeds; each size is measured once with each of them.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
    /// Maximum number of requests for each size and seed.
    #[arg(long, default_value_t = 3000)]
    pub(crate) arrivals: usize,
    /// Maximum real time for each size and seed, in seconds.
    #[arg(long, default_value_t = 60)]
    pub(crate) seconds: u64,
}

#[derive(Args)]
pub(crate) struct TableOptions {
    /// Page that contains the tables.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub(crate) page: PathBuf,
    /// Folder of the stored results.
    #[arg(long, default_value = "crates/scale/results")]
    pub(crate) results: PathBuf,
    /// Write nothing; fail if the page differs from the results.
    #[arg(long)]
    pub(crate) check: bool,
}
