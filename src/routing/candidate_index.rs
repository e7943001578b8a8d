//! The index of candidates: which endpoints are scored for a placement. Pure: no I/O and no clock, and all
//! random draws are hashes of what the caller gives. The router owns it.
//!
//! A placement that scores every endpoint costs as much as the fleet is large. In a fleet of up to
//! [`MAX_FULLY_SCORED_ENDPOINTS`] all are candidates. In a larger one a query has a bounded number of them:
//! the endpoints that are likely to be best by what they have cached or where they are, and some that are
//! drawn at random, so that load is balanced by the best of several. Where none of them fits, the caller
//! widens the query, up to all endpoints.
//!
//! The index follows each change of the list of endpoints. `docs/candidates.md` has the reasons and the
//! measurements.

mod hash_ring;
mod prefix_affinity;

pub(super) use hash_ring::hash_pair;

use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use hash_ring::HashRing;
use std::collections::{BTreeMap, BTreeSet};

/// With up to this many ready endpoints, all of them are candidates.
pub(super) const MAX_FULLY_SCORED_ENDPOINTS: usize = 128;
/// Each widening of a query multiplies its number of candidates by this.
const WIDENING_FACTOR: usize = 4;
/// Prefill endpoints drawn from the dispatcher's own zone ...
const PREFILL_CANDIDATES_IN_ZONE: usize = 4;
/// ... and from all zones.
const PREFILL_CANDIDATES_ANYWHERE: usize = 2;
/// Decode endpoints drawn from a cell that holds the KV cache, ...
const DECODE_CANDIDATES_IN_CELL: usize = 8;
/// ... from the dispatcher's own zone ...
const DECODE_CANDIDATES_IN_ZONE: usize = 8;
/// ... and from all zones.
const DECODE_CANDIDATES_ANYWHERE: usize = 4;
/// Endpoints in slow start at which one request makes a draw.
const SLOW_START_CANDIDATES: usize = 8;

/// The pool that an attempt draws its candidates from. An endpoint of mixed role is in both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PoolKind {
    /// Endpoints that take prompts.
    Prefill,
    /// Endpoints that take KV caches and stream responses.
    Decode,
}

/// A ready endpoint, as the index knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct IndexedEndpoint {
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The same number for this endpoint at every dispatcher.
    pub key: u64,
    /// It is in slow start before this instant, in microseconds.
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

/// The endpoints of one pool.
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

    /// The index in the slow-start ring at which a request's draws begin.
    fn first_slow_start_draw(&self, seed: u64) -> usize {
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

/// What candidates are looked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateQuery {
    /// The dispatcher's zone.
    pub zone: u32,
    /// Determines the random draws: one number for each request.
    pub seed: u64,
    /// How often the query was widened.
    pub widenings: u32,
}

impl CandidateQuery {
    fn widen(&self, count: usize) -> usize {
        count.saturating_mul(WIDENING_FACTOR.saturating_pow(self.widenings))
    }
}

/// The index. Two that were given the same list are equal, whatever came before.
#[derive(Clone, Debug)]
pub(super) struct CandidateIndex {
    now: Time,
    max_fully_scored: usize,
    endpoints: BTreeMap<EndpointId, IndexedEndpoint>,
    prefill: RolePool,
    decode: RolePool,
    /// Endpoints in slow start, by the instant at which they are warm.
    warming_up: BTreeSet<(Time, EndpointId)>,
}

impl Default for CandidateIndex {
    fn default() -> Self {
        CandidateIndex {
            now: 0,
            max_fully_scored: MAX_FULLY_SCORED_ENDPOINTS,
            endpoints: BTreeMap::new(),
            prefill: RolePool::default(),
            decode: RolePool::default(),
            warming_up: BTreeSet::new(),
        }
    }
}

impl CandidateIndex {
    /// From now on all endpoints are candidates in fleets of up to this many.
    pub(super) fn set_full_scan_limit(&mut self, endpoints: usize) {
        self.max_fully_scored = endpoints;
    }

    /// Whether the fleet is small enough for all endpoints to be candidates.
    fn considers_all(&self) -> bool {
        self.endpoints.len() <= self.max_fully_scored
    }

    fn pool(&self, kind: PoolKind) -> &RolePool {
        match kind {
            PoolKind::Prefill => &self.prefill,
            PoolKind::Decode => &self.decode,
        }
    }

