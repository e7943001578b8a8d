//! The seeded fault schedule of a run: which faults start when, and for how long. Faults overlap.

use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg32;
use std::time::Duration;

/// A fault and its victim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A replica accepts connections and bytes, and executes nothing.
    StallReplica(usize),
    /// A replica crashes: its connections are reset, and new ones refused until it restarts.
    KillReplica(usize),
    /// A replica finishes its work, and its responses do not arrive.
    LoseResponses(usize),
    /// A replica responds with errors.
    ReturnErrors(usize),
    /// A replica is overloaded and rejects requests.
    RejectOverloaded(usize),
    /// The streams of a replica are aborted.
    AbortStreams(usize),
    /// Discovery reports a replica as draining, and later as ready again.
    DrainReplica(usize),
    /// All open connections of a process to a replica fall silent, for good.
    SilenceConnections {
        /// The process.
        process: usize,
        /// The replica.
        replica: usize,
    },
    /// All open connections of a process to a replica are reset.
    ResetConnections {
        /// The process.
        process: usize,
        /// The replica.
        replica: usize,
    },
    /// A process is paused (SIGSTOP, then SIGCONT).
    PauseProcess(usize),
    /// A process is killed (SIGKILL) and restarted.
    KillProcess(usize),
    /// A process is terminated (SIGTERM) and restarted.
    TerminateProcess(usize),
    /// A process reloads its configuration (SIGHUP).
    ReloadConfig(usize),
    /// A process is replaced by a successor on its inherited socket, and that by the next one.
    UpgradeSeries {
        /// The process.
        process: usize,
        /// How many successors follow each other.
        upgrades: u32,
        /// Draws their times and what happens beside them.
        seed: u64,
    },
    /// Idle clients connect to a process until its descriptors are used up.
    FloodConnections(usize),
    /// The discovery agent of a process refuses connections.
    StopDiscovery(usize),
}

/// A fault with its start and its duration.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it starts, from the start of the run.
    pub starts_after: Duration,
    /// How long it lasts; zero for a momentary fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// Real dispatchers.
    pub processes: usize,
    /// Replicas for prefill; the others decode.
    pub prefill_replicas: usize,
    /// All replicas.
    pub replicas: usize,
    /// How long clients send.
    pub load_duration: Duration,
    /// Whether crowds of idle clients are among the faults.
    pub has_connection_floods: bool,
}

impl RunSize {
    /// Whether a process has an inherited socket and is upgraded; the others are killed and restarted.
    pub fn is_upgraded(&self, process: usize) -> bool {
        process.is_multiple_of(2)
    }

    fn upgraded_processes(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.processes).filter(|process| self.is_upgraded(*process))
    }
}

/// No upgrade starts before this, in milliseconds.
const MIN_UPGRADE_START_MS: u64 = 1_500;
/// The most upgrades in a series.
const MAX_UPGRADES_PER_SERIES: u32 = 4;
/// The fraction of upgraded processes that meet a crowd, in runs with crowds.
const CONNECTION_FLOOD_FRACTION: f64 = 0.5;
/// The first fault starts after this, when all processes are ready and have connections.
const FIRST_FAULT_AFTER: Duration = Duration::from_millis(1_000);

fn draw_duration(rng: &mut Pcg32, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(rng.gen_range(min_ms..=max_ms))
}

