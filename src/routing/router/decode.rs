//! Placing a write: which writers may take a read state, and how long its first token takes there.

use super::latency_model::{odds, Inputs, ENOUGH};
use super::selection::{Choice, LEAST_SPREAD};
use super::tracked_endpoint::{TrackedEndpoint, MEMORY, REQUESTS, TO_READ};
use super::{seconds, Request, Stage, ANSWER_PART, EASY, PACE, WRITE};
use crate::routing::api::*;
use std::collections::BTreeSet;

const MEMORY_SPREAD: f64 = 0.1; // what is known of a writer's memory is off by about this part of it

impl super::Router {
    pub(super) fn writers(
        &self,
        request: &Request,
        reader: Option<&TrackedEndpoint>,
    ) -> Vec<Choice> {
        let cell = reader.map(|reader| reader.entry.cell);
        let far = |it: &TrackedEndpoint| cell.is_some_and(|cell| cell != it.entry.cell);
        let open = self
            .open_writers(request, &cell.into_iter().collect())
            .into_iter();
        open.map(|server| self.writer_choice(request, server, far(server)))
            .collect()
    }

    pub(super) fn open_writers(
        &self,
        request: &Request,
        cells: &BTreeSet<u32>,
    ) -> Vec<&TrackedEndpoint> {
        self.open(
            request,
            Stage::Write,
            self.candidates.writers(&self.look(request), cells),
        )
    }

    pub(super) fn writer_choice(
        &self,
        request: &Request,
        server: &TrackedEndpoint,
        far: bool,
    ) -> Choice {
        let [running, to_fetch, memory] =
            [REQUESTS, TO_READ, MEMORY].map(|of| self.level(server, of));
        let prompt = request.ask.prompt_tokens / 1000.0;
        let inputs = Inputs::new(
            1.0,
            running / 10.0,
            memory,
            prompt * f64::from(far),
            prompt + to_fetch,
        );
        // What its memory can't take waits until running answers end; how full it is, is known in part.
        let (tokens, pace) = (
            self.tokens(&request.ask),
            self.models[PACE].predict(&inputs),
        );
        let over = (memory + server.part_of_memory(request.ask.prompt_tokens + tokens) - 1.0)
            / MEMORY_SPREAD;
        let over = MEMORY_SPREAD * (over.max(0.0) + (-over.abs()).exp().ln_1p());
        let mut choice = self.judge(request, server, WRITE, inputs, over * tokens * pace);
        choice.kept = request.ask.prompt_tokens;
        choice.price += if far {
            self.settings.kv_transfer_cost
        } else {
            0.0
        };
        let aim = seconds(self.settings.classes[request.ask.class].inter_token_objective);
        if aim > 0.0 {
            let warm = server.warm_share(&self.settings, self.now).max(0.05);
            let room = 1.0 - pace / warm / aim;
            choice.headroom = choice.headroom.min(room);
            choice.chance *= odds(room / (2.0 * LEAST_SPREAD));
        }
        choice.price -= choice.chance.min(EASY); // what is late is lost
        if self.models[WRITE].samples < ENOUGH {
            choice.headroom = 1.0 - memory - running / 100.0;
        }
        choice
    }

    pub(super) fn tokens(&self, ask: &RequestMetadata) -> f64 {
        let aim = self.settings.classes[ask.class].inter_token_objective;
        let hint = ask
            .output_time_hint
            .filter(|hint| *hint > 0 && aim > 0)
            .map(|hint| hint as f64 / aim as f64);
        hint.unwrap_or(ask.max_output_tokens * ANSWER_PART)
    }
}