    /// Records a line of the list of endpoints. An endpoint is warm `slow_start_duration` microseconds after
    /// its start.
    pub(super) fn update(&mut self, now: Time, record: &EndpointRecord, slow_start_duration: Time) {
        if record.status != EndpointStatus::Ready {
            self.set(now, record.endpoint, None);
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
        self.set(now, record.endpoint, Some(endpoint));
    }

    /// Replaces what is known of an endpoint; `None`: it isn't ready.
    fn set(&mut self, now: Time, id: EndpointId, endpoint: Option<IndexedEndpoint>) {
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

    /// Advances the clock: endpoints that are warm by `now` leave slow start.
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

    /// How many endpoints serve the load of a pool, at least 1: the warm ones, or where there are none all;
    /// and whether any is warm.
    pub(super) fn serving_endpoints(&self, kind: PoolKind) -> (f64, bool) {
        let pool = self.pool(kind);
        let warm = pool.all.len() - pool.in_slow_start.len();
        if warm > 0 {
            (warm as f64, true)
        } else {
            (pool.all.len().max(1) as f64, false)
        }
    }

    /// Whether the candidates of a query are all endpoints of the pool.
    pub(super) fn covers_all(&self, kind: PoolKind, query: &CandidateQuery) -> bool {
        let min_drawn = PREFILL_CANDIDATES_IN_ZONE.min(DECODE_CANDIDATES_IN_ZONE);
        self.considers_all() || query.widen(min_drawn) >= self.pool(kind).all.len()
    }

    /// The factor for a request's draw at an endpoint in slow start. A request draws at a few such
    /// endpoints only; with the factor, each is sent as much as if every request drew at every one.
    pub(super) fn slow_start_sampling_factor(
        &self,
        kind: PoolKind,
        query: &CandidateQuery,
        id: EndpointId,
    ) -> f64 {
        let pool = self.pool(kind);
        let count = pool.in_slow_start.len();
        if self.considers_all() || count <= SLOW_START_CANDIDATES {
            return 1.0;
        }
        let Some(endpoint) = self.endpoints.get(&id) else {
            return f64::MAX;
        };
        let Some(index) = pool.in_slow_start.index_of(endpoint.key, id) else {
            return f64::MAX;
        };
        let distance = (index + count - pool.first_slow_start_draw(query.seed)) % count;
        if distance < SLOW_START_CANDIDATES {
            SLOW_START_CANDIDATES as f64 / count as f64
        } else {
            f64::MAX
        }
    }

    /// Candidates for a prefill: those that are likely to have the prompt cached, and some that are drawn. In
    /// order of their ids, each once.
    pub(super) fn prefill_candidates(
        &self,
        query: &CandidateQuery,
        mut likely: BTreeSet<EndpointId>,
    ) -> Vec<EndpointId> {
        if self.covers_all(PoolKind::Prefill, query) {
            return self.all_endpoints(PoolKind::Prefill, |_| true);
        }
        likely.extend(self.draw(
            PoolKind::Prefill,
            query,
            PREFILL_CANDIDATES_IN_ZONE,
            PREFILL_CANDIDATES_ANYWHERE,
        ));
        likely.into_iter().collect()
    }

    /// Candidates for a decode attempt whose KV cache is in one of these cells. In order of their ids, each
    /// once.
    pub(super) fn decode_candidates(
        &self,
        query: &CandidateQuery,
        cells: &BTreeSet<u32>,
    ) -> Vec<EndpointId> {
        if self.covers_all(PoolKind::Decode, query) {
            return self.all_endpoints(PoolKind::Decode, |_| true);
        }
        let mut found = self.draw(
            PoolKind::Decode,
            query,
            DECODE_CANDIDATES_IN_ZONE,
            DECODE_CANDIDATES_ANYWHERE,
        );
        for cell in cells {
            if let Some(ring) = self.decode.cells.get(cell) {
                found.extend(ring.sample(query.seed, query.widen(DECODE_CANDIDATES_IN_CELL)));
            }
        }
        found.into_iter().collect()
    }

    /// Endpoints that are drawn: from the query's zone, from all, and those in slow start at which a request
    /// may draw.
    fn draw(
        &self,
        kind: PoolKind,
        query: &CandidateQuery,
        count_in_zone: usize,
        count_anywhere: usize,
    ) -> BTreeSet<EndpointId> {
        let pool = self.pool(kind);
        let mut found = BTreeSet::new();
        if let Some(ring) = pool.zones.get(&query.zone) {
            found.extend(ring.sample(query.seed, query.widen(count_in_zone)));
        }
        found.extend(
            pool.all
                .sample(hash_pair(query.seed, 0), query.widen(count_anywhere)),
        );
        let first_draw = pool.first_slow_start_draw(query.seed);
        found.extend(
            pool.in_slow_start
                .window_from(first_draw, SLOW_START_CANDIDATES),
        );
        found
    }

    /// All endpoints of a pool that match, in order of their ids.
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
