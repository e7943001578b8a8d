//! What a router knows of one server: its load, what waits there, how attempts fared, and how warm it is.

use super::{blend, seconds};
use crate::routing::api::*;
use std::collections::{BTreeMap, VecDeque};

const SICK: f64 = 0.4; // a server is set aside for a class when it failed so much of it of late
const PAUSE_DOUBLINGS: u32 = 3; // its pause is the shortest aim, doubled up to so many times

/// Requests, thousands of tokens to read or fetch, share of the memory: a server's load.
pub(super) type Counts = [f64; 3];
pub(super) const REQUESTS: usize = 0;
pub(super) const TO_READ: usize = 1;
pub(super) const MEMORY: usize = 2;

pub(super) fn add(to: &mut Counts, other: &Counts, sign: f64) {
    to.iter_mut()
        .zip(other)
        .for_each(|(to, other)| *to = (*to + sign * other).max(0.0));
}

/// How attempts of a class fared at a server.
#[derive(Clone, Copy, Default)]
pub(super) struct Health {
    pub(super) failing: f64, // share of recent ones that failed
    pub(super) paused_until: Time,
    pub(super) pauses: u32,
}

#[derive(Default)]
pub(super) struct TrackedEndpoint {
    pub(super) entry: EndpointRecord,
    pub(super) told: [Option<f64>; 3],
    pub(super) told_at: Option<Time>,
    pub(super) own: Counts,
    pub(super) own_then: Counts,
    /// Attempts with neither 'read' nor first token yet: when sent, seconds predicted, class.
    pub(super) waiting: BTreeMap<(RequestId, usize), (Time, f64, usize)>,
    pub(super) begun: Time, // when the last of those was sent that are over
    pub(super) slower: f64, // by what part waits take longer than by the shared model
    pub(super) health: BTreeMap<usize, Health>, // by class
    pub(super) asked_at: Option<Time>, // a probe is out
    pub(super) sent: VecDeque<Time>, // what was sent to it lately, while cold
}

impl TrackedEndpoint {
    /// A server may turn away a class and serve the rest; one not tried fares like the best that was.
    pub(super) fn health(&self, class: usize) -> Health {
        let best = || {
            self.health
                .values()
                .min_by(|a, b| a.failing.total_cmp(&b.failing))
        };
        self.health
            .get(&class)
            .or_else(best)
            .copied()
            .unwrap_or_default()
    }

    pub(super) fn health_mut(&mut self, class: usize) -> &mut Health {
        let presumed = self.health(class);
        self.health.entry(class).or_insert(presumed)
    }

    /// Seconds by which its oldest attempt is late: a stalled server shows before it answers.
    pub(super) fn overdue(&self, now: Time, spread: f64) -> f64 {
        let late = |it: &(Time, f64, usize)| seconds(now.saturating_sub(it.0)) - it.1 - spread;
        self.waiting.values().map(late).fold(0.0, f64::max)
    }

    pub(super) fn part_of_memory(&self, tokens: f64) -> f64 {
        Some(self.entry.kv_capacity_tokens)
            .filter(|told| *told > 0.0)
            .map_or(0.0, |memory| tokens / memory)
    }

    pub(super) fn warm_share(&self, settings: &RoutingSettings, now: Time) -> f64 {
        1.0 - (1.0 - settings.slow_start_initial_share) * (1.0 - self.age(settings, now))
    }

    /// Time since its start as part of that in which it is warm, up to 1.
    pub(super) fn age(&self, settings: &RoutingSettings, now: Time) -> f64 {
        let age = self
            .entry
            .started_at
            .map_or(Time::MAX, |started| now.saturating_sub(started));
        (age as f64 / settings.slow_start_duration.max(1) as f64).min(1.0)
    }
}

impl super::Router {
    /// Too many failures, one in a trial, or one of a dead server set it aside: for a class, or else for all.
    pub(super) fn blame(&mut self, id: EndpointId, class: Option<usize>, at_once: bool) {
        let (now, pause) = (self.now, self.pause);
        for class in class.map_or(0..self.settings.classes.len(), |class| class..class + 1) {
            let Some(server) = self.servers.get_mut(&id) else {
                return;
            };
            let health = server.health_mut(class);
            blend(&mut health.failing, 1.0);
            if (at_once || health.failing > SICK || health.pauses > 0) && now >= health.paused_until
            {
                health.paused_until = now + (pause << health.pauses.min(PAUSE_DOUBLINGS));
                health.pauses += 1;
            }
        }
    }
}
