//! The fault schedule of a run: which fault starts when, on which replica or process, and for how long.
//!
//! The schedule depends only on the [`RunSize`] and the random generator, so the same seed draws the same schedule. Faults
//! may overlap. Those that take a whole replica out of service leave at least two replicas of each role untouched.
//! Dispatchers with even numbers are upgraded; the others are killed or terminated, and restarted.

use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg32;
use std::time::Duration;

/// A fault and the replica or process that it affects, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A replica accepts connections and reads data, but executes nothing.
    StallReplica(usize),
    /// A replica crashes: its connections are reset, and new ones are refused until it restarts.
    KillReplica(usize),
    /// A prefill replica executes attempts, but resets the connection instead of responding. No effect on a decode replica.
    LoseResponses(usize),
    /// A replica responds with status 500.
    ReturnErrors(usize),
    /// A replica rejects attempts with status 503 without executing them.
    RejectOverloaded(usize),
    /// A decode replica resets its connections in the middle of a stream. No effect on a prefill replica.
    AbortStreams(usize),
    /// Discovery reports a replica as draining, and as ready again when the fault ends.
    DrainReplica(usize),
    /// All open connections from a process to a replica stay open, but the replica never responds on them again.
    SilenceConnections {
        /// The number of the dispatcher.
        process: usize,
        /// The number of the replica.
        replica: usize,
    },
    /// All open connections from a process to a replica are reset.
    ResetConnections {
        /// The number of the dispatcher.
        process: usize,
        /// The number of the replica.
        replica: usize,
    },
    /// A process is stopped by SIGSTOP and resumed by SIGCONT.
    PauseProcess(usize),
    /// A process is killed by SIGKILL and restarted.
    KillProcess(usize),
    /// A process is terminated by SIGTERM and restarted.
    TerminateProcess(usize),
    /// A process gets SIGHUP, on which it reloads its configuration.
    ReloadConfig(usize),
    /// A process is replaced by a successor on the same inherited socket, the successor by the next one, and so on.
    UpgradeSeries {
        /// The number of the dispatcher.
        process: usize,
        /// Number of successors.
        upgrades: u32,
        /// Seed for the time of each upgrade and the faults during the upgrade.
        seed: u64,
    },
    /// Idle connections use up the descriptors of a process.
    ConnectionFlood(usize),
    /// The discovery agent of a process refuses new connections. Open connections are still served.
    StopDiscovery(usize),
}

/// A fault with its start time and its duration.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// Start time, from the start of the load.
    pub starts_after: Duration,
    /// How long it lasts; zero for a momentary fault and for a series of upgrades, which ends by itself.
    pub duration: Duration,
    /// What fails, and at which replica or process.
    pub fault: Fault,
}

/// The size of a run: numbers of processes and replicas, and the duration.
#[derive(Clone, Copy, Debug)]
pub struct RunSize {
    /// Number of dispatchers.
    pub processes: usize,
    /// Number of prefill replicas, which have the lowest numbers; the others are decode replicas.
    pub prefill_replicas: usize,
    /// Number of replicas of both roles.
    pub replicas: usize,
    /// Duration of the load: how long clients send requests.
    pub load_duration: Duration,
    /// Whether floods of idle connections are among the faults.
    pub has_connection_floods: bool,
}

impl RunSize {
    /// Returns whether a dispatcher inherits its listening socket and is upgraded: those with even numbers. The others bind
    /// their own sockets, and are killed or terminated, and restarted.
    pub fn is_upgraded(&self, process: usize) -> bool {
        process.is_multiple_of(2)
    }

    fn upgraded_processes(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.processes).filter(|process| self.is_upgraded(*process))
    }
}

/// The earliest start of a series of upgrades, in milliseconds.
const MIN_UPGRADE_START_MS: u64 = 1_500;
/// The most upgrades in one series.
const MAX_UPGRADES_PER_SERIES: u32 = 4;
/// Fraction of upgraded processes that get a connection flood, in runs that include floods.
const CONNECTION_FLOOD_FRACTION: f64 = 0.5;
/// Start of the first fault. By then, all processes are ready and have connections to replicas.
const FIRST_FAULT_AFTER: Duration = Duration::from_millis(1_000);

fn draw_duration(rng: &mut Pcg32, min_ms: u64, max_ms: u64) -> Duration {
    Duration::from_millis(rng.gen_range(min_ms..=max_ms))
}

/// Draws a fault and its duration. `fault_candidates` are the replicas that may be taken out of service; without any, the
/// fault affects replica 0.
fn draw_fault(size: &RunSize, fault_candidates: &[usize], rng: &mut Pcg32) -> (Fault, Duration) {
    let process = rng.gen_range(0..size.processes);
    let replica = rng.gen_range(0..size.replicas);
    let target = fault_candidates.choose(rng).copied().unwrap_or(0);
    match rng.gen_range(0..100) {
        0..=15 => (Fault::StallReplica(target), draw_duration(rng, 300, 4_000)),
        16..=22 => (Fault::KillReplica(target), draw_duration(rng, 200, 2_000)),
        23..=30 => (Fault::LoseResponses(target), draw_duration(rng, 200, 2_000)),
        31..=35 => (Fault::ReturnErrors(target), draw_duration(rng, 200, 1_000)),
        36..=40 => (
            Fault::RejectOverloaded(target),
            draw_duration(rng, 200, 1_000),
        ),
        41..=46 => (Fault::AbortStreams(target), draw_duration(rng, 200, 1_000)),
        47..=54 => (
            Fault::DrainReplica(target),
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

/// Draws a series of upgrades for each process that is upgraded. Where floods are among the faults, some of these processes
/// get one from the start of their series on.
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
                fault: Fault::ConnectionFlood(process),
            });
        }
    }
    upgrades
}

/// Draws the faults of a run, ordered by start time. Faults that take a replica out of service leave at least two replicas
/// of each role untouched, so that every request can be served. If no role has more than two replicas, these faults affect
/// replica 0.
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
    // Simulates the failure of a rack: all decode replicas but two stall at the same time.
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

/// Returns the total number of upgrades in all series of a schedule, whether or not the run carries them out.
pub fn count_upgrades(schedule: &[ScheduledFault]) -> u32 {
    let upgrades_of = |scheduled: &ScheduledFault| match scheduled.fault {
        Fault::UpgradeSeries { upgrades, .. } => upgrades,
        _ => 0,
    };
    schedule.iter().map(upgrades_of).sum()
}