/// Draws a fault and its duration. `victims` are the replicas that may be taken out of service.
fn draw_fault(size: &RunSize, fault_candidates: &[usize], rng: &mut Pcg32) -> (Fault, Duration) {
    let process = rng.gen_range(0..size.processes);
    let replica = rng.gen_range(0..size.replicas);
    let victim = fault_candidates.choose(rng).copied().unwrap_or(0);
    match rng.gen_range(0..100) {
        0..=15 => (Fault::StallReplica(victim), draw_duration(rng, 300, 4_000)),
        16..=22 => (Fault::KillReplica(victim), draw_duration(rng, 200, 2_000)),
        23..=30 => (Fault::LoseResponses(victim), draw_duration(rng, 200, 2_000)),
        31..=35 => (Fault::ReturnErrors(victim), draw_duration(rng, 200, 1_000)),
        36..=40 => (
            Fault::RejectOverloaded(victim),
            draw_duration(rng, 200, 1_000),
        ),
        41..=46 => (Fault::AbortStreams(victim), draw_duration(rng, 200, 1_000)),
        47..=54 => (
            Fault::DrainReplica(victim),
            draw_duration(rng, 1_000, 4_000),
        ),
        55..=66 => (
            Fault::SilenceConnections { process, replica },
            Duration::ZERO,
        ),
        67..=74 => (Fault::ResetConnections { process, replica }, Duration::ZERO),
        75..=81 => (Fault::PauseProcess(process), draw_duration(rng, 50, 700)),
        82..=91 if size.is_upgraded(process) => (Fault::ReloadConfig(process), Duration::ZERO),
        82..=86 => (Fault::KillProcess(process), draw_duration(rng, 100, 500)),
        87..=91 => (
            Fault::TerminateProcess(process),
            draw_duration(rng, 100, 500),
        ),
        92..=95 => (Fault::ReloadConfig(process), Duration::ZERO),
        _ => (
            Fault::StopDiscovery(process),
            draw_duration(rng, 500, 4_000),
        ),
    }
}

/// Draws a series of upgrades for each process that has them, and crowds where these are among the faults.
fn draw_upgrades(size: &RunSize, rng: &mut Pcg32) -> Vec<ScheduledFault> {
    let latest_start_ms = (size.load_duration.as_millis() as u64 / 2).max(MIN_UPGRADE_START_MS + 1);
    let mut upgrades = Vec::new();
    for process in size.upgraded_processes() {
        let starts_after = draw_duration(rng, MIN_UPGRADE_START_MS, latest_start_ms);
        upgrades.push(ScheduledFault {
            starts_after,
            duration: Duration::ZERO,
            fault: Fault::UpgradeSeries {
                process,
                upgrades: rng.gen_range(1..=MAX_UPGRADES_PER_SERIES),
                seed: rng.gen(),
            },
        });
        if size.has_connection_floods && rng.gen_bool(CONNECTION_FLOOD_FRACTION) {
            upgrades.push(ScheduledFault {
                starts_after,
                duration: draw_duration(rng, 2_000, 6_000),
                fault: Fault::FloodConnections(process),
            });
        }
    }
    upgrades
}

/// Draws the faults of a run, in the order in which they start. Faults that take a replica out of service leave at least two
/// replicas of each role untouched, so that every request can be served.
pub fn draw_schedule(size: &RunSize, rng: &mut Pcg32) -> Vec<ScheduledFault> {
    let mut fault_candidates: Vec<usize> = (2..size.prefill_replicas)
        .chain(size.prefill_replicas + 2..size.replicas)
        .collect();
    fault_candidates.shuffle(rng);
    let mut schedule = Vec::new();
    let mut starts_after = FIRST_FAULT_AFTER;
    while starts_after < size.load_duration {
        let (fault, duration) = draw_fault(size, &fault_candidates, rng);
        schedule.push(ScheduledFault {
            starts_after,
            duration,
            fault,
        });
        starts_after += draw_duration(rng, 20, 400);
    }
    // Most decode replicas fail together once, as if a rack lost power.
    let rack_failure_at = draw_duration(
        rng,
        2_000,
        (size.load_duration.as_millis() as u64).max(2_001),
    );
    for replica in size.prefill_replicas + 2..size.replicas {
        schedule.push(ScheduledFault {
            starts_after: rack_failure_at,
            duration: draw_duration(rng, 1_500, 4_000),
            fault: Fault::StallReplica(replica),
        });
    }
    schedule.extend(draw_upgrades(size, rng));
    schedule.sort_by_key(|scheduled| scheduled.starts_after);
    schedule
}

/// How many processes of a schedule are replaced by a successor.
pub fn count_upgrades(schedule: &[ScheduledFault]) -> u32 {
    let upgrades_of = |scheduled: &ScheduledFault| match scheduled.fault {
        Fault::UpgradeSeries { upgrades, .. } => upgrades,
        _ => 0,
    };
    schedule.iter().map(upgrades_of).sum()
}
