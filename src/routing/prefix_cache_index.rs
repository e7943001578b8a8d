//! The prefix table: which texts servers are known to keep, by what was read there. Pure: no I/O, no clock.
//!
//! Entries age, and each server has a bounded number of them. The table is held both ways, by server and by
//! text, so that the servers that keep a text are found without looking at all.

use crate::routing::api::{EndpointId, RequestMetadata, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Servers that are told of for one text.
const HOLDERS: usize = 4;

/// Requests from which a text's part of the traffic is told.
const RECENT: usize = 30;

/// A text at a server.
struct Kept {
    tokens: f64,
    own: f64, // those of them that are in no shared text
    at: Time,
}

/// The table.
#[derive(Default)]
pub struct PrefixCacheIndex {
    by_server: BTreeMap<EndpointId, BTreeMap<u64, Kept>>,
    by_text: HashMap<u64, BTreeSet<EndpointId>>,
    recent: VecDeque<u64>, // shared texts of the last requests
}

impl PrefixCacheIndex {
    /// A request has arrived.
    pub fn on_arrival(&mut self, ask: &RequestMetadata) {
        self.recent.push_back(ask.prefix.unwrap_or(0));
        self.recent
            .drain(..self.recent.len().saturating_sub(RECENT));
    }

    /// The part of recent requests that begin with the same shared text.
    pub fn traffic_share(&self, ask: &RequestMetadata) -> f64 {
        let same = |prefix| {
            self.recent
                .iter()
                .filter(|recent| **recent == prefix)
                .count()
        };
        ask.prefix.map_or(0, same) as f64 / RECENT as f64
    }

    fn tokens(&self, text: Option<u64>, server: EndpointId) -> f64 {
        let kept = text.and_then(|text| self.by_server.get(&server)?.get(&text));
        kept.map_or(0.0, |kept| kept.tokens)
    }

    /// Tokens of a request's prompt that a server is known to keep.
    pub fn cached_tokens(&self, ask: &RequestMetadata, server: EndpointId) -> f64 {
        let shared = self.tokens(ask.prefix, server).min(ask.prefix_tokens);
        self.tokens(ask.session, server)
            .max(shared)
            .min(ask.prompt_tokens)
    }

    /// Some servers that keep a request's texts; of a text that many keep, others for each seed.
    pub fn holders(&self, ask: &RequestMetadata, seed: u64) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        for holders in [ask.session, ask.prefix]
            .iter()
            .flatten()
            .filter_map(|text| self.by_text.get(text))
        {
            let first = (seed % holders.len().max(1) as u64) as usize;
            found.extend(
                holders
                    .iter()
                    .cycle()
                    .skip(first)
                    .take(HOLDERS.min(holders.len())),
            );
        }
        found
    }

    /// A server has read a request. No more tokens that are in no shared text are noted than `room`, where
    /// that is told: a full server lets the oldest go.
    pub fn record_prefill(
        &mut self,
        now: Time,
        server: EndpointId,
        room: f64,
        ask: &RequestMetadata,
    ) {
        let shared = if ask.prefix.is_some() {
            ask.prefix_tokens
        } else {
            0.0
        };
        let own = (ask.prompt_tokens - shared).max(0.0);
        let texts = [
            (ask.prefix, shared, shared),
            (ask.session, ask.prompt_tokens, own),
        ];
        let table = self.by_server.entry(server).or_default();
        for (text, tokens, own) in texts {
            let Some(text) = text else { continue };
            table.insert(
                text,
                Kept {
                    tokens,
                    own,
                    at: now,
                },
            );
            self.by_text.entry(text).or_default().insert(server);
        }
        let mut over = table.values().map(|kept| kept.own).sum::<f64>() - room;
        while over > 0.0 && room > 0.0 {
            let oldest = table
                .iter()
                .min_by_key(|(_, kept)| kept.at)
                .map(|(text, _)| *text);
            let Some((text, kept)) = oldest.and_then(|text| table.remove_entry(&text)) else {
                break;
            };
            over -= kept.own;
            forget_holder(&mut self.by_text, text, server);
        }
    }

    /// What was noted at this moment or before is forgotten.
    pub fn expire(&mut self, before: Time) {
        for (server, table) in &mut self.by_server {
            table.retain(|text, kept| {
                let keeps = kept.at > before;
                if !keeps {
                    forget_holder(&mut self.by_text, *text, *server);
                }
                keeps
            });
        }
        self.by_server.retain(|_, table| !table.is_empty());
    }

    /// A server has gone, or has started anew.
    pub fn forget_endpoint(&mut self, server: EndpointId) {
        for text in self
            .by_server
            .remove(&server)
            .unwrap_or_default()
            .into_keys()
        {
            forget_holder(&mut self.by_text, text, server);
        }
    }
}

fn forget_holder(by_text: &mut HashMap<u64, BTreeSet<EndpointId>>, text: u64, server: EndpointId) {
    let Some(holders) = by_text.get_mut(&text) else {
        return;
    };
    holders.remove(&server);
    if holders.is_empty() {
        by_text.remove(&text);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/routing/prefix_cache_index.rs"]
mod tests;
