//! The prefix cache index estimates the prefixes that each endpoint has cached, from the prefills there.
//!
//! The key of an entry is that of a shared prefix or of a session. Entries expire, and the tokens recorded for
//! each endpoint are bounded. The index maps both endpoints to keys and keys to endpoints, so the holders of a
//! key are found without a scan. The router owns the index, which does no I/O and reads no clock.

use crate::routing::api::{EndpointId, RequestMetadata, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Maximum number of holders that a query returns for each key.
const MAX_HOLDERS_PER_KEY: usize = 4;
/// Number of recent requests over which a prefix's share of the traffic is measured.
const TRAFFIC_SAMPLE_REQUESTS: usize = 30;

/// The presumed cache content of one endpoint for one key.
struct CachedPrefix {
    /// Tokens from the beginning of the prompt.
    tokens: f64,
    /// The part of `tokens` that counts towards the limit of the endpoint's recorded tokens. A session's
    /// entry excludes the shared prefix, which has an entry of its own.
    charged_tokens: f64,
    recorded_at: Time,
}

/// An index of presumed cache contents by endpoint and by key, and a sample of the traffic.
#[derive(Default)]
pub(super) struct PrefixCacheIndex {
    by_endpoint: BTreeMap<EndpointId, BTreeMap<u64, CachedPrefix>>,
    by_key: HashMap<u64, BTreeSet<EndpointId>>,
    /// Shared prefixes of the most recent requests, oldest first; 0 for a request without one.
    recent_prefixes: VecDeque<u64>,
}

impl PrefixCacheIndex {
    /// Adds an arrived request to the traffic sample.
    pub(super) fn on_arrival(&mut self, request: &RequestMetadata) {
        self.recent_prefixes.push_back(request.prefix.unwrap_or(0));
        while self.recent_prefixes.len() > TRAFFIC_SAMPLE_REQUESTS {
            self.recent_prefixes.pop_front();
        }
    }

    /// Returns the share of recent requests that have the same shared prefix, 0 to 1; 0 for a request without
    /// one.
    pub(super) fn traffic_share(&self, request: &RequestMetadata) -> f64 {
        let Some(prefix) = request.prefix else {
            return 0.0;
        };
        let count = self
            .recent_prefixes
            .iter()
            .filter(|recent| **recent == prefix)
            .count();
        count as f64 / TRAFFIC_SAMPLE_REQUESTS as f64
    }

    /// Returns the tokens that an endpoint is presumed to have cached for a key; 0 without a key or a
    /// record.
    fn tokens_for_key(&self, key: Option<u64>, endpoint: EndpointId) -> f64 {
        let entries = self.by_endpoint.get(&endpoint);
        match (key, entries) {
            (Some(key), Some(entries)) => entries.get(&key).map_or(0.0, |entry| entry.tokens),
            _ => 0.0,
        }
    }

    /// Returns how many tokens of a request's prompt an endpoint is presumed to have cached.
    pub(super) fn cached_tokens(&self, request: &RequestMetadata, endpoint: EndpointId) -> f64 {
        let shared = self
            .tokens_for_key(request.prefix, endpoint)
            .min(request.prefix_tokens);
        self.tokens_for_key(request.session, endpoint)
            .max(shared)
            .min(request.prompt_tokens)
    }

    /// Returns some endpoints that are presumed to have a request's session or shared prefix cached. If there
    /// are many, `seed` determines which.
    pub(super) fn holders(&self, request: &RequestMetadata, seed: u64) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        for key in [request.session, request.prefix].iter().flatten() {
            let Some(holders) = self.by_key.get(key) else {
                continue;
            };
            let first = (seed % holders.len().max(1) as u64) as usize;
            let count = MAX_HOLDERS_PER_KEY.min(holders.len());
            found.extend(holders.iter().cycle().skip(first).take(count));
        }
        found
    }

    /// Records that an endpoint has prefilled a request. Evicts the endpoint's oldest entries while its tokens
    /// exceed `max_tokens`, as the endpoint does when its memory is full; 0: no limit.
    pub(super) fn record_prefill(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        max_tokens: f64,
        request: &RequestMetadata,
    ) {
        let prefix_tokens = if request.prefix.is_some() {
            request.prefix_tokens
        } else {
            0.0
        };
        let prefix_entry = CachedPrefix {
            tokens: prefix_tokens,
            charged_tokens: prefix_tokens,
            recorded_at: now,
        };
        let session_entry = CachedPrefix {
            tokens: request.prompt_tokens,
            charged_tokens: (request.prompt_tokens - prefix_tokens).max(0.0),
            recorded_at: now,
        };
        let entries = self.by_endpoint.entry(endpoint).or_default();
        for (key, entry) in [
            (request.prefix, prefix_entry),
            (request.session, session_entry),
        ] {
            if let Some(key) = key {
                entries.insert(key, entry);
                self.by_key.entry(key).or_default().insert(endpoint);
            }
        }
        let recorded_tokens: f64 = entries.values().map(|entry| entry.charged_tokens).sum();
        let mut excess = recorded_tokens - max_tokens;
        while excess > 0.0 && max_tokens > 0.0 {
            let oldest = entries
                .iter()
                .min_by_key(|(_, entry)| entry.recorded_at)
                .map(|(key, _)| *key);
            let Some((key, entry)) = oldest.and_then(|key| entries.remove_entry(&key)) else {
                break;
            };
            excess -= entry.charged_tokens;
            remove_holder(&mut self.by_key, key, endpoint);
        }
    }

    /// Removes entries that were recorded at or before `until`, in microseconds.
    pub(super) fn expire(&mut self, until: Time) {
        for (endpoint, entries) in &mut self.by_endpoint {
            entries.retain(|key, entry| {
                let is_fresh = entry.recorded_at > until;
                if !is_fresh {
                    remove_holder(&mut self.by_key, *key, *endpoint);
                }
                is_fresh
            });
        }
        self.by_endpoint.retain(|_, entries| !entries.is_empty());
    }

    /// Removes all entries of an endpoint that was removed or has restarted.
    pub(super) fn forget_endpoint(&mut self, endpoint: EndpointId) {
        let Some(entries) = self.by_endpoint.remove(&endpoint) else {
            return;
        };
        for key in entries.into_keys() {
            remove_holder(&mut self.by_key, key, endpoint);
        }
    }
}

fn remove_holder(by_key: &mut HashMap<u64, BTreeSet<EndpointId>>, key: u64, endpoint: EndpointId) {
    let Some(holders) = by_key.get_mut(&key) else {
        return;
    };
    holders.remove(&endpoint);
    if holders.is_empty() {
        by_key.remove(&key);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/routing/prefix_cache_index.rs"]
mod tests;
