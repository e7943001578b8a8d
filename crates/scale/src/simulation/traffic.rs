//! The simulated requests: turns of conversations, whose prompts begin with one of a few shared prefixes.

use super::attempts::SimulatedRequest;
use super::replica::OUTPUT_SHARE;
use super::{Simulation, Step, SECOND};
use quartzhall::routing::api::{Event, RequestId, RequestMetadata, Time};
use rand::Rng;

/// Number of prefixes that prompts can begin with.
const SHARED_PREFIX_COUNT: u64 = 400;
/// Length of each shared prefix, in tokens.
const PREFIX_TOKENS: f64 = 1_000.0;
/// Probability that a request continues a conversation of its router.
const CONTINUATION_PROBABILITY: f64 = 0.6;
/// Conversations that a router retains for later requests.
const MAX_RETAINED_CONVERSATIONS: usize = 200;
/// Probability that a request is of the second class.
const SECOND_CLASS_PROBABILITY: f64 = 0.3;
/// Time that each request has left until its deadline when it arrives.
const REQUEST_TIME_LEFT: Time = 6 * SECOND;

/// A conversation that later requests can continue.
pub(super) struct Conversation {
    session: u64,
    prefix: u64,
    tokens: f64, // length of its prompt and output so far
}

impl Simulation {
    /// Draws the time to the next arrival at a router, exponentially distributed.
    pub(super) fn draw_arrival_gap(&mut self) -> Time {
        let uniform: f64 = self.rng.gen_range(1e-9..1.0);
        (-uniform.ln() / self.options.rate_per_router * 1e6) as Time
    }

    /// Draws the conversation of a request: one that the router has retained, which is removed, or a new one.
    fn draw_conversation(&mut self, router: usize) -> Conversation {
        let is_continued =
            self.rng.gen_bool(CONTINUATION_PROBABILITY) && !self.conversations[router].is_empty();
        if is_continued {
            let index = self.rng.gen_range(0..self.conversations[router].len());
            return self.conversations[router].swap_remove(index);
        }
        // The square of a uniform draw makes a few prefixes common and most of them rare.
        let uniform: f64 = self.rng.gen();
        let prefix = (uniform * uniform * SHARED_PREFIX_COUNT as f64) as u64;
        Conversation {
            session: self.rng.gen(),
            prefix: 1 + prefix,
            tokens: PREFIX_TOKENS,
        }
    }

    /// Draws a request and passes it to a router.
    pub(super) fn on_arrival(&mut self, router: usize) {
        let id = self.result.arrivals as RequestId + 1;
        self.result.arrivals += 1;
        let conversation = self.draw_conversation(router);
        let prompt_tokens = conversation.tokens + f64::from(self.rng.gen_range(50..600_u32));
        let max_output_tokens = f64::from(self.rng.gen_range(100..1000_u32));
        let class = usize::from(self.rng.gen_bool(SECOND_CLASS_PROBABILITY));
        let metadata = RequestMetadata {
            id,
            class,
            session: Some(conversation.session),
            prefix: Some(conversation.prefix),
            time_left: REQUEST_TIME_LEFT,
            prompt_tokens,
            prefix_tokens: PREFIX_TOKENS,
            max_output_tokens,
            ..RequestMetadata::default()
        };
        if self.conversations[router].len() < MAX_RETAINED_CONVERSATIONS {
            self.conversations[router].push(Conversation {
                tokens: prompt_tokens + max_output_tokens * OUTPUT_SHARE,
                ..conversation
            });
        }
        let class = &self.settings.classes[class];
        let ttft_objective = class.ttft_objective
            + (class.ttft_objective_per_1000_tokens as f64 * prompt_tokens / 1000.0) as Time;
        let first_token_due = self.now + ttft_objective;
        let priority_weight = class.priority_weight;
        self.arrived_weight += priority_weight;
        let request =
            SimulatedRequest::new(router, metadata.clone(), first_token_due, priority_weight);
        self.requests.insert(id, request);
        self.notify(router, Step::Arrival, Event::RequestArrived(metadata));
    }
}
