//! The life of the process once all its tasks run: it accepts clients, until a signal ends it in good order.

use super::frontends::Frontends;
use super::signals::TerminationSignals;
use super::takeover;
use super::tasks::UpgradeChannels;
use crate::dispatcher::{DispatcherHandle, Event};
use crate::frontend::ShutdownPhase;
use crate::upgrade::resource_shares::ProcessState;
use slog::{info, Logger};
use std::pin::pin;
use std::time::Duration;

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
        let has_successor = self.upgrade.peers.borrow_and_update().successor.is_some();
        info!(self.log, "draining"; "open_requests" => self.dispatcher.open_requests(), "has_successor" => has_successor);
        let max_deadline = Duration::from_micros(self.dispatcher.deployment().bounds.max_deadline);
        let until_kill = max_deadline.min(MAX_DRAIN_DURATION) + KILL_MARGIN;
        let drain = Event::Drain(until_kill - RELEASE_MARGIN);
        self.dispatcher.send(drain).await;
        let _ = self.upgrade.process_state.send(ProcessState::Leaving);
        if has_successor {
            self.frontends.set_shutdown_phase(ShutdownPhase::Draining);
        }
        tokio::time::sleep(LISTEN_GRACE_PERIOD).await;
        self.frontends.set_shutdown_phase(ShutdownPhase::Closing);
        let _ = self.upgrade.migration_switch.send(has_successor);
        self.frontends.wait_until_closed().await;
        self.dispatcher.wait_until_idle().await;
    }
}
