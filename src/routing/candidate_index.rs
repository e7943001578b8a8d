//! The candidate index selects the endpoints that are scored for a placement.
//!
//! Scoring every endpoint costs time proportional to the fleet's size. In fleets of up to
//! [`MAX_FULLY_SCORED_ENDPOINTS`], all endpoints are candidates. In larger ones a query returns a bounded
//! number. It contains endpoints that are likely best by cached prefix or by location, and a random sample
//! for load balancing. If none of them fits, the caller widens the query, up to all endpoints.
//!
//! The router owns the index and passes it each change of the endpoint list. The index does no I/O, reads no
//! clock, and derives all randomness by hashing the caller's seeds. Reasons and measurements are in
//! `docs/candidates.md`.

mod hash_ring;
mod prefix_affinity;

pub(super) use hash_ring::hash_pair;

use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use hash_ring::HashRing;
use std::collections::{BTreeMap, BTreeSet};

/// Number of ready endpoints up to which all of them are candidates.
pub(super) const MAX_FULLY_SCORED_ENDPOINTS: usize = 128;
/// Factor by which each widening of a query multiplies its sample sizes.
const WIDENING_FACTOR: usize = 4;
/// Prefill endpoints sampled from the dispatcher's zone.
const PREFILL_CANDIDATES_IN_ZONE: usize = 4;
/// Prefill endpoints sampled from all zones.
const PREFILL_CANDIDATES_ANYWHERE: usize = 2;
/// Decode endpoints sampled from each cell that may hold the KV cache.
const DECODE_CANDIDATES_IN_CELL: usize = 8;
/// Decode endpoints sampled from the dispatcher's zone.
const DECODE_CANDIDATES_IN_ZONE: usize = 8;
/// Decode endpoints sampled from all zones.
const DECODE_CANDIDATES_ANYWHERE: usize = 4;
/// Endpoints in slow start that are candidates for one request in a large fleet. The request makes its
/// slow-start draws only there.
const SLOW_START_CANDIDATES: usize = 8;

/// The pool that an attempt's candidates come from. Endpoints of mixed role are in both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PoolKind {
    /// Endpoints that prefill prompts.
    Prefill,
    /// Endpoints that take over KV caches and stream responses.
    Decode,
}

/// The index's record of a ready endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct IndexedEndpoint {
    /// The work that the endpoint does. It determines the endpoint's pools.
    pub role: Role,
    /// Zone number, in the numbering of [`CandidateQuery::zone`].
    pub zone: u32,
    /// Cell number. A KV cache moves within a cell at no cost.
    pub cell: u32,
    /// Unique number of the endpoint, the same at every dispatcher.
    pub key: u64,
    /// The end of the endpoint's slow start, in microseconds; 0: its start is long ago.
    pub warm_at: Time,
}

impl IndexedEndpoint {
    fn is_in(&self, pool: PoolKind) -> bool {
        match pool {
            PoolKind::Prefill => self.role != Role::Decode,
            PoolKind::Decode => self.role != Role::Prefill,
        }
    }
}

/// The endpoints of one pool, in total and by group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RolePool {
    all: HashRing,
    in_slow_start: HashRing,
    zones: BTreeMap<u32, HashRing>,
    cells: BTreeMap<u32, HashRing>,
}

impl RolePool {
    fn insert(&mut self, id: EndpointId, endpoint: &IndexedEndpoint) {
        let key = endpoint.key;
        self.all.insert(key, id);
        self.zones.entry(endpoint.zone).or_default().insert(key, id);
        self.cells.entry(endpoint.cell).or_default().insert(key, id);
    }

    fn remove(&mut self, id: EndpointId, endpoint: &IndexedEndpoint) {
        self.all.remove(endpoint.key, id);
        remove_from_group(&mut self.zones, endpoint.zone, endpoint.key, id);
        remove_from_group(&mut self.cells, endpoint.cell, endpoint.key, id);
    }

    /// Returns the index in `in_slow_start` of a request's first slow-start candidate.
    fn slow_start_window_start(&self, seed: u64) -> usize {
        (hash_pair(seed, u64::MAX) % self.in_slow_start.len().max(1) as u64) as usize
    }
}

fn remove_from_group(groups: &mut BTreeMap<u32, HashRing>, group: u32, key: u64, id: EndpointId) {
    let Some(ring) = groups.get_mut(&group) else {
        return;
    };
    ring.remove(key, id);
    if ring.is_empty() {
        groups.remove(&group);
    }
}

/// The parameters of a query for candidates.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateQuery {
    /// The dispatcher's zone.
    pub zone: u32,
    /// Determines the random sample. It is the same for all queries of a request.
    pub seed: u64,
    /// Number of times that the query was widened.
    pub widenings: u32,
}

