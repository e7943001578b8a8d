//! The life of the process once all its tasks run: it accepts clients, until a signal ends it in good order.

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

/// After SIGTERM new connections are accepted for this long, until load balancers have noticed that the process is not
/// ready.
const LISTEN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// Requests get their longest deadline to finish, and no more than this: whoever ends the process kills it
/// [`KILL_MARGIN`] later.
const MAX_DRAIN_DURATION: Duration = Duration::from_secs(3);
/// Time between the end of the drain and the kill.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// All requests but streams are answered this long before the kill, so that their reservations can be released.
const RELEASE_MARGIN: Duration = Duration::from_millis(500);

/// So long before the kill, streams also go to a process that may not keep them: here they are cut.
const LAST_CHOICE_MARGIN: Duration = Duration::from_millis(800);
/// What is still open is logged this long before the kill.
const WARNING_MARGIN: Duration = Duration::from_millis(200);

/// A process whose tasks run.
pub(super) struct Process {
    pub dispatcher: DispatcherHandle,
    pub frontends: Frontends,
    /// The endpoint list of the configuration, where the core has not received it yet.
    pub pending_endpoints: Option<Event>,
    pub upgrade: UpgradeChannels,
    pub log: Logger,
}

impl Process {
    /// Accepts clients, as soon as a predecessor leaves them to this process, and drains after the first termination
    /// signal. Returns when all requests have ended.
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

    async fn drain(&mut self) {
        let has_successor = self.upgrade.peers.borrow_and_update().serving.is_some();
        info!(self.log, "draining"; "open_requests" => self.dispatcher.open_requests(), "has_successor" => has_successor);
        let max_deadline = Duration::from_micros(self.dispatcher.deployment().limits.max_deadline);
        let until_kill = max_deadline.min(MAX_DRAIN_DURATION) + KILL_MARGIN;
        let kill_at = Instant::now() + until_kill;
        let drain = Event::Drain(until_kill - RELEASE_MARGIN);
        self.dispatcher.send(drain).await;
        let _ = self.upgrade.process_state.send(ProcessState::Leaving);
        self.accept_while_nobody_else_does().await;
        self.frontends.set_shutdown_phase(ShutdownPhase::Closing);
        let migration = MigrationControl {
            peers: self.upgrade.peers.clone(),
            switch: &self.upgrade.migration_switch,
            last_choice_at: kill_at - LAST_CHOICE_MARGIN,
        };
        let warn_at = kill_at - WARNING_MARGIN;
        let all_has_ended = async {
            self.frontends.wait_until_closed().await;
            self.dispatcher.wait_until_idle().await;
        };
        tokio::select! {
            () = all_has_ended => {}
            () = migration.run() => {}
            () = warn_of_unfinished_work(&self.dispatcher, warn_at, &self.log) => {}
        }
    }

    /// Accepts connections for the grace period, or until another process is seen that does.
    async fn accept_while_nobody_else_does(&mut self) {
        let grace_ends_at = Instant::now() + LISTEN_GRACE_PERIOD;
        let is_replaced = self.upgrade.peers.wait_for(|peers| peers.serving.is_some());
        if let Ok(Ok(_)) = timeout_at(grace_ends_at, is_replaced).await {
            self.frontends.set_shutdown_phase(ShutdownPhase::Draining);
        }
        sleep_until(grace_ends_at).await;
    }
}

/// Turns the migration of streams on and off as processes come and go that can receive them.
struct MigrationControl<'a> {
    peers: watch::Receiver<PeerProcesses>,
    switch: &'a watch::Sender<bool>,
    /// From here on a process that does not serve receives streams, too.
    last_choice_at: Instant,
}

impl MigrationControl<'_> {
    /// Never returns: a process may come at any time.
    async fn run(mut self) {
        loop {
            let peers = *self.peers.borrow_and_update();
            let is_last_choice = Instant::now() >= self.last_choice_at;
            let has_receiver =
                peers.serving.is_some() || is_last_choice && peers.stream_receiver().is_some();
            self.switch
                .send_if_modified(|is_due| std::mem::replace(is_due, has_receiver) != has_receiver);
            tokio::select! {
                Ok(()) = self.peers.changed() => {}
                () = sleep_until(self.last_choice_at), if !is_last_choice => {}
                else => std::future::pending().await,
            }
        }
    }
}

/// Logs what is still open shortly before the earliest kill; never returns.
async fn warn_of_unfinished_work(dispatcher: &DispatcherHandle, warn_at: Instant, log: &Logger) {
    sleep_until(warn_at).await;
    let open_requests = dispatcher.open_requests();
    if open_requests > 0 {
        warn!(log, "work unfinished before the earliest kill"; "open_requests" => open_requests);
    }
    std::future::pending::<()>().await;
}
