//! Runs the process once its tasks have started: accepts clients until a termination signal, then drains.
//!
//! `shutdown_schedule` has the times of the drain. During the drain connections are closed, requests finish, late ones are
//! refused, and streams migrate to another process of the dispatcher if there is one.

use super::frontends::Frontends;
use super::shutdown_schedule::ShutdownSchedule;
use super::signals::TerminationSignals;
use super::takeover;
use super::tasks::UpgradeChannels;
use crate::dispatcher::{DispatcherHandle, Event};
use crate::frontend::ShutdownPhase;
use crate::upgrade::resource_shares::ProcessState;
use crate::upgrade::PeerProcesses;
use slog::{info, warn, Logger};
use std::pin::pin;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};

/// How long new connections are still accepted after SIGTERM, so that load balancers can notice that the process is not
/// ready.
const LISTEN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// A process whose tasks have started.
pub(super) struct Process {
    pub dispatcher: DispatcherHandle,
    pub frontends: Frontends,
    /// The endpoint list of the configuration, if the core has not received it yet.
    pub pending_endpoints: Option<Event>,
    pub upgrade: UpgradeChannels,
    pub log: Logger,
}

impl Process {
    /// Accepts clients, in a successor once it is ready to take over, and drains after the first termination signal.
    /// Returns when all requests have ended.
    pub(super) async fn run(mut self, mut termination: TerminationSignals) {
        let mut terminated = pin!(termination.wait());
        let is_accepting = tokio::select! {
            () = terminated.as_mut() => false,
            () = self.prepare_to_accept() => true,
        };
        if is_accepting {
            self.frontends.accept_clients();
            terminated.await;
        }
        self.drain().await;
    }

    /// Waits until this process can take over from its predecessor, if it has one. Then tells the other processes and
    /// the core that it accepts clients.
    async fn prepare_to_accept(&mut self) {
        let has_predecessor = self.upgrade.peers.borrow().predecessor;
        if has_predecessor {
            let endpoints = self.pending_endpoints.take();
            let peers = self.upgrade.peers.clone();
            takeover::wait_until_ready(&self.dispatcher, endpoints, peers).await;
            info!(self.log, "taking over"; "peers" => ?*self.upgrade.peers.borrow());
        }
        let _ = self.upgrade.process_state.send(ProcessState::Serving);
        self.dispatcher.send(Event::AcceptClients).await;
    }

    /// Shuts down gracefully: returns when all connections are closed and all requests have ended.
    async fn drain(&mut self) {
        let has_successor = self.upgrade.peers.borrow_and_update().serving.is_some();
        info!(self.log, "draining"; "open_requests" => self.dispatcher.open_requests(), "has_successor" => has_successor);
        let max_deadline = Duration::from_micros(self.dispatcher.deployment().limits.max_deadline);
        let schedule = ShutdownSchedule::new(Instant::now(), max_deadline);
        // Ahead of queued requests, as the times of the schedule count from now.
        self.dispatcher
            .send_urgent(Event::Drain(schedule.drain))
            .await;
        let _ = self.upgrade.process_state.send(ProcessState::Leaving);
        self.accept_during_grace_period().await;
        self.frontends.set_shutdown_phase(ShutdownPhase::Closing);
        let shutdown_phase = self.frontends.shutdown_phase_sender();
        let migration = MigrationControl {
            peers: self.upgrade.peers.clone(),
            switch: &self.upgrade.migration_switch,
            dispatcher: self.dispatcher.clone(),
            endpoint_streams_migrate: self.upgrade.endpoint_streams_migrate,
            fallback_at: schedule.fallback_receivers_at,
        };
        let until_idle = async {
            self.frontends.wait_until_closed().await;
            self.dispatcher.wait_until_idle().await;
        };
        tokio::select! {
            () = until_idle => {}
            () = migration.run() => {}
            () = end_arrivals(shutdown_phase, schedule.arrivals_end_at) => {}
            () = warn_of_unfinished_work(&self.dispatcher, schedule.warn_at, &self.log) => {}
        }
    }

    /// Accepts connections for the grace period, but no longer than until another process accepts them. Returns at the
    /// end of the grace period in both cases.
    async fn accept_during_grace_period(&mut self) {
        let grace_ends_at = Instant::now() + LISTEN_GRACE_PERIOD;
        let is_replaced = self.upgrade.peers.wait_for(|peers| peers.serving.is_some());
        if let Ok(Ok(_)) = timeout_at(grace_ends_at, is_replaced).await {
            self.frontends.set_shutdown_phase(ShutdownPhase::Draining);
        }
        sleep_until(grace_ends_at).await;
    }
}

/// Turns the migration of streams on while another process can receive them, and off while none can. Also tells the core
/// whether the streams of requests that still arrive can migrate.
struct MigrationControl<'a> {
    peers: watch::Receiver<PeerProcesses>,
    switch: &'a watch::Sender<bool>,
    dispatcher: DispatcherHandle,
    endpoint_streams_migrate: bool,
    /// From this moment on, streams also migrate to a process that does not serve.
    fallback_at: Instant,
}

impl MigrationControl<'_> {
    /// Never returns, as a process that can receive streams may start at any time.
    async fn run(mut self) {
        loop {
            let peers = *self.peers.borrow_and_update();
            let is_available = peers.serving.is_some() && self.endpoint_streams_migrate;
            let receiver_changed = Event::StreamReceiverChanged { is_available };
            self.dispatcher.send_urgent(receiver_changed).await;
            let allows_fallback = Instant::now() >= self.fallback_at;
            let has_receiver =
                peers.serving.is_some() || allows_fallback && peers.stream_receiver().is_some();
            self.switch
                .send_if_modified(|is_due| std::mem::replace(is_due, has_receiver) != has_receiver);
            tokio::select! {
                Ok(()) = self.peers.changed() => {}
                () = sleep_until(self.fallback_at), if !allows_fallback => {}
                else => std::future::pending().await,
            }
        }
    }
}

/// Refuses the requests that are still arriving at `ends_at`. Never returns.
async fn end_arrivals(shutdown_phase: watch::Sender<ShutdownPhase>, ends_at: Instant) {
    sleep_until(ends_at).await;
    // Fails only if no frontend is running any more; then no request is arriving.
    let _ = shutdown_phase.send(ShutdownPhase::Ending);
    std::future::pending::<()>().await;
}

/// Logs the number of open requests shortly before the earliest kill, if there are any. Never returns.
async fn warn_of_unfinished_work(dispatcher: &DispatcherHandle, warn_at: Instant, log: &Logger) {
    sleep_until(warn_at).await;
    let open_requests = dispatcher.open_requests();
    if open_requests > 0 {
        warn!(log, "work unfinished before the earliest kill"; "open_requests" => open_requests);
    }
    std::future::pending::<()>().await;
}
