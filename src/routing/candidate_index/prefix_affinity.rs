//! Prefix affinity by rendezvous hashing: the prefill endpoints that a shared prefix or a session comes back
//! to.

use super::hash_ring::{hash_pair, ring_position, HashRing};
use super::{CandidateIndex, CandidateQuery, PoolKind};
use crate::routing::api::EndpointId;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Prefill endpoints of a zone that have affinity for a shared prefix ...
pub(super) const MIN_AFFINITY_ENDPOINTS: f64 = 2.0;
/// ... and in addition this many times the prefix's share of the traffic, of all prefill endpoints there.
const AFFINITY_SPREAD_FACTOR: f64 = 2.0;
/// An endpoint's rank rises with this power of its warm share.
const WARM_SHARE_EXPONENT: f64 = 1.5;
/// Prefill endpoints that are ranked for a prefix: with more of them, prefixes are spread more evenly.
const RANKED_ENDPOINTS: usize = 16;
/// Affinity endpoints of a shared prefix that one session considers: of a prefix with very many, each session
/// has others.
const MAX_AFFINITY_ENDPOINTS_PER_SESSION: usize = 4;

/// The affinity endpoints of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PrefixAffinity {
    /// Those of its shared prefix, or where it has none those among which the session's one was ranked.
    pub for_prefix: Vec<EndpointId>,
    /// The one of its session.
    pub for_session: Option<EndpointId>,
}

impl CandidateIndex {
    /// The affinity endpoints of a request. All dispatchers rank prefill endpoints alike by a hash of the
    /// prefix, so that it comes back to the same ones. `traffic_share` is the prefix's share of the traffic,
    /// `warm_share` the share of its capacity that an endpoint has: one that warms up has affinity for what
    /// it can take. A zone with too few prefill endpoints has further ones in the other zones.
    pub(crate) fn prefix_affinity(
        &self,
        query: &CandidateQuery,
        prefix: Option<u64>,
        session: Option<u64>,
        traffic_share: f64,
        warm_share: impl Fn(EndpointId) -> f64,
    ) -> PrefixAffinity {
        let zone_size = self.prefill.zones.get(&query.zone).map_or(0, HashRing::len);
        let wanted = (MIN_AFFINITY_ENDPOINTS
            + AFFINITY_SPREAD_FACTOR * traffic_share * zone_size as f64)
            as usize;
        let mut local = self.local_affinity_pool(query, prefix.or(session), session, wanted);
        let mut remote = Vec::new();
        if zone_size < MIN_AFFINITY_ENDPOINTS as usize {
            remote = self.remote_affinity_pool(query, prefix.or(session));
        }
        if let Some(prefix) = prefix {
            for pool in [&mut local, &mut remote] {
                pool.sort_by_cached_key(|id| {
                    Reverse(self.rendezvous_rank(prefix, *id, &warm_share))
                });
            }
            local.truncate(wanted);
            remote.truncate((MIN_AFFINITY_ENDPOINTS as usize).saturating_sub(local.len()));
        }
        let session_pool = if local.is_empty() { &remote } else { &local };
        let for_session = session.and_then(|session| {
            session_pool
                .iter()
                .max_by_key(|id| self.rendezvous_rank(session, **id, &warm_share))
                .copied()
        });
        local.extend(remote);
        PrefixAffinity {
            for_prefix: local,
            for_session,
        }
    }

    /// The rank of an endpoint for a key, weighted by its warm share.
    fn rendezvous_rank(
        &self,
        key: u64,
        id: EndpointId,
        warm_share: &impl Fn(EndpointId) -> f64,
    ) -> u64 {
        let Some(endpoint) = self.endpoints.get(&id) else {
            return 0;
        };
        let uniform = (hash_pair(key, endpoint.key) >> 12) as f64 + 0.5;
        let warm_share = if endpoint.warm_at <= self.now {
            1.0
        } else {
            warm_share(id)
        };
        let rank =
            warm_share.powf(WARM_SHARE_EXPONENT) / (((1u64 << 52) as f64).ln() - uniform.ln());
        // It is never negative, so that its bits are in the order of its values.
        rank.to_bits()
    }

    /// The prefill endpoints of the query's zone among which affinity endpoints are ranked, where `wanted` of
    /// them are to have affinity. They are the same at all dispatchers, but for a prefix with very many: each
    /// session has its own few.
    fn local_affinity_pool(
        &self,
        query: &CandidateQuery,
        key: Option<u64>,
        session: Option<u64>,
        wanted: usize,
    ) -> Vec<EndpointId> {
        if self.considers_all() {
            return self.all_endpoints(PoolKind::Prefill, |endpoint| endpoint.zone == query.zone);
        }
        let (Some(ring), Some(key)) = (self.prefill.zones.get(&query.zone), key) else {
            return Vec::new();
        };
        let position = ring_position(key);
        if wanted <= MAX_AFFINITY_ENDPOINTS_PER_SESSION {
            return ring.window_at(position, RANKED_ENDPOINTS).collect();
        }
        let pool: Vec<EndpointId> = ring.window_at(position, wanted).collect();
        let seed = session.unwrap_or(query.seed);
        let mut indices = BTreeSet::new();
        for number in 0..MAX_AFFINITY_ENDPOINTS_PER_SESSION as u64 {
            indices.insert(hash_pair(seed, number) % pool.len().max(1) as u64);
        }
        indices
            .into_iter()
            .filter_map(|index| pool.get(index as usize).copied())
            .collect()
    }

    /// The same among prefill endpoints of other zones.
    fn remote_affinity_pool(&self, query: &CandidateQuery, key: Option<u64>) -> Vec<EndpointId> {
        if self.considers_all() {
            return self.all_endpoints(PoolKind::Prefill, |endpoint| endpoint.zone != query.zone);
        }
        let Some(key) = key else {
            return Vec::new();
        };
        self.prefill
            .all
            .window_at(ring_position(key), RANKED_ENDPOINTS)
            .filter(|id| {
                self.endpoints
                    .get(id)
                    .is_some_and(|endpoint| endpoint.zone != query.zone)
            })
            .collect()
    }
}
