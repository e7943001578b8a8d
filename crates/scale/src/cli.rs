//! Subcommands and flags.

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
    /// Measure what the module's steps cost against the size of the fleet.
    Steps(StepsOptions),
    /// Measure what the core's steps cost against the size of the fleet.
    CoreSteps(CoreStepsOptions),
    /// Measure the memory of what the core holds.
    Memory(MemoryOptions),
    /// Compare the worth of a choice among candidates with that of a choice among all servers.
    Choice(ChoiceOptions),
    /// Play a scenario; exit code 1 where something that must hold does not.
    Run(RunOptions),
    /// Play a scenario at several sizes of its fleet in turn.
    Sweep(SweepOptions),
    /// Write the tables of the page from the results.
    Table(TableOptions),
}

#[derive(Args)]
pub(crate) struct CoreStepsOptions {
    /// The file of results.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    pub(crate) sizes: Vec<usize>,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
}

#[derive(Args)]
pub(crate) struct MemoryOptions {
    /// The file of results.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Replicas of the fleet.
    #[arg(long, default_value_t = 11000)]
    pub(crate) replicas: usize,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Draws the fleet.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}

#[derive(Args)]
pub(crate) struct ChoiceOptions {
    /// The file of results.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    pub(crate) sizes: Vec<usize>,
    /// Part of the replicas that is cold.
    #[arg(long = "cold", value_name = "COLD", default_value_t = 0.0)]
    pub(crate) warming_up_share: f64,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
    /// Simulated seconds of each play.
    #[arg(long, default_value_t = 8.0)]
    pub(crate) seconds: f64,
}

#[derive(Args)]
pub(crate) struct RunOptions {
    /// The scenario's file.
    pub(crate) scenario: PathBuf,
    #[command(flatten)]
    pub(crate) common: CommonRunOptions,
}

#[derive(Args)]
pub(crate) struct SweepOptions {
    /// The scenario's file.
    pub(crate) scenario: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',')]
    pub(crate) sizes: Vec<usize>,
    #[command(flatten)]
    pub(crate) common: CommonRunOptions,
}

#[derive(Args)]
pub(crate) struct CommonRunOptions {
    /// Each run is played once with each seed.
    #[arg(long = "seed", value_delimiter = ',', default_value = "1")]
    pub(crate) seeds: Vec<u64>,
    /// The file of results; without it they are printed.
    #[arg(long)]
    pub(crate) out: Option<PathBuf>,
    /// The folder of configurations and logs.
    #[arg(long)]
    pub(crate) folder: Option<PathBuf>,
    /// The dispatcher's program; without it the one beside this program.
    #[arg(long)]
    pub(crate) program: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct StepsOptions {
    /// The file of results.
    #[arg(long)]
    pub(crate) out: PathBuf,
    /// Replicas of the fleets.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000,3000,11000")]
    pub(crate) sizes: Vec<usize>,
    /// Part of the replicas that is cold.
    #[arg(long = "cold", value_name = "COLD", default_value_t = 0.0)]
    pub(crate) warming_up_share: f64,
    /// Dispatchers that the settings tell of.
    #[arg(long, default_value_t = 530)]
    pub(crate) dispatchers: u32,
    /// Each size is played once with each seed.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    pub(crate) seeds: Vec<u64>,
    /// Requests of each play at most.
    #[arg(long, default_value_t = 3000)]
    pub(crate) arrivals: usize,
    /// Real seconds of each play at most.
    #[arg(long, default_value_t = 60)]
    pub(crate) seconds: u64,
}

#[derive(Args)]
pub(crate) struct TableOptions {
    /// The page.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    pub(crate) page: PathBuf,
    /// The folder of results.
    #[arg(long, default_value = "crates/scale/results")]
    pub(crate) results: PathBuf,
    /// Write nothing, and fail where page and results differ.
    #[arg(long)]
    pub(crate) check: bool,
}
