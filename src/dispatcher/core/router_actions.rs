//! The link between core and router: passes events to the router and executes its actions.
//!
//! The router only decides. Actions that would break a protocol rule are rejected where they are executed.

use super::Core;
use crate::dispatcher::messages::{Command, Outcome};
use crate::dispatcher::reasons::CloseReason;
use crate::routing::api::{self, Action, FailureReason, RequestId, Time};
use crate::variants::{is_enabled, Variant};
use std::cmp::Reverse;
use std::time::Duration;

impl Core {
    /// Passes one event to the router and executes the resulting actions in order.
    pub(super) fn drive_router(&mut self, now: Time, event: api::Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            self.execute_action(now, action);
        }
    }

    fn execute_action(&mut self, now: Time, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
            } => self.start_attempt(now, id, endpoint, timeout),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(id, attempt),
            Action::Shed {
                id,
                retry_after,
                reason,
            } => self.shed_request(now, id, reason, Duration::from_micros(retry_after)),
            Action::Fail { id, reason } => self.fail_request(now, id, reason),
            Action::ReleaseReservation { id } => self.abandon_reservation(now, id),
            Action::SetTimer { at } => self.timers.push(Reverse(at)),
            Action::Probe { endpoint } => self.probe_endpoint(endpoint),
            // Nothing to do: discovery watches the endpoint list all the time.
            Action::WatchEndpoints => {}
        }
    }

    fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        // The attempt whose stream the client receives is not cancelled.
        if request.stream() != Some(attempt) && request.is_in_flight(attempt) {
            self.commands.push(Command::CancelAttempt { id, attempt });
        }
    }

    fn fail_request(&mut self, now: Time, id: RequestId, reason: FailureReason) {
        let outcome = if is_enabled(Variant::Duplicate) {
            Outcome::Shed {
                retry_after: Duration::ZERO,
            }
        } else {
            Outcome::Failed
        };
        self.close_request(now, id, CloseReason::Failed(reason), outcome);
        self.release_or_remove(now, id);
    }

    fn abandon_reservation(&mut self, now: Time, id: RequestId) {
        if let Some(request) = self.requests.get_mut(id) {
            request.reservation.mark_unneeded(now);
        }
        self.release_or_remove(now, id);
    }
}
