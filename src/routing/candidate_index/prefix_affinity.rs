//! Prefix affinity: assigns prefill endpoints to shared prefixes and sessions, so that requests return to
//! endpoints that have their prefix cached.
//!
//! Endpoints are ranked by weighted rendezvous hashing. In large fleets only a window of the hash ring is
//! ranked. Dispatchers with the same endpoint list compute the same ranks.

use super::hash_ring::{hash_pair, ring_position, HashRing};
use super::{CandidateIndex, CandidateQuery, PoolKind};
use crate::routing::api::EndpointId;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Minimum number of affinity endpoints of a shared prefix in each zone.
pub(super) const MIN_AFFINITY_ENDPOINTS: f64 = 2.0;
/// Factor from a shared prefix's share of the traffic to the share of a zone's prefill endpoints that get
/// additional affinity for it.
const AFFINITY_SPREAD_FACTOR: f64 = 2.0;
/// Exponent of an endpoint's warm share in its rank.
const WARM_SHARE_EXPONENT: f64 = 1.5;
/// Number of successive ring endpoints that are ranked for a key. A larger number spreads prefixes more evenly.
const RANKED_ENDPOINTS: usize = 16;
/// Maximum number of a shared prefix's affinity endpoints that one session considers. If the prefix has more,
/// different sessions consider different ones.
const MAX_AFFINITY_ENDPOINTS_PER_SESSION: usize = 4;

/// The affinity endpoints of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PrefixAffinity {
    /// The affinity endpoints of its shared prefix. For a request without one: the endpoints that were ranked
    /// for its session.
    pub for_prefix: Vec<EndpointId>,
    /// The affinity endpoint of its session.
    pub for_session: Option<EndpointId>,
}

impl CandidateIndex {
    /// Returns the affinity endpoints of a request. `traffic_share` is the prefix's share of the traffic, from 0
    /// to 1. `warm_share` returns the share of its full capacity that an endpoint has, from 0 to 1. An endpoint
    /// in slow start has affinity for as many prefixes as it can serve. If the query's zone has too few prefill
    /// endpoints, other zones supply the rest.
    pub(crate) fn prefix_affinity(
        &self,
        query: &CandidateQuery,
        prefix: Option<u64>,
        session: Option<u64>,
        traffic_share: f64,
        warm_share: impl Fn(EndpointId) -> f64,
    ) -> PrefixAffinity {
        let zone_size = self.prefill.zones.get(&query.zone).map_or(0, HashRing::len);
        let affinity_count = (MIN_AFFINITY_ENDPOINTS
            + AFFINITY_SPREAD_FACTOR * traffic_share * zone_size as f64)
            as usize;
        let mut local =
            self.local_affinity_pool(query, prefix.or(session), session, affinity_count);
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
            local.truncate(affinity_count);
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

    /// Returns the rendezvous rank of an endpoint for a key, weighted by the endpoint's warm share.
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
        // Ranks are never negative, so their bits sort like their values.
        rank.to_bits()
    }

    /// Returns the prefill endpoints of the query's zone that are ranked to select `affinity_count` affinity
    /// endpoints. They are the same at all dispatchers and for all sessions. The exception is a count above
    /// [`MAX_AFFINITY_ENDPOINTS_PER_SESSION`] in a large fleet: each session has its own subset.
    fn local_affinity_pool(
        &self,
        query: &CandidateQuery,
        key: Option<u64>,
        session: Option<u64>,
        affinity_count: usize,
    ) -> Vec<EndpointId> {
        if self.scans_all_endpoints() {
            return self.all_endpoints(PoolKind::Prefill, |endpoint| endpoint.zone == query.zone);
        }
        let (Some(ring), Some(key)) = (self.prefill.zones.get(&query.zone), key) else {
            return Vec::new();
        };
        let position = ring_position(key);
        if affinity_count <= MAX_AFFINITY_ENDPOINTS_PER_SESSION {
            return ring.window_at(position, RANKED_ENDPOINTS).collect();
        }
        let pool: Vec<EndpointId> = ring.window_at(position, affinity_count).collect();
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

    /// Returns the prefill endpoints of other zones that are ranked for affinity.
    fn remote_affinity_pool(&self, query: &CandidateQuery, key: Option<u64>) -> Vec<EndpointId> {
        if self.scans_all_endpoints() {
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
