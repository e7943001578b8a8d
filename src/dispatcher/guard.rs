//! Checks each attempt, each shed and each start of a stream against the protocol rules, whatever the router decides.
//!
//! A [`Guard`] inspects the request and the endpoint, and returns the rule that forbids the step. It does no I/O, reads no
//! clock and keeps no state; the core creates one for each check.

use super::endpoint_target::EndpointTarget;
use super::reasons::EndReason;
use super::request::{Attempt, Request};
use super::reservation::MAX_CLOSE_DELAY;
use super::rules::Rule;
use crate::routing::api::{
    DeduplicationScope, EndpointId, EndpointStatus, Idempotency, Role, RoutingSettings, Time,
};

/// The state that a step is checked against: the settings in force, the endpoints, and the time.
pub(super) struct Guard<'a, F: Fn(EndpointId) -> Option<EndpointTarget>> {
    pub settings: &'a RoutingSettings,
    /// Returns the current properties of an endpoint; `None` if it is not in the endpoint table.
    pub target_of: F,
    /// Unix time in microseconds.
    pub now: Time,
}

impl<F: Fn(EndpointId) -> Option<EndpointTarget>> Guard<'_, F> {
    /// Checks whether one more attempt may be sent to an endpoint. The same rules hold for first attempts, retries and hedged
    /// requests.
    pub(super) fn check_attempt(
        &self,
        request: &Request,
        endpoint: EndpointId,
    ) -> Result<EndpointTarget, Rule> {
        if !request.is_waiting() || self.now >= request.deadline {
            return Err(Rule::RequestOver);
        }
        let target = (self.target_of)(endpoint)
            .filter(|target| target.status == EndpointStatus::Ready)
            .ok_or(Rule::Drain)?;
        let is_hedge = request.has_attempt_in_flight();
        let max_attempts = self.settings.max_attempts.max(1);
        if request.attempts.len() as u32 >= max_attempts
            || is_hedge && !self.settings.hedging_allowed
        {
            return Err(Rule::Attempts);
        }
        self.check_repeat(request, Some(&target))?;
        Ok(target)
    }

    /// Checks whether the client may be told that it can safely retry.
    pub(super) fn check_shed(&self, request: &Request) -> Result<(), Rule> {
        self.check_repeat(request, None)
    }

    /// Returns whether an attempt was abandoned so recently that it may still run: its endpoint may not have seen the close of
    /// the connection yet. Always false for a request of an idempotent class.
    pub(super) fn may_still_run(&self, request: &Request) -> bool {
        let was_abandoned_recently = |attempt: &Attempt| {
            let is_abandoned = attempt.end_reason.is_some_and(EndReason::is_abandoned);
            is_abandoned && self.now < attempt.ended_at.saturating_add(MAX_CLOSE_DELAY)
        };
        self.idempotency_of(request) != Idempotency::Idempotent
            && request.attempts.iter().any(was_abandoned_recently)
    }

    /// Checks whether an attempt's stream may go to the client.
    pub(super) fn check_stream(&self, request: &Request, attempt: u32) -> Result<(), Rule> {
        if request.is_waiting() && request.is_in_flight(attempt) {
            Ok(())
        } else {
            Err(Rule::RequestOver)
        }
    }

    /// Returns the idempotency of a request's class. An unknown class counts as non-idempotent.
    fn idempotency_of(&self, request: &Request) -> Idempotency {
        self.settings
            .classes
            .get(request.class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    /// Checks whether the request may run once more, considering each of its attempts. `target` is the endpoint of the next
    /// run; `None` if the client retries, which may reach any endpoint.
    fn check_repeat(&self, request: &Request, target: Option<&EndpointTarget>) -> Result<(), Rule> {
        let may_repeat = request
            .attempts
            .iter()
            .all(|attempt| self.may_repeat_after(request, attempt, target));
        if may_repeat {
            Ok(())
        } else {
            Err(Rule::Duplicate)
        }
    }

    /// Returns whether another run is harmless after this attempt.
    fn may_repeat_after(
        &self,
        request: &Request,
        attempt: &Attempt,
        target: Option<&EndpointTarget>,
    ) -> bool {
        let previous = attempt.target;
        let is_prefill = previous.is_some_and(|previous| previous.role == Role::Prefill);
        // An attempt at a prefill endpoint has no effect, however it ended. While it is in flight, nothing is known.
        let is_harmless = attempt
            .end_reason
            .is_some_and(|reason| is_prefill || reason.never_ran());
        if is_harmless {
            return true;
        }
        match self.idempotency_of(request) {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope, window } => {
                let is_in_window = self.now < attempt.started_at.saturating_add(window);
                is_in_window && is_in_scope(scope, previous, target)
            }
        }
    }
}

/// Returns whether the endpoints of an earlier attempt and of the next one drop each other's duplicates. `None` stands for
/// an endpoint that is not known; only a scope of all endpoints includes it.
fn is_in_scope(
    scope: DeduplicationScope,
    previous: Option<EndpointTarget>,
    next: Option<&EndpointTarget>,
) -> bool {
    if scope == DeduplicationScope::AllEndpoints {
        return true;
    }
    let (Some(previous), Some(next)) = (previous, next) else {
        return false;
    };
    if scope == DeduplicationScope::Zone {
        previous.zone == next.zone
    } else {
        previous.cell == next.cell
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/guard.rs"]
mod tests;
