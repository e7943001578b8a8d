//! The candidate index, compared with a plain list of the endpoints after random changes.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ZONES: u32 = 4;

/// The endpoints that the index was given, as a plain list.
#[derive(Default)]
struct ReferenceList {
    endpoints: BTreeMap<EndpointId, IndexedEndpoint>,
}

impl ReferenceList {
    fn in_pool(&self, kind: PoolKind) -> Vec<(EndpointId, &IndexedEndpoint)> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_in(kind))
            .map(|(id, endpoint)| (*id, endpoint))
            .collect()
    }
}

fn random_endpoint(rng: &mut Pcg32, now: Time, id: EndpointId) -> IndexedEndpoint {
    IndexedEndpoint {
        role: [Role::Prefill, Role::Decode, Role::Mixed][rng.gen_range(0..3)],
        zone: rng.gen_range(0..ZONES),
        cell: rng.gen_range(0..40),
        key: u64::from(id) * 7919,
        warm_at: if rng.gen_bool(0.3) {
            now + rng.gen_range(0..50)
        } else {
            0
        },
    }
}

fn build_index(reference: &ReferenceList, now: Time) -> CandidateIndex {
    let mut index = CandidateIndex::default();
    for (id, endpoint) in &reference.endpoints {
        index.set_endpoint(now, *id, Some(endpoint.clone()));
    }
    index
}

/// Guards against stale entries: after any changes, the index equals one that is built from the list alone.
#[test]
fn the_index_equals_one_built_from_its_list() {
    for seed in 0..8 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut index, mut reference) = (CandidateIndex::default(), ReferenceList::default());
        for step in 0..3000_u64 {
            let now = step;
            index.advance_to(now);
            let id = rng.gen_range(0..400);
            // `Some`: the endpoint joins, restarts or moves. `None`: it leaves, drains or is banned.
            let endpoint = rng
                .gen_bool(0.7)
                .then(|| random_endpoint(&mut rng, now, id));
            index.set_endpoint(now, id, endpoint.clone());
            match endpoint {
                Some(endpoint) => drop(reference.endpoints.insert(id, endpoint)),
                None => drop(reference.endpoints.remove(&id)),
            }
            if step % 50 == 0 {
                let rebuilt = build_index(&reference, now);
                assert_eq!(index.prefill, rebuilt.prefill, "seed {seed}, step {step}");
                assert_eq!(index.decode, rebuilt.decode, "seed {seed}, step {step}");
                assert_eq!(
                    index.warming_up, rebuilt.warming_up,
                    "seed {seed}, step {step}"
                );
            }
        }
    }
}

/// Compares the number of serving endpoints, and the candidates of queries, with the reference list.
#[test]
fn queries_return_only_listed_endpoints_of_their_pool() {
    let mut rng = Pcg32::seed_from_u64(3);
    let (mut index, mut reference) = (CandidateIndex::default(), ReferenceList::default());
    for id in 0..500 {
        let endpoint = random_endpoint(&mut rng, 0, id);
        index.set_endpoint(0, id, Some(endpoint.clone()));
        reference.endpoints.insert(id, endpoint);
    }
    for now in 0..60 {
        index.advance_to(now);
        for id in 0..20 {
            let removed = rng.gen_range(0..500) + id;
            index.set_endpoint(now, removed, None);
            reference.endpoints.remove(&removed);
        }
        for kind in [PoolKind::Prefill, PoolKind::Decode] {
            let listed = reference.in_pool(kind);
            let warm = listed
                .iter()
                .filter(|(_, endpoint)| endpoint.warm_at <= now)
                .count();
            let serving = if warm > 0 { warm } else { listed.len().max(1) };
            assert_eq!(index.serving_endpoints(kind), (serving as f64, warm > 0));
        }
        for seed in 0..20 {
            let query = CandidateQuery {
                zone: 1,
                seed,
                widenings: seed as u32 % 4,
            };
            for id in index.decode_candidates(&query, &BTreeSet::from([1, 2, 77])) {
                assert!(reference
                    .endpoints
                    .get(&id)
                    .is_some_and(|endpoint| endpoint.is_in(PoolKind::Decode)));
            }
            let affinity = index.prefix_affinity(&query, Some(seed), Some(7), 0.1, |_| 1.0);
            for id in affinity.for_prefix.iter().chain(&affinity.for_session) {
                assert!(reference
                    .endpoints
                    .get(id)
                    .is_some_and(|endpoint| endpoint.is_in(PoolKind::Prefill)));
            }
            // The caller checks whether likely holders are still listed. All other candidates must be listed.
            let likely_holders = BTreeSet::from([1, 2, 1_000]);
            let found: BTreeSet<EndpointId> = index
                .prefill_candidates(&query, likely_holders.clone())
                .into_iter()
                .collect();
            for id in found.difference(&likely_holders) {
                assert!(reference
                    .endpoints
                    .get(id)
                    .is_some_and(|endpoint| endpoint.is_in(PoolKind::Prefill)));
            }
        }
    }
}

fn large_index(endpoint_count: EndpointId, in_slow_start: bool) -> CandidateIndex {
    let mut index = CandidateIndex::default();
    for id in 0..endpoint_count {
        let role = if id % 4 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let (zone, cell, key) = (id / 8 % ZONES, id / 8, u64::from(id) * 7919);
        let warm_at = if in_slow_start { 100 } else { 0 };
        index.set_endpoint(
            0,
            id,
            Some(IndexedEndpoint {
                role,
                zone,
                cell,
                key,
                warm_at,
            }),
        );
    }
    index
}