impl CandidateQuery {
    /// Multiplies a sample size by [`WIDENING_FACTOR`] for each widening.
    fn widen(&self, count: usize) -> usize {
        count.saturating_mul(WIDENING_FACTOR.saturating_pow(self.widenings))
    }
}

/// An index of the ready endpoints by pool, zone, cell and slow start. Its contents depend on the current
/// endpoint list and the time only, not on the order of the changes that led there.
#[derive(Clone, Debug)]
pub(super) struct CandidateIndex {
    now: Time,
    /// Number of ready endpoints up to which all of them are candidates.
    full_scan_limit: usize,
    endpoints: BTreeMap<EndpointId, IndexedEndpoint>,
    prefill: RolePool,
    decode: RolePool,
    /// Endpoints in slow start, ordered by its end.
    warming_up: BTreeSet<(Time, EndpointId)>,
}

impl Default for CandidateIndex {
    fn default() -> Self {
        CandidateIndex {
            now: 0,
            full_scan_limit: MAX_FULLY_SCORED_ENDPOINTS,
            endpoints: BTreeMap::new(),
            prefill: RolePool::default(),
            decode: RolePool::default(),
            warming_up: BTreeSet::new(),
        }
    }
}

impl CandidateIndex {
    /// Sets the number of ready endpoints up to which all of them are candidates.
    pub(super) fn set_full_scan_limit(&mut self, endpoints: usize) {
        self.full_scan_limit = endpoints;
    }

    /// Returns whether the fleet is small enough for all endpoints to be candidates.
    fn scans_all_endpoints(&self) -> bool {
        self.endpoints.len() <= self.full_scan_limit
    }

    fn pool(&self, kind: PoolKind) -> &RolePool {
        match kind {
            PoolKind::Prefill => &self.prefill,
            PoolKind::Decode => &self.decode,
        }
    }

    /// Applies an entry of the endpoint list. Slow start ends `slow_start_duration` microseconds after the
    /// endpoint's start.
    pub(super) fn update(&mut self, now: Time, record: &EndpointRecord, slow_start_duration: Time) {
        if record.status != EndpointStatus::Ready {
            self.set_endpoint(now, record.endpoint, None);
            return;
        }
        let warm_at = match record.started_at {
            Some(started_at) => started_at.saturating_add(slow_start_duration.max(1)),
            None => 0,
        };
        let endpoint = IndexedEndpoint {
            role: record.role,
            zone: record.zone,
            cell: record.cell,
            key: record.key,
            warm_at,
        };
        self.set_endpoint(now, record.endpoint, Some(endpoint));
    }

    /// Replaces an endpoint's record; `None` removes an endpoint that isn't ready.
    fn set_endpoint(&mut self, now: Time, id: EndpointId, endpoint: Option<IndexedEndpoint>) {
        if self.endpoints.get(&id) == endpoint.as_ref() {
            return;
        }
        if let Some(previous) = self.endpoints.remove(&id) {
            self.warming_up.remove(&(previous.warm_at, id));
            for pool in self.pools_of(&previous) {
                pool.remove(id, &previous);
                pool.in_slow_start.remove(previous.key, id);
            }
        }
        let Some(endpoint) = endpoint else {
            return;
        };
        let is_in_slow_start = now < endpoint.warm_at;
        for pool in self.pools_of(&endpoint) {
            pool.insert(id, &endpoint);
            if is_in_slow_start {
                pool.in_slow_start.insert(endpoint.key, id);
            }
        }
        if is_in_slow_start {
            self.warming_up.insert((endpoint.warm_at, id));
        }
        self.endpoints.insert(id, endpoint);
    }

