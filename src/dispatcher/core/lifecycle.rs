//! The core's lifecycle, and the readiness that load balancers see.
//!
//! The readiness combines the lifecycle state with the state of the endpoints. The core is ready only while at least one
//! endpoint is ready for prefill and one for decode.

use super::Core;
use crate::dispatcher::messages::Readiness;
use crate::routing::api::{self, Time};
use std::time::Duration;

/// The core's lifecycle state. `Draining` is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Clients are not accepted yet.
    Standby,
    /// Clients are accepted.
    Serving,
    /// The process is shutting down; requests that still arrive are served.
    Draining,
}

impl Lifecycle {
    /// Changes `Standby` to `Serving`; has no effect while draining.
    pub(super) fn accept_clients(&mut self) {
        if *self == Lifecycle::Standby {
            *self = Lifecycle::Serving;
        }
    }
}

impl Core {
    /// Holds readiness back until [`Event::AcceptClients`](crate::dispatcher::Event::AcceptClients); has no effect while
    /// draining.
    pub fn start_in_standby(&mut self) {
        if self.lifecycle == Lifecycle::Serving {
            self.lifecycle = Lifecycle::Standby;
        }
    }

    /// Starts the drain. Every request without a stream gets its final outcome within `grace`.
    pub(super) fn on_drain(&mut self, now: Time, grace: Duration) {
        self.lifecycle = Lifecycle::Draining;
        let deadline = now.saturating_add(grace.as_micros() as Time);
        self.drive_router(now, api::Event::ShutdownDeadline(deadline));
    }

    /// Returns the state that load balancers see.
    pub fn readiness(&self) -> Readiness {
        let can_serve = self.endpoints.can_prefill() && self.endpoints.can_decode();
        match self.lifecycle {
            Lifecycle::Draining => Readiness::Draining,
            _ if !can_serve => Readiness::Starting,
            Lifecycle::Standby => Readiness::Standby,
            Lifecycle::Serving => Readiness::Ready,
        }
    }

    /// Logs a change of the published readiness.
    pub(in crate::dispatcher) fn log_readiness(&self, readiness: Readiness) {
        self.report.log_readiness(readiness);
    }
}