/// In a fleet of any size, a first query has a bounded number of candidates, and repeated widening reaches all.
#[test]
fn queries_are_bounded_and_widen_to_all_endpoints() {
    for endpoint_count in [300, 3_000, 11_000] {
        let index = large_index(endpoint_count, false);
        let mut widenings = 0;
        let mut most = 0;
        loop {
            let query = CandidateQuery {
                zone: 2,
                seed: 99,
                widenings,
            };
            let found = index.decode_candidates(&query, &BTreeSet::from([2]));
            assert!(found.len() >= most, "a widened query has fewer candidates");
            most = found.len();
            if widenings == 0 {
                assert!(
                    most <= DECODE_CANDIDATES_IN_CELL
                        + DECODE_CANDIDATES_IN_ZONE
                        + DECODE_CANDIDATES_ANYWHERE,
                    "{most} candidates of {endpoint_count} endpoints"
                );
            }
            if index.covers_all(PoolKind::Decode, &query) {
                break;
            }
            widenings += 1;
        }
        assert!(
            widenings <= 6,
            "{widenings} widenings for {endpoint_count} endpoints"
        );
        assert!(index.covers_all(
            PoolKind::Prefill,
            &CandidateQuery {
                zone: 2,
                seed: 99,
                widenings: u32::MAX
            }
        ));
    }
}

/// Dispatchers agree on the affinity endpoints of a prefix, whatever the order in which endpoints were added.
/// Removing one of many endpoints moves few prefixes.
#[test]
fn affinity_endpoints_agree_and_few_prefixes_move_when_one_is_removed() {
    let index = large_index(3_000, false);
    let mut other = CandidateIndex::default();
    for (id, endpoint) in index.endpoints.iter().rev() {
        other.set_endpoint(0, *id, Some(endpoint.clone()));
    }
    let query = |seed| CandidateQuery {
        zone: 1,
        seed,
        widenings: 0,
    };
    let affinity = |index: &CandidateIndex, prefix, seed| {
        index.prefix_affinity(&query(seed), Some(prefix), Some(prefix), 0.0, |_| 1.0)
    };
    let prefixes = 0..1_000_u64;
    for prefix in prefixes.clone() {
        assert_eq!(affinity(&index, prefix, 1), affinity(&other, prefix, 2));
    }
    let removed = affinity(&index, 5, 1).for_prefix[0];
    other.set_endpoint(0, removed, None);
    let changed = |prefix: &u64| {
        let (before, after) = (
            affinity(&index, *prefix, 1).for_prefix,
            affinity(&other, *prefix, 1).for_prefix,
        );
        !before.contains(&removed) && before != after
    };
    let moved = prefixes.filter(changed).count();
    assert!(
        moved <= 20,
        "{moved} of 1,000 prefixes moved without affinity for the removed endpoint"
    );
}

/// Prefixes are spread evenly: no endpoint has affinity for far more prefixes than the mean.
#[test]
fn prefixes_are_spread_evenly_over_affinity_endpoints() {
    let index = large_index(11_000, false);
    let mut affinity_counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
    let prefixes = 50_000_u64;
    for prefix in 0..prefixes {
        let query = CandidateQuery {
            zone: 3,
            seed: prefix,
            widenings: 0,
        };
        for id in index
            .prefix_affinity(&query, Some(hash_pair(prefix, 1)), None, 0.0, |_| 1.0)
            .for_prefix
        {
            *affinity_counts.entry(id).or_default() += 1;
        }
    }
    let prefill_endpoints = index.prefill.zones[&3].len();
    let mean = prefix_affinity::MIN_AFFINITY_ENDPOINTS * prefixes as f64 / prefill_endpoints as f64;
    let most = affinity_counts.values().copied().max().unwrap_or(0);
    assert!(
        affinity_counts.len() * 100 >= prefill_endpoints * 99 && (most as f64) < 2.0 * mean,
        "{most} prefixes at one endpoint, where the mean is {mean}"
    );
}

/// Over many requests, each endpoint in slow start wins as many draws as if every request drew at all of them.
#[test]
fn sampled_slow_start_draws_equal_draws_at_every_endpoint() {
    let index = large_index(3_000, true);
    let win_probability = 0.002;
    let mut wins: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let requests = 200_000_u64;
    for seed in 0..requests {
        let query = CandidateQuery {
            zone: 0,
            seed: hash_pair(seed, 5),
            widenings: 0,
        };
        for id in index.sample_candidates(PoolKind::Decode, &query, 0, 0) {
            let draw = hash_pair(hash_pair(seed, 6), id.into()) as f64 / u64::MAX as f64;
            if draw * index.slow_start_sampling_factor(PoolKind::Decode, &query, id)
                < win_probability
            {
                *wins.entry(id).or_default() += 1.0;
            }
        }
    }
    let mean = requests as f64 * win_probability;
    let decode_endpoints = index.decode.all.len() as f64;
    let sum: f64 = wins.values().sum();
    assert!(
        (sum / decode_endpoints / mean - 1.0).abs() < 0.02,
        "{} draws won on average, {mean} expected",
        sum / decode_endpoints
    );
    // Six standard deviations of a Poisson count.
    let most = wins.values().copied().fold(0.0, f64::max);
    assert!(
        most < mean + 6.0 * mean.sqrt(),
        "{most} draws won at one endpoint, {mean} expected"
    );
}
