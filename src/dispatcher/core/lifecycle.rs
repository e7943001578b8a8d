//! The core's lifecycle, and the readiness that load balancers see.
//!
//! The readiness combines the lifecycle state with the state of the endpoints. The core is ready only while at least one
//! endpoint is ready for prefill and one for decode.

use super::Core;
use crate::dispatcher::messages::{DrainSchedule, Readiness};
use crate::routing::api::{self, Time};
use std::cmp::Reverse;

/// The core's lifecycle state. `Draining` is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Clients are not accepted yet.
    Standby,
    /// Clients are accepted.
    Serving,
    /// The process is shutting down; `DrainAdmission` decides whether a request that still arrives is served.
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

    /// Starts the drain.
    pub(super) fn on_drain(&mut self, now: Time, schedule: DrainSchedule) {
        self.lifecycle = Lifecycle::Draining;
        let admission_ends_at = now.saturating_add(schedule.admit_within.as_micros() as Time);
        self.drain_admission.start(admission_ends_at);
        self.timers.push(Reverse(admission_ends_at));
        let deadline = now.saturating_add(schedule.respond_within.as_micros() as Time);
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
