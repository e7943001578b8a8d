//! Upgrades of one dispatcher in series: each process is told to end beside its successor, and killed at the earliest
//! moment that the protocol allows.

use super::process::DispatcherProcess;
use super::SoakRun;
use crate::wire;
use quartzhall_scale::process::Dispatcher;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// The longest deadline counts as no more than this ...
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// ... and SIGKILL comes this long after it, from SIGTERM on.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The least and the greatest time between two upgrades, in seconds; the times between are drawn by their logarithm.
const MIN_GAP_S: f64 = 0.1;
const MAX_GAP_S: f64 = 14.0;
/// How often a process starts beside the two of an upgrade, and is told to end when the oldest has ended.
const EXTRA_PROCESS_FRACTION: f64 = 0.2;
/// How often the successor is killed at its start, and another one takes its place.
const FAILED_START_FRACTION: f64 = 0.15;
/// How often SIGTERM and SIGHUP come again.
const REPEATED_SIGNAL_FRACTION: f64 = 0.3;
/// Idle clients of a crowd: more than a process may have.
const FLOOD_CONNECTIONS: usize = 340;
/// Between two looks at a crowd's connections.
const FLOOD_REFILL_INTERVAL: Duration = Duration::from_millis(200);

impl SoakRun {
    /// Replaces a process by successors, one after the other. Returns when all but the last have ended.
    pub(super) async fn upgrade_in_series(
        self: &Arc<Self>,
        process: &Arc<DispatcherProcess>,
        upgrades: u32,
        seed: u64,
    ) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut shutdowns = JoinSet::new();
        for number in 0..upgrades {
            if number > 0 {
                let exponent = rng.gen_range(0.0..1.0);
                let gap_s = MIN_GAP_S * (MAX_GAP_S / MIN_GAP_S).powf(exponent);
                sleep(Duration::from_secs_f64(gap_s)).await;
            }
            if rng.gen_bool(FAILED_START_FRACTION) {
                drop(process.spawn(&self.plan)); // killed at its start
            }
            match process.start(&self.plan).await {
                Ok(Some(predecessor)) => {
                    let extra_process = if rng.gen_bool(EXTRA_PROCESS_FRACTION) {
                        process.spawn(&self.plan).ok()
                    } else {
                        None
                    };
                    let repeats_signals = rng.gen_bool(REPEATED_SIGNAL_FRACTION);
                    let (run, process) = (self.clone(), process.clone());
                    shutdowns.spawn(async move {
                        run.shut_down(&process, predecessor, repeats_signals).await;
                        if let Some(extra_process) = extra_process {
                            run.shut_down(&process, extra_process, false).await;
                        }
                    });
                }
                Ok(None) => {}
                Err(error) => {
                    self.oracle
                        .on_process_failed(process.number, error.to_string());
                    return;
                }
            }
        }
        while shutdowns.join_next().await.is_some() {}
    }

    /// Ends a process whose successor is ready: SIGTERM, then SIGKILL at the earliest.
    async fn shut_down(
        &self,
        process: &DispatcherProcess,
        dispatcher: Dispatcher,
        repeats_signals: bool,
    ) {
        let signaled_at = Instant::now();
        let _ = dispatcher.signal("TERM").await;
        if repeats_signals {
            let _ = dispatcher.signal("HUP").await;
            let _ = dispatcher.signal("TERM").await;
        }
        let kill_after = self.plan.max_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_MARGIN;
        // Dropped by the time-out, it is killed.
        match timeout(kill_after, dispatcher.wait_for_exit()).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                self.oracle
                    .on_process_failed(process.number, error.to_string());
            }
            Err(_) => {
                let text = format!(
                    "a process was killed {:?} after SIGTERM",
                    signaled_at.elapsed()
                );
                self.oracle.add_process_observation(process.number, &text);
            }
        }
    }

    /// Keeps as many idle connections open as the process takes.
    pub(super) async fn flood_connections(&self, process: &DispatcherProcess, duration: Duration) {
        self.oracle.on_connection_flood(process.number, true);
        let end = Instant::now() + duration;
        let mut clients: Vec<TcpStream> = Vec::new();
        while Instant::now() < end {
            clients.retain(|client| !wire::is_closed_by_peer(client));
            while clients.len() < FLOOD_CONNECTIONS {
                let Ok(client) = TcpStream::connect(&process.listen).await else {
                    break;
                };
                clients.push(client);
            }
            sleep(FLOOD_REFILL_INTERVAL).await;
        }
        drop(clients);
        sleep(FLOOD_REFILL_INTERVAL).await;
        self.oracle.on_connection_flood(process.number, false);
    }
}
