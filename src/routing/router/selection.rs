//! The choice of a server: the candidates that may be sent to, how each is judged, and the weighted draw.

use super::latency_model::{odds, Inputs};
use super::tracked_endpoint::TrackedEndpoint;
use super::{seconds, Attempt, Request, Stage, FIT};
use crate::routing::api::*;
use crate::routing::candidate_index::{CandidateQuery, Side};
use rand::distributions::{Distribution, WeightedIndex};
use rand::Rng;

pub(super) const EXPLORE: f64 = 0.02; // share that ignores the warm filter, or tries the failing tier
pub(super) const LEAST_SPREAD: f64 = 0.05; // least spread of a prediction, as part of the aim
const STALE: f64 = 1.5; // seconds in which a report loses half of its weight against own counts
const EVENNESS: f64 = 0.15; // weight of the fleet's usual load against own counts that see all of it
const HEADROOM_SCALE: f64 = 0.15; // headroom (part of the aim) that makes a draw e times as likely
const PRICE_SCALE: f64 = 0.007; // price (part of the worth) that makes it e times less likely

#[derive(Default)]
pub(super) struct Choice {
    pub(super) server: EndpointId,
    pub(super) inputs: Inputs,
    pub(super) predicted: f64,
    pub(super) kept: f64,
    pub(super) matched: f64,
    pub(super) headroom: f64,
    pub(super) chance: f64,
    pub(super) price: f64,
}

impl Choice {
    /// Logarithm of its weight in a draw.
    pub(super) fn weight(&self) -> f64 {
        self.headroom / HEADROOM_SCALE - self.price / PRICE_SCALE
    }
}

impl super::Router {
    pub(super) fn choices(&self, request: &Request) -> Vec<Choice> {
        let reader = request.state_at.map(|reader| self.servers.get(&reader));
        reader.map_or_else(
            || self.readers(request),
            |reader| self.writers(request, reader),
        )
    }

    pub(super) fn looks_at_all(&self, request: &Request) -> bool {
        self.candidates
            .covers_all(Side::of(request.state_at.is_some()), &self.look(request))
    }

    /// Chance and headroom of a server: the shared model, its own correction, and what is overdue there.
    pub(super) fn judge(
        &self,
        request: &Request,
        server: &TrackedEndpoint,
        side: usize,
        inputs: Inputs,
        later: f64,
    ) -> Choice {
        let model = &self.models[side];
        let base = model.predict(&inputs);
        let slow = (1.0 + server.slower) / server.warm_share(&self.settings, self.now).max(0.05);
        let corrected = ((base + model.spread) * slow - model.spread).max(0.1 * base);
        let overdue = server.overdue(self.now, 2.0 * model.spread);
        let left = seconds(request.aim_at) - seconds(self.now) - later - corrected - overdue;
        // How long a stall still lasts is unknown: a state that waits goes elsewhere before it is hopeless.
        let spread = model.spread.max(LEAST_SPREAD * request.aim)
            + request.state_at.map_or(0.0, |_| overdue);
        Choice {
            server: server.entry.endpoint,
            inputs,
            predicted: corrected + overdue,
            headroom: left / request.aim,
            chance: odds(left / spread) * (1.0 - server.health(request.ask.class).failing),
            price: if server.entry.zone == self.settings.zone {
                0.0
            } else {
                self.settings.cross_zone_cost
            },
            ..Choice::default()
        }
    }

    /// A reported level carried on by own counts. As it ages, what is usual in the fleet replaces it, with
    /// own counts added for as much as they tell: little where this router is one of hundreds.
    pub(super) fn level(&self, server: &TrackedEndpoint, of: usize) -> f64 {
        let own = server.own[of];
        let usual = self.usual_load[usize::from(server.entry.role == Role::Prefill)][of];
        let guess = ((EVENNESS * usual + own) / (EVENNESS + 1.0 / self.share)).max(own);
        let (Some(told), Some(at)) = (server.told[of], server.told_at) else {
            return guess;
        };
        let trust = 0.5f64.powf(seconds(self.now.saturating_sub(at)) / STALE);
        (trust * (told + own - server.own_then[of]) + (1.0 - trust) * guess).max(own)
    }

    pub(super) fn look(&self, request: &Request) -> CandidateQuery {
        CandidateQuery {
            zone: self.settings.zone,
            seed: request.ask.id ^ self.salt,
            widened: request.widened,
        }
    }

    /// Those of these that may be sent this request now: well before set aside or on trial, new before tried.
    pub(super) fn open(
        &self,
        request: &Request,
        stage: Stage,
        servers: Vec<EndpointId>,
    ) -> Vec<&TrackedEndpoint> {
        let servers = servers.iter().filter_map(|it| self.servers.get(it));
        let allowed: Vec<_> = servers
            .filter(|server| self.may_send(request, server, stage))
            .collect();
        let last = |server: &&TrackedEndpoint| {
            let silent = server
                .asked_at
                .is_some_and(|at| at + self.asking(request) <= self.now);
            let tried =
                |it: &Attempt| it.choice.server == server.entry.endpoint && it.stage == stage;
            let health = server.health(request.ask.class);
            let on_trial =
                health.pauses > 0 && server.waiting.values().any(|it| it.2 == request.ask.class);
            (
                self.now < health.paused_until || on_trial || silent,
                request.attempts.iter().any(tried),
            )
        };
        let best = allowed.iter().map(last).min();
        allowed
            .into_iter()
            .filter(|server| Some(last(server)) == best)
            .collect()
    }

    /// Headroom tiers and the weighted draw. Most headroom is favoured: least, the default of the design at
    /// readers, piles work on the one nearest to its limit until readers jam.
    pub(super) fn draw(&mut self, mut choices: Vec<Choice>) -> Option<Choice> {
        let fitting = choices.iter().filter(|choice| choice.chance >= FIT).count();
        let fits = fitting > 0 && (fitting == choices.len() || self.rng.gen::<f64>() >= EXPLORE);
        choices.retain(|choice| (choice.chance >= FIT) == fits);
        let top = choices.iter().map(Choice::weight).fold(f64::MIN, f64::max);
        let weights: Vec<f64> = choices
            .iter()
            .map(|choice| (choice.weight() - top).exp())
            .collect();
        let at = WeightedIndex::new(weights).ok()?.sample(&mut self.rng);
        choices.into_iter().nth(at)
    }
}
