//! Injection of scheduled faults into replicas, discovery agents and dispatcher processes.
//!
//! The oracle is notified of scheduled crashes, kills, pauses and floods before they take effect, so that it excuses what
//! they cause. Faults overlap: one that another fault rules out, such as the kill of a paused process, is skipped.

use super::process::DispatcherProcess;
use super::SoakRun;
use crate::schedule::{Fault, ScheduledFault};
use quartzhall::routing::api::EndpointStatus;
use rustix::process::{kill_process, Pid, Signal};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// How long clients still open connections after SIGTERM, before requests to the process stop.
const CONNECT_TIME_AFTER_TERM: Duration = Duration::from_millis(300);

/// Sends a signal to a process. Errors are ignored: a process that exited by itself is reported at the end of the run.
fn signal(process_id: Option<u32>, signal: Signal) {
    if let Some(id) = process_id.and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(id, signal);
    }
}

/// Sets a fault flag for a limited time.
async fn set_fault_for(flag: &AtomicBool, duration: Duration) {
    flag.store(true, Ordering::Relaxed);
    sleep(duration).await;
    flag.store(false, Ordering::Relaxed);
}

impl SoakRun {
    /// Injects a fault and returns when it is over.
    pub(super) async fn inject(self: Arc<Self>, scheduled: ScheduledFault) {
        let duration = scheduled.duration;
        match scheduled.fault {
            Fault::StallReplica(replica) => {
                set_fault_for(&self.replicas[replica].faults.is_stalled, duration).await;
            }
            Fault::LoseResponses(replica) => {
                set_fault_for(&self.replicas[replica].faults.loses_responses, duration).await;
            }
            Fault::ReturnErrors(replica) => {
                set_fault_for(&self.replicas[replica].faults.returns_errors, duration).await;
            }
            Fault::RejectOverloaded(replica) => {
                set_fault_for(&self.replicas[replica].faults.is_overloaded, duration).await;
            }
            Fault::AbortStreams(replica) => {
                set_fault_for(&self.replicas[replica].faults.aborts_streams, duration).await;
            }
            Fault::KillReplica(replica) => {
                self.oracle.on_replica_killed(replica);
                set_fault_for(&self.replicas[replica].faults.is_killed, duration).await;
            }
            Fault::DrainReplica(replica) => {
                self.publish_status(replica, EndpointStatus::Draining);
                sleep(duration).await;
                self.publish_status(replica, EndpointStatus::Ready);
            }
            Fault::SilenceConnections { process, replica } => {
                self.replicas[replica].silence_connections(process);
            }
            Fault::ResetConnections { process, replica } => {
                self.replicas[replica].reset_connections(process);
            }
            Fault::PauseProcess(process) => self.pause(&self.processes[process], duration).await,
            Fault::KillProcess(process) => self.kill(&self.processes[process], duration).await,
            Fault::TerminateProcess(process) => {
                self.terminate(&self.processes[process], duration).await;
            }
            Fault::ReloadConfig(process) => signal(self.processes[process].id(), Signal::HUP),
            Fault::UpgradeSeries {
                process,
                upgrades,
                seed,
            } => {
                let process = self.processes[process].clone();
                self.upgrade_in_series(&process, upgrades, seed).await;
            }
            Fault::ConnectionFlood(process) => self.flood(&self.processes[process], duration).await,
            Fault::StopDiscovery(process) => {
                let process = &self.processes[process];
                process.stop_agent();
                sleep(duration).await;
                // The agent is stopped first, because an overlapping fault may have started it already. A failure is
                // reported: without an agent, no process that starts later would become ready.
                if let Err(error) = process.restart_agent().await {
                    let reason =
                        format!("the test bench could not restart the discovery agent: {error}");
                    self.oracle.on_process_failed(process.number, reason);
                }
            }
        }
    }

    /// Makes all discovery agents report this status of a replica.
    fn publish_status(&self, replica: usize, status: EndpointStatus) {
        for process in &self.processes {
            process
                .discovery
                .update(&[replica], |endpoint| endpoint.record.status = status);
        }
    }

    /// Pauses the current process, unless the dispatcher is down or already paused.
    async fn pause(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.accepts_requests() || process.mark_paused() {
            return;
        }
        // An upgrade may replace the current process during the pause; SIGCONT has to reach the one that was stopped.
        let id = process.id();
        let started = Instant::now();
        self.oracle.on_process_paused(process.number);
        signal(id, Signal::STOP);
        sleep(duration).await;
        self.oracle
            .on_process_resumed(process.number, started.elapsed());
        signal(id, Signal::CONT);
        process.mark_resumed();
    }

    /// Kills the current process and restarts the dispatcher, unless another fault is ending the process or has paused it.
    async fn kill(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.claim_for_exit() {
            return;
        }
        self.oracle.on_kill_started(process.number);
        drop(process.take_dispatcher());
        sleep(duration).await;
        self.oracle.on_restart_after_kill(process.number);
        self.restart(process).await;
    }

    /// Terminates the current process while clients still connect, and restarts the dispatcher.
    async fn terminate(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.accepts_requests() || process.is_paused() {
            return;
        }
        let kill_at = tokio::time::Instant::now() + self.kill_after_termination();
        self.oracle
            .on_process_terminated(process.number, Instant::now());
        signal(process.id(), Signal::TERM);
        sleep(CONNECT_TIME_AFTER_TERM).await;
        if !process.claim_for_exit() {
            return;
        }
        if let Some(dispatcher) = process.take_dispatcher() {
            // Sends SIGTERM a second time. On a timeout the future is dropped, which kills the process.
            match timeout_at(kill_at, dispatcher.terminate()).await {
                Ok(Ok(())) => self.oracle.on_process_exited(process.number),
                Ok(Err(error)) => self
                    .oracle
                    .on_process_failed(process.number, error.to_string()),
                Err(_) => self.oracle.on_process_killed(process.number),
            }
        }
        sleep(duration).await;
        self.restart(process).await;
    }

    /// Starts a process, and reports a violation if it does not become ready.
    async fn restart(&self, process: &DispatcherProcess) {
        if let Err(error) = process.start(&self.plan).await {
            self.oracle
                .on_process_failed(process.number, error.to_string());
        }
    }
}
