//! The phases of the core's life, and the readiness that load balancers see.

use super::Core;
use crate::dispatcher::messages::Readiness;
use crate::routing::api::{self, Time};
use std::time::Duration;

/// Where the core stands. It never leaves `Draining`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Clients are not accepted yet.
    Standby,
    /// Clients are accepted.
    Serving,
    /// The process shuts down; requests that still arrive are served.
    Draining,
}

impl Lifecycle {
    /// Ends the standby; while draining nothing changes.
    pub(super) fn accept_clients(&mut self) {
        if *self == Lifecycle::Standby {
            *self = Lifecycle::Serving;
        }
    }
}

impl Core {
    /// Is not ready until it receives [`Event::AcceptClients`](crate::dispatcher::Event::AcceptClients).
    pub fn start_in_standby(&mut self) {
        if self.lifecycle == Lifecycle::Serving {
            self.lifecycle = Lifecycle::Standby;
        }
    }

    pub(super) fn on_drain(&mut self, now: Time, grace: Duration) {
        self.lifecycle = Lifecycle::Draining;
        let deadline = now.saturating_add(grace.as_micros() as Time);
        self.drive_router(now, api::Event::ShutdownDeadline(deadline));
    }

    /// The state that load balancers see.
    pub fn readiness(&self) -> Readiness {
        let can_serve = self.endpoints.can_prefill() && self.endpoints.can_decode();
        match self.lifecycle {
            Lifecycle::Draining => Readiness::Draining,
            _ if !can_serve => Readiness::Starting,
            Lifecycle::Standby => Readiness::Standby,
            Lifecycle::Serving => Readiness::Ready,
        }
    }

    /// Logs that the published readiness has changed.
    pub(in crate::dispatcher) fn log_readiness(&self, readiness: Readiness) {
        self.report.log_readiness(readiness);
    }
}
