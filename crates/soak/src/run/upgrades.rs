//! Faults of dispatchers that inherit their socket: series of upgrades, and floods of idle connections.
//!
//! In an upgrade, the successor starts on the same socket. Once it is ready, the predecessor gets SIGTERM, and SIGKILL at
//! the earliest time that the protocol allows. Several upgrades of a series may overlap.

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

/// The shortest time between two upgrades, in seconds. The times are drawn from a log-uniform distribution.
const MIN_UPGRADE_INTERVAL_S: f64 = 0.1;
/// The longest time between two upgrades, in seconds.
const MAX_UPGRADE_INTERVAL_S: f64 = 14.0;
/// Fraction of upgrades in which an extra process starts beside the two; it is shut down after the predecessor.
const EXTRA_PROCESS_FRACTION: f64 = 0.2;
/// Fraction of upgrades in which a first successor is killed right after its start and replaced by another.
const FAILED_START_FRACTION: f64 = 0.15;
/// Fraction of upgrades in which the predecessor gets SIGHUP and a second SIGTERM after the first.
const REPEATED_SIGNAL_FRACTION: f64 = 0.3;
/// Idle connections of a flood; more than a process accepts from clients with
/// [`MAX_DESCRIPTORS`](crate::config::MAX_DESCRIPTORS).
const FLOOD_CONNECTIONS: usize = 340;
/// Time between two checks of a flood. Each check replaces the connections that were closed.
const FLOOD_REFILL_INTERVAL: Duration = Duration::from_millis(200);

impl SoakRun {
    /// Replaces a process by a series of `upgrades` successors. Returns when all processes but the last have exited. A
    /// successor that does not become ready is reported as a violation and ends the series.
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
                let interval_s = MIN_UPGRADE_INTERVAL_S
                    * (MAX_UPGRADE_INTERVAL_S / MIN_UPGRADE_INTERVAL_S).powf(exponent);
                sleep(Duration::from_secs_f64(interval_s)).await;
            }
            if rng.gen_bool(FAILED_START_FRACTION) {
                drop(process.spawn(&self.plan)); // dropping it kills the process
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

    /// Shuts down a process whose successor is ready: SIGTERM, then SIGKILL at the earliest time that the protocol allows.
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
        // On a timeout the future is dropped with the dispatcher in it, which kills the process.
        match timeout(self.kill_after_termination(), dispatcher.wait_for_exit()).await {
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

    /// Keeps up to [`FLOOD_CONNECTIONS`] idle connections to a process open.
    pub(super) async fn flood(&self, process: &DispatcherProcess, duration: Duration) {
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
