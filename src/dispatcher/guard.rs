//! The one place that every send, refusal and start of a stream passes. It is told what is known of the request and of the
//! server, and says which rule forbids the step, whatever the decision module wants. Pure: no I/O, no clock.

use super::request::{Attempt, Request};
use super::reservation::CLOSE_ARRIVES;
use super::rules::Rule;
use crate::routing::api::{
    DeduplicationScope, EndpointId, EndpointStatus, Idempotency, Role, RoutingSettings, Time,
};

/// What the rules ask of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointTarget {
    pub role: Role,
    pub zone: u32,
    pub cell: u32,
    pub state: EndpointStatus,
}

/// What steps are checked against: the settings that hold, and the servers by number.
pub(super) struct Guard<'a, F: Fn(EndpointId) -> Option<EndpointTarget>> {
    pub settings: &'a RoutingSettings,
    pub target: F,
    pub now: Time,
}

impl<F: Fn(EndpointId) -> Option<EndpointTarget>> Guard<'_, F> {
    /// Whether one more attempt may go to a server; a retry and a hedged request are such as any other.
    pub fn check_send(
        &self,
        request: &Request,
        server: EndpointId,
    ) -> Result<EndpointTarget, Rule> {
        if !request.is_waiting() || self.now >= request.deadline {
            return Err(Rule::RequestOver);
        }
        let target = (self.target)(server)
            .filter(|it| it.state == EndpointStatus::Ready)
            .ok_or(Rule::Drain)?;
        let is_hedge = request.has_attempt_out();
        if request.attempts.len() as u32 >= self.settings.max_attempts.max(1)
            || is_hedge && !self.settings.hedging_allowed
        {
            return Err(Rule::Attempts);
        }
        match request
            .attempts
            .iter()
            .all(|attempt| self.may_repeat(request, attempt, Some(&target)))
        {
            true => Ok(target),
            false => Err(Rule::Duplicate),
        }
    }

    /// Whether it may be said that trying again is harmless.
    pub fn check_refusal(&self, request: &Request) -> Result<(), Rule> {
        match request
            .attempts
            .iter()
            .all(|attempt| self.may_repeat(request, attempt, None))
        {
            true => Ok(()),
            false => Err(Rule::Duplicate),
        }
    }

    /// Whether any number of copies of a request may run.
    pub fn is_safe(&self, request: &Request) -> bool {
        self.settings
            .classes
            .get(request.class)
            .is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    /// Whether an attempt was given up so short a time ago that its server may not have seen the close yet: to that server it
    /// is still out.
    pub fn was_given_up_just_now(&self, request: &Request) -> bool {
        let just_now = |attempt: &Attempt| {
            let given_up = attempt.ended.is_some_and(|reason| reason.is_given_up());
            given_up && self.now < attempt.ended_at.saturating_add(CLOSE_ARRIVES)
        };
        request.attempts.iter().any(just_now)
    }

    /// Whether an attempt's stream may go to the client.
    pub fn check_stream(&self, request: &Request, attempt: u32) -> Result<(), Rule> {
        match request.is_waiting() && request.is_out(attempt) {
            true => Ok(()),
            false => Err(Rule::RequestOver),
        }
    }

    /// Whether the request may run once more, at a server or wherever its client sends it, for all that this attempt did.
    fn may_repeat(
        &self,
        request: &Request,
        attempt: &Attempt,
        at: Option<&EndpointTarget>,
    ) -> bool {
        let was = attempt.target;
        let reads = was.is_some_and(|was| was.role == Role::Prefill);
        // However an attempt at a reader ends, it has had no effect; while it is out, nothing is known.
        let is_harmless = attempt
            .ended
            .is_some_and(|reason| reads || reason.never_ran());
        let effect = self
            .settings
            .classes
            .get(request.class)
            .map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let is_within = |window: Time| self.now < attempt.sent.saturating_add(window);
        is_harmless
            || match effect {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::AllEndpoints,
                    window,
                } => is_within(window),
                Idempotency::IdempotencyKey {
                    scope: group,
                    window,
                } => {
                    let same = |was: EndpointTarget, here: &EndpointTarget| match group {
                        DeduplicationScope::Zone => was.zone == here.zone,
                        _ => was.cell == here.cell,
                    };
                    is_within(window) && was.zip(at).is_some_and(|(was, here)| same(was, here))
                }
            }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/guard.rs"]
mod tests;
