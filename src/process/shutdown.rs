//! Runs the process once its tasks have started: accepts clients until a termination signal, then drains.
//!
//! All times of the drain count backwards from the earliest moment at which the process may be killed. During the drain
//! connections are closed, requests finish, and streams migrate to another process of the dispatcher if there is one.

use super::frontends::Frontends;
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
/// Maximum duration of the drain. Open requests get the longest deadline of any class to finish, but no more than this:
/// the process may be killed [`KILL_MARGIN`] later.
const MAX_DRAIN_DURATION: Duration = Duration::from_secs(3);
/// Time between the end of the drain and the earliest kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long before the earliest kill all requests but streams are answered, so that their reservations can be released.
const RELEASE_MARGIN: Duration = Duration::from_millis(500);

/// How long before the earliest kill streams begin to migrate also to a process that does not serve. It may not be able
/// to finish them, but staying here they would be cut by the kill.
const FALLBACK_RECEIVER_MARGIN: Duration = Duration::from_millis(800);
/// How long before the earliest kill the requests that are still open are logged.
const WARNING_MARGIN: Duration = Duration::from_millis(200);

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
        let until_kill = max_deadline.min(MAX_DRAIN_DURATION) + KILL_MARGIN;
        let kill_at = Instant::now() + until_kill;
        let drain = Event::Drain(until_kill - RELEASE_MARGIN);
        self.dispatcher.send(drain).await;
        let _ = self.upgrade.process_state.send(ProcessState::Leaving);
        self.accept_during_grace_period().await;
        self.frontends.set_shutdown_phase(ShutdownPhase::Closing);
        let migration = MigrationControl {
            peers: self.upgrade.peers.clone(),
            switch: &self.upgrade.migration_switch,
            fallback_at: kill_at - FALLBACK_RECEIVER_MARGIN,
        };
        let warn_at = kill_at - WARNING_MARGIN;
        let until_idle = async {
            self.frontends.wait_until_closed().await;
            self.dispatcher.wait_until_idle().await;
        };
        tokio::select! {
            () = until_idle => {}
            () = migration.run() => {}
            () = warn_of_unfinished_work(&self.dispatcher, warn_at, &self.log) => {}
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

/// Turns the migration of streams on while another process can receive them, and off while none can.
struct MigrationControl<'a> {
    peers: watch::Receiver<PeerProcesses>,
    switch: &'a watch::Sender<bool>,
    /// From this moment on, streams also migrate to a process that does not serve.
    fallback_at: Instant,
}

impl MigrationControl<'_> {
    /// Never returns, as a process that can receive streams may start at any time.
    async fn run(mut self) {
        loop {
            let peers = *self.peers.borrow_and_update();
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

/// Logs the number of open requests shortly before the earliest kill, if there are any. Never returns.
async fn warn_of_unfinished_work(dispatcher: &DispatcherHandle, warn_at: Instant, log: &Logger) {
    sleep_until(warn_at).await;
    let open_requests = dispatcher.open_requests();
    if open_requests > 0 {
        warn!(log, "work unfinished before the earliest kill"; "open_requests" => open_requests);
    }
    std::future::pending::<()>().await;
}
