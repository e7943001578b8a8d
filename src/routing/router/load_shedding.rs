//! Refusals: what is given up unread under load, and what may still be refused or repeated after an attempt.

use super::latency_model::{ENOUGH, FORGET};
use super::selection::Choice;
use super::tracked_endpoint::TrackedEndpoint;
use super::{Attempt, Request, Stage, FIT, READ, TOKENS, WRITE};
use crate::routing::api::*;

const ABOVE_USUAL: f64 = 0.1; // load is above usual when the least wait is by this part of the aim
const HOPELESS: f64 = 0.4; // in overload nothing with a lower chance is worth reading

impl super::Router {
    /// Nothing fits and load is above usual, by the best reader's time: the lowest worth is refused unread,
    /// and all that is hopeless.
    pub(super) fn refuses(&mut self, request: &Request, choices: &[Choice]) -> bool {
        let chance = choices
            .iter()
            .map(|choice| choice.chance)
            .fold(0.0, f64::max);
        let reading = self.models[READ].weights[TOKENS].max(0.0);
        let waits = choices
            .iter()
            .map(|choice| choice.predicted - reading * choice.inputs[TOKENS]);
        let wait = waits.fold(f64::MAX, f64::min);
        if self.models[WRITE].samples < ENOUGH || !request.attempts.is_empty() || choices.is_empty()
        {
            return false;
        }
        if chance >= FIT {
            self.usual += (1.0 - FORGET) * (wait - self.usual);
            return false;
        }
        let open = self.settings.classes.iter().filter(|class| class.is_active);
        let lowest = open
            .map(|class| class.priority_weight)
            .fold(f64::MAX, f64::min);
        wait > self.usual + ABOVE_USUAL * request.aim
            && (request.worth <= lowest || chance < HOPELESS)
    }

    pub(super) fn over_share(&mut self, tenant: Option<usize>) -> bool {
        let quota = tenant.and_then(|tenant| self.quotas.get_mut(tenant));
        quota.is_some_and(|quota| quota.is_exceeded(self.now))
    }

    /// The final answer, where none was given: a refusal where that is true, else a failure.
    pub(super) fn end(&mut self, request: &mut Request, why: FailureReason) {
        self.cancel_all(request, |_| true);
        let (id, retry_after) = (
            request.ask.id,
            self.pause.min(self.settings.max_retry_after),
        );
        let refuse = Action::Shed {
            id,
            retry_after,
            reason: why,
        };
        let _ = self.act(request, refuse) || self.act(request, Action::Fail { id, reason: why });
    }

    /// Unsafe: only when nothing ran. Keyed: only where and as long as repeats are dropped.
    pub(super) fn effect_allows(
        &self,
        request: &Request,
        server: &TrackedEndpoint,
        stage: Stage,
    ) -> bool {
        let safe =
            self.settings.classes[request.ask.class].idempotency != Idempotency::NonIdempotent;
        stage == Stage::Read && safe || self.may_repeat(request, Some(&server.entry))
    }

    /// Whether the request may run once more at a server, or anywhere, whatever has run by now.
    pub(super) fn may_repeat(&self, request: &Request, here: Option<&EndpointRecord>) -> bool {
        let effect = self.settings.classes[request.ask.class].idempotency;
        let may = |it: &Attempt| match (effect, self.servers.get(&it.choice.server).zip(here)) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::IdempotencyKey { window, .. }, _) if self.now >= it.sent + window => {
                false
            }
            (
                Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::AllEndpoints,
                    ..
                },
                _,
            ) => true,
            (
                Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::Zone,
                    ..
                },
                Some((it, here)),
            ) => it.entry.zone == here.zone,
            (
                Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::Cell,
                    ..
                },
                Some((it, here)),
            ) => it.entry.cell == here.cell,
            _ => false,
        };
        request.attempts.iter().all(|it| it.harmless || may(it))
    }
}
