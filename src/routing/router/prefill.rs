//! Placing a read: which readers may take a prompt, what they are presumed to keep, and what comes after.

use super::latency_model::{Inputs, ENOUGH};
use super::selection::{Choice, EXPLORE};
use super::tracked_endpoint::{TrackedEndpoint, MEMORY, REQUESTS, TO_READ};
use super::{Request, Stage, EASY, FIT, READ};
use crate::routing::api::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

const WARM_MATCH: f64 = 0.80; // a warm reader has kept more than this part of the prompt
const SOME_MATCH: f64 = 0.1; // where none is over that part, the best match counts from here on
const TRAILING: f64 = 0.25; // the filter opens when the best warm trails the best by this part of the aim
const MARGIN: f64 = 0.15; // part of the aim that readers leave for what the models get wrong together
pub(super) const HOME_MATCH: f64 = 0.85; // part of a prompt that a session's home is first presumed to keep

impl super::Router {
    /// The warm filter with its explore share and its load gate, which opens only towards a reader that fits
    /// well: in a jam, reading texts anew elsewhere would feed the jam.
    pub(super) fn warm_only(&mut self, mut choices: Vec<Choice>, request: &Request) -> Vec<Choice> {
        let sooner = |a: &&Choice, b: &&Choice| a.predicted.total_cmp(&b.predicted);
        // After a flush no reader keeps enough of a prompt: taken for equal, each would read it anew.
        let most = choices
            .iter()
            .map(|choice| choice.matched)
            .fold(0.0, f64::max);
        let least = WARM_MATCH
            * if (SOME_MATCH..WARM_MATCH).contains(&most) {
                most
            } else {
                1.0
            };
        let warm = choices
            .iter()
            .filter(|choice| choice.matched > least)
            .min_by(sooner);
        let (gap, best) = (
            TRAILING * request.aim,
            warm.zip(choices.iter().min_by(sooner)),
        );
        let stays =
            best.is_some_and(|it| it.0.predicted <= it.1.predicted + gap || it.1.chance < EASY);
        if self.rng.gen::<f64>() >= EXPLORE && stays {
            choices.retain(|choice| choice.matched > least);
        }
        choices
    }

    pub(super) fn readers(&self, request: &Request) -> Vec<Choice> {
        let look = self.look(request);
        let mut likely = self.prefixes.holders(&request.ask, look.seed);
        likely.extend(request.homes.keys());
        let open = self.open(request, Stage::Read, self.candidates.readers(&look, likely));
        let reads = |it: &&&TrackedEndpoint| it.entry.role == Role::Prefill;
        let later = self.best_writers(
            request,
            open.iter().filter(reads).map(|it| it.entry.cell).collect(),
        );
        let choice = |it: &TrackedEndpoint| {
            let after = later
                .get(&it.entry.cell)
                .filter(|_| reads(&&it))
                .copied()
                .unwrap_or((0.0, 1.0));
            let home = request
                .homes
                .get(&it.entry.endpoint)
                .copied()
                .unwrap_or(0.0);
            self.reader_choice(request, it, home, after)
        };
        open.into_iter().map(choice).collect()
    }

    /// The best writer after a reader of each cell: seconds to the first token there, and its chance.
    pub(super) fn best_writers(
        &self,
        request: &Request,
        cells: BTreeSet<u32>,
    ) -> BTreeMap<u32, (f64, f64)> {
        let writers = self.open_writers(request, &cells);
        let told = |at: usize, far| {
            let choice = self.writer_choice(request, writers[at], far);
            (choice.chance, at, choice.predicted)
        };
        let better =
            |a: &(f64, usize, f64), b: &(f64, usize, f64)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let mut far: Vec<_> = (0..writers.len()).map(|at| told(at, true)).collect();
        far.sort_by(|a, b| better(b, a));
        let mut near: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        writers
            .iter()
            .enumerate()
            .for_each(|(at, it)| near.entry(it.entry.cell).or_default().push(at));
        let best = |cell: u32| {
            let far = far
                .iter()
                .find(|it| writers[it.1].entry.cell != cell)
                .copied();
            let near = near
                .get(&cell)
                .into_iter()
                .flatten()
                .map(|at| told(*at, false));
            near.chain(far)
                .max_by(better)
                .map_or((0.0, FIT), |best| (best.2, best.0))
        };
        cells.iter().map(|cell| (*cell, best(*cell))).collect()
    }

    /// Tokens that readers are presumed to keep of a prompt, where the table can't know.
    pub(super) fn homes(&self, request: &Request) -> BTreeMap<EndpointId, f64> {
        let ask = &request.ask;
        let share = self.prefixes.traffic_share(ask);
        let warm = |it| {
            self.servers
                .get(&it)
                .map_or(0.0, |it| it.warm_share(&self.settings, self.now))
        };
        let (shared, own) = self.candidates.prefix_affinity(
            &self.look(request),
            ask.prefix,
            ask.session,
            share,
            warm,
        );
        let whole = (self.home_match[ask.class] * ask.prompt_tokens).max(ask.prefix_tokens);
        let shared = shared.into_iter().map(|it| (it, ask.prefix_tokens));
        shared
            .chain(own.map(|it| (it, whole)))
            .filter(|(_, tokens)| *tokens > 0.0)
            .collect()
    }

    pub(super) fn reader_choice(
        &self,
        request: &Request,
        server: &TrackedEndpoint,
        home: f64,
        after: (f64, f64),
    ) -> Choice {
        let kept = self
            .prefixes
            .cached_tokens(&request.ask, server.entry.endpoint)
            .max(home.min(request.ask.prompt_tokens));
        let matched = kept / request.ask.prompt_tokens.max(1.0);
        let [running, to_read, memory] =
            [REQUESTS, TO_READ, MEMORY].map(|of| self.level(server, of));
        let inputs = Inputs::new(
            1.0,
            memory,
            (request.ask.prompt_tokens - kept) / 1000.0,
            running / 10.0,
            to_read,
        );
        let judged = self.judge(
            request,
            server,
            READ,
            inputs,
            after.0 + MARGIN * request.aim,
        );
        let chance = judged.chance * (after.1 / FIT).min(1.0);
        let mut choice = Choice {
            kept,
            matched,
            chance,
            ..judged
        };
        if self.models[READ].samples < ENOUGH {
            choice.headroom = 1.0 + matched - memory - (running + to_read) / 10.0;
        }
        choice
    }
}