    /// Returns the role pools that contain an endpoint: both for one of mixed role, otherwise one.
    fn pools_of<'a>(
        &'a mut self,
        endpoint: &'a IndexedEndpoint,
    ) -> impl Iterator<Item = &'a mut RolePool> {
        let pools = [
            (PoolKind::Prefill, &mut self.prefill),
            (PoolKind::Decode, &mut self.decode),
        ];
        pools
            .into_iter()
            .filter(|(kind, _)| endpoint.is_in(*kind))
            .map(|(_, pool)| pool)
    }

    /// Advances the clock to `now` and ends the slow start of endpoints that are warm by then.
    pub(super) fn advance_to(&mut self, now: Time) {
        self.now = now;
        while let Some((warm_at, id)) = self.warming_up.first().copied() {
            if warm_at > now {
                break;
            }
            self.warming_up.remove(&(warm_at, id));
            if let Some(endpoint) = self.endpoints.get(&id).cloned() {
                for pool in self.pools_of(&endpoint) {
                    pool.in_slow_start.remove(endpoint.key, id);
                }
            }
        }
    }

    /// Returns the number of endpoints that serve a pool's load, and whether any of them is warm. The number
    /// counts the warm endpoints or, if there are none, all; it is at least 1.
    pub(super) fn serving_endpoints(&self, kind: PoolKind) -> (f64, bool) {
        let pool = self.pool(kind);
        let warm = pool.all.len() - pool.in_slow_start.len();
        if warm > 0 {
            (warm as f64, true)
        } else {
            (pool.all.len().max(1) as f64, false)
        }
    }

    /// Returns whether a query's candidates are all endpoints of the pool.
    pub(super) fn covers_all(&self, kind: PoolKind, query: &CandidateQuery) -> bool {
        let min_sampled = PREFILL_CANDIDATES_IN_ZONE.min(DECODE_CANDIDATES_IN_ZONE);
        self.scans_all_endpoints() || query.widen(min_sampled) >= self.pool(kind).all.len()
    }

    /// Returns the factor for a request's random draw at an endpoint in slow start. A request draws at a few
    /// such endpoints only. The factor gives each as many requests as if every request drew at all of them.
    /// [`f64::MAX`]: the endpoint isn't among the request's few.
    pub(super) fn slow_start_sampling_factor(
        &self,
        kind: PoolKind,
        query: &CandidateQuery,
        id: EndpointId,
    ) -> f64 {
        let pool = self.pool(kind);
        let count = pool.in_slow_start.len();
        if self.scans_all_endpoints() || count <= SLOW_START_CANDIDATES {
            return 1.0;
        }
        let Some(endpoint) = self.endpoints.get(&id) else {
            return f64::MAX;
        };
        let Some(index) = pool.in_slow_start.index_of(endpoint.key, id) else {
            return f64::MAX;
        };
        let distance = (index + count - pool.slow_start_window_start(query.seed)) % count;
        if distance < SLOW_START_CANDIDATES {
            SLOW_START_CANDIDATES as f64 / count as f64
        } else {
            f64::MAX
        }
    }

    /// Returns candidates for a prefill: `likely_holders`, which may have the prompt cached, and a random
    /// sample. They are sorted by id and unique.
    pub(super) fn prefill_candidates(
        &self,
        query: &CandidateQuery,
        mut likely_holders: BTreeSet<EndpointId>,
    ) -> Vec<EndpointId> {
        if self.covers_all(PoolKind::Prefill, query) {
            return self.all_endpoints(PoolKind::Prefill, |_| true);
        }
        likely_holders.extend(self.sample_candidates(
            PoolKind::Prefill,
            query,
            PREFILL_CANDIDATES_IN_ZONE,
            PREFILL_CANDIDATES_ANYWHERE,
        ));
        likely_holders.into_iter().collect()
    }

    /// Returns candidates for a decode attempt whose KV cache is in one of `cells`. They are sorted by id and
    /// unique.
    pub(super) fn decode_candidates(
        &self,
        query: &CandidateQuery,
        cells: &BTreeSet<u32>,
    ) -> Vec<EndpointId> {
        if self.covers_all(PoolKind::Decode, query) {
            return self.all_endpoints(PoolKind::Decode, |_| true);
        }
        let mut candidates = self.sample_candidates(
            PoolKind::Decode,
            query,
            DECODE_CANDIDATES_IN_ZONE,
            DECODE_CANDIDATES_ANYWHERE,
        );
        for cell in cells {
            if let Some(ring) = self.decode.cells.get(cell) {
                candidates.extend(ring.sample(query.seed, query.widen(DECODE_CANDIDATES_IN_CELL)));
            }
        }
        candidates.into_iter().collect()
    }

    /// Samples endpoints of the query's zone and of all zones, and adds the request's slow-start candidates.
    fn sample_candidates(
        &self,
        kind: PoolKind,
        query: &CandidateQuery,
        count_in_zone: usize,
        count_anywhere: usize,
    ) -> BTreeSet<EndpointId> {
        let pool = self.pool(kind);
        let mut sampled = BTreeSet::new();
        if let Some(ring) = pool.zones.get(&query.zone) {
            sampled.extend(ring.sample(query.seed, query.widen(count_in_zone)));
        }
        sampled.extend(
            pool.all
                .sample(hash_pair(query.seed, 0), query.widen(count_anywhere)),
        );
        let window_start = pool.slow_start_window_start(query.seed);
        sampled.extend(
            pool.in_slow_start
                .window_from(window_start, SLOW_START_CANDIDATES),
        );
        sampled
    }

    /// Returns the ids of all endpoints of a pool for which `matches` holds, sorted.
    fn all_endpoints(
        &self,
        kind: PoolKind,
        matches: impl Fn(&IndexedEndpoint) -> bool,
    ) -> Vec<EndpointId> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_in(kind) && matches(endpoint))
            .map(|(id, _)| *id)
            .collect()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/routing/candidate_index.rs"]
mod tests;
