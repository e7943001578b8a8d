//! Injection of the scheduled faults into replicas, discovery and processes.

use super::process::DispatcherProcess;
use super::SoakRun;
use crate::config::MAX_DEADLINE;
use crate::schedule::{Fault, ScheduledFault};
use quartzhall::routing::api::EndpointStatus;
use rustix::process::{kill_process, Pid, Signal};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// New connections are made for this long after SIGTERM.
const ACCEPT_TIME_AFTER_TERM: Duration = Duration::from_millis(300);
/// SIGKILL follows SIGTERM after this, by the longest deadline.
const KILL_AFTER_TERM: Duration = Duration::from_millis(MAX_DEADLINE.as_millis() as u64 + 1_500);

/// Sends a signal to a running process; it may have exited by itself, which is detected elsewhere.
fn signal(process_id: Option<u32>, signal: Signal) {
    if let Some(id) = process_id.and_then(|id| Pid::from_raw(id as i32)) {
        let _ = kill_process(id, signal);
    }
}

/// Sets a fault flag for some time.
async fn set_fault_for(flag: &AtomicBool, duration: Duration) {
    flag.store(true, Ordering::Relaxed);
    sleep(duration).await;
    flag.store(false, Ordering::Relaxed);
}

impl SoakRun {
    /// Injects a fault and waits until it is over.
    pub(super) async fn inject(self: Arc<Self>, scheduled: ScheduledFault) {
        let duration = scheduled.duration;
        match scheduled.fault {
            Fault::StallReplica(replica) => {
                set_fault_for(&self.replicas[replica].active_faults.is_stalled, duration).await;
            }
            Fault::LoseResponses(replica) => {
                set_fault_for(
                    &self.replicas[replica].active_faults.loses_responses,
                    duration,
                )
                .await;
            }
            Fault::ReturnErrors(replica) => {
                set_fault_for(
                    &self.replicas[replica].active_faults.returns_errors,
                    duration,
                )
                .await;
            }
            Fault::RejectOverloaded(replica) => {
                set_fault_for(
                    &self.replicas[replica].active_faults.is_overloaded,
                    duration,
                )
                .await;
            }
            Fault::AbortStreams(replica) => {
                set_fault_for(
                    &self.replicas[replica].active_faults.aborts_streams,
                    duration,
                )
                .await;
            }
            Fault::KillReplica(replica) => {
                self.oracle.on_replica_killed(replica);
                set_fault_for(&self.replicas[replica].active_faults.is_killed, duration).await;
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
            Fault::FloodConnections(process) => {
                self.flood_connections(&self.processes[process], duration)
                    .await
            }
            Fault::StopDiscovery(process) => {
                let process = &self.processes[process];
                process.stop_agent();
                sleep(duration).await;
                // An overlapping fault may have started the agent again. Without one no later process would become ready.
                if let Err(error) = process.restart_agent().await {
                    let reason = format!("the bench's own agent does not start: {error}");
                    self.oracle.on_process_failed(process.number, reason);
                }
            }
        }
    }

    /// Has all discovery agents report a replica's status.
    fn publish_status(&self, replica: usize, status: EndpointStatus) {
        for process in &self.processes {
            process
                .discovery
                .update(&[replica], |endpoint| endpoint.record.status = status);
        }
    }

    async fn pause(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.accepts_requests() || process.mark_paused() {
            return;
        }
        // An upgrade may replace it meanwhile.
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

    async fn kill(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.claim_for_exit() {
            return;
        }
        self.oracle.on_process_killed(process.number);
        drop(process.take_dispatcher());
        sleep(duration).await;
        self.oracle.on_process_killed(process.number);
        self.restart(process).await;
    }

    async fn terminate(&self, process: &DispatcherProcess, duration: Duration) {
        if !process.accepts_requests() || process.is_paused() {
            return;
        }
        signal(process.id(), Signal::TERM);
        sleep(ACCEPT_TIME_AFTER_TERM).await;
        if !process.claim_for_exit() {
            return;
        }
        if let Some(dispatcher) = process.take_dispatcher() {
            match timeout(KILL_AFTER_TERM, dispatcher.terminate()).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => self
                    .oracle
                    .on_process_failed(process.number, error.to_string()),
                Err(_) => self.oracle.on_process_killed(process.number),
            }
        }
        sleep(duration).await;
        self.restart(process).await;
    }

    async fn restart(&self, process: &DispatcherProcess) {
        if let Err(error) = process.start(&self.plan).await {
            self.oracle
                .on_process_failed(process.number, error.to_string());
        }
    }
}
