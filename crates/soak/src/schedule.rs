//! The seeded time line of a play: which faults begin when, and for how long. They overlap.

use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::Pcg32;
use std::time::Duration;

/// One kind of trouble, and whom it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A server takes connections and bytes, and runs nothing.
    StopServer(usize),
    /// A server dies: its connections are reset and new ones refused until it is back.
    KillServer(usize),
    /// A server finishes its work and its answers do not arrive.
    LoseAnswers(usize),
    /// A server answers with errors.
    ErrorAnswers(usize),
    /// A server is full.
    TurnAway(usize),
    /// A server's streams break off.
    BreakStreams(usize),
    /// Discovery tells that a server drains, and later that it is back.
    DrainServer(usize),
    /// All open connections of a process to a server fall silent, for good.
    SilenceConnections {
        /// The process.
        process: usize,
        /// The server.
        server: usize,
    },
    /// All open connections of a process to a server are reset.
    ResetConnections {
        /// The process.
        process: usize,
        /// The server.
        server: usize,
    },
    /// A process stands still (SIGSTOP, then SIGCONT).
    StopProcess(usize),
    /// A process is killed and started again.
    KillProcess(usize),
    /// A process is told to end (SIGTERM) and started again.
    EndProcess(usize),
    /// A process reads its configuration again (SIGHUP).
    Reload(usize),
    /// A process's agent of discovery refuses all calls.
    DiscoveryDown(usize),
}

/// A fault in its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When it begins, from the start of the play.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// What a play is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Real dispatchers.
    pub processes: usize,
    /// Servers that read; the others write.
    pub readers: usize,
    /// Servers.
    pub servers: usize,
    /// How long clients send.
    pub span: Duration,
}

/// The first fault comes after this: all processes are ready and have connections.
const FIRST: Duration = Duration::from_millis(1_000);

fn ms(rng: &mut Pcg32, least: u64, most: u64) -> Duration {
    Duration::from_millis(rng.gen_range(least..=most))
}

/// Draws the faults of a play, in the order in which they begin. At least two servers of each role go untouched by what takes
/// a server out of service, so that there is always somebody who could answer.
pub fn draw(shape: &Shape, rng: &mut Pcg32) -> Vec<Planned> {
    let mut victims: Vec<usize> = (2..shape.readers)
        .chain(shape.readers + 2..shape.servers)
        .collect();
    victims.shuffle(rng);
    let mut plan = Vec::new();
    let mut at = FIRST;
    while at < shape.span {
        let (process, server) = (
            rng.gen_range(0..shape.processes),
            rng.gen_range(0..shape.servers),
        );
        let victim = victims.choose(rng).copied().unwrap_or(0);
        let (fault, lasts) = match rng.gen_range(0..100) {
            0..=15 => (Fault::StopServer(victim), ms(rng, 300, 4_000)),
            16..=22 => (Fault::KillServer(victim), ms(rng, 200, 2_000)),
            23..=30 => (Fault::LoseAnswers(victim), ms(rng, 200, 2_000)),
            31..=35 => (Fault::ErrorAnswers(victim), ms(rng, 200, 1_000)),
            36..=40 => (Fault::TurnAway(victim), ms(rng, 200, 1_000)),
            41..=46 => (Fault::BreakStreams(victim), ms(rng, 200, 1_000)),
            47..=54 => (Fault::DrainServer(victim), ms(rng, 1_000, 4_000)),
            55..=66 => (
                Fault::SilenceConnections { process, server },
                Duration::ZERO,
            ),
            67..=74 => (Fault::ResetConnections { process, server }, Duration::ZERO),
            75..=81 => (Fault::StopProcess(process), ms(rng, 50, 700)),
            82..=86 => (Fault::KillProcess(process), ms(rng, 100, 500)),
            87..=91 => (Fault::EndProcess(process), ms(rng, 100, 500)),
            92..=95 => (Fault::Reload(process), Duration::ZERO),
            _ => (Fault::DiscoveryDown(process), ms(rng, 500, 4_000)),
        };
        plan.push(Planned { at, lasts, fault });
        at += ms(rng, 20, 400);
    }
    // Most writers fall silent together once, as when a rack loses its power.
    let together = ms(rng, 2_000, (shape.span.as_millis() as u64).max(2_001));
    for server in shape.readers + 2..shape.servers {
        plan.push(Planned {
            at: together,
            lasts: ms(rng, 1_500, 4_000),
            fault: Fault::StopServer(server),
        });
    }
    plan.sort_by_key(|planned| planned.at);
    plan
}
