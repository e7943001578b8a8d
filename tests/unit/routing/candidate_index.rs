//! The index of candidates against a reference list, over random changes of it.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ZONES: u32 = 4;

/// What the index was given, as a plain list.
#[derive(Default)]
struct ReferenceList {
    endpoints: BTreeMap<EndpointId, IndexedEndpoint>,
}

impl ReferenceList {
    fn of(&self, kind: PoolKind) -> Vec<(EndpointId, &IndexedEndpoint)> {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.is_in(kind))
            .map(|(id, endpoint)| (*id, endpoint))
            .collect()
    }
}

fn endpoint(rng: &mut Pcg32, now: Time, id: EndpointId) -> IndexedEndpoint {
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

fn index_of(reference: &ReferenceList, now: Time) -> CandidateIndex {
    let mut index = CandidateIndex::default();
    for (id, endpoint) in &reference.endpoints {
        index.set_endpoint(now, *id, Some(endpoint.clone()));
    }
    index
}

/// After any changes the index equals the one that a new process would build from the list: nothing is stale.
#[test]
fn the_index_equals_one_built_from_its_list() {
    for seed in 0..8 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut index, mut reference) = (CandidateIndex::default(), ReferenceList::default());
        for step in 0..3000_u64 {
            let now = step;
            index.advance_to(now);
            let id = rng.gen_range(0..400);
            // Joins, restarts and moves, or leaves, drains and bans: the index treats the latter alike.
            let endpoint = rng.gen_bool(0.7).then(|| endpoint(&mut rng, now, id));
            index.set_endpoint(now, id, endpoint.clone());
            match endpoint {
                Some(endpoint) => drop(reference.endpoints.insert(id, endpoint)),
                None => drop(reference.endpoints.remove(&id)),
            }
            if step % 50 == 0 {
                let new = index_of(&reference, now);
                assert_eq!(index.prefill, new.prefill, "seed {seed}, step {step}");
                assert_eq!(index.decode, new.decode, "seed {seed}, step {step}");
                assert_eq!(index.warming_up, new.warming_up, "seed {seed}, step {step}");
            }
        }
    }
}

/// The counts of serving endpoints and the candidates agree with the reference list.
#[test]
fn queries_return_only_listed_endpoints_of_their_pool() {
    let mut rng = Pcg32::seed_from_u64(3);
    let (mut index, mut reference) = (CandidateIndex::default(), ReferenceList::default());
    for id in 0..500 {
        let endpoint = endpoint(&mut rng, 0, id);
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
            let listed = reference.of(kind);
            let warm = listed
                .iter()
                .filter(|(_, endpoint)| endpoint.warm_at <= now)
                .count();
            let bears = if warm > 0 { warm } else { listed.len().max(1) };
            assert_eq!(index.serving_endpoints(kind), (bears as f64, warm > 0));
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
            // The caller checks whether the likely ones are still listed. All others are.
            let likely = BTreeSet::from([1, 2, 1_000]);
            let found: BTreeSet<EndpointId> = index
                .prefill_candidates(&query, likely.clone())
                .into_iter()
                .collect();
            for id in found.difference(&likely) {
                assert!(reference
                    .endpoints
                    .get(id)
                    .is_some_and(|endpoint| endpoint.is_in(PoolKind::Prefill)));
            }
        }
    }
}

fn large(endpoint_count: EndpointId, in_slow_start: bool) -> CandidateIndex {
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

/// However large the fleet, a first query has a bounded number of candidates; widened by steps it has all.
#[test]
fn queries_are_bounded_and_widen_to_all_endpoints() {
    for endpoint_count in [300, 3_000, 11_000] {
        let index = large(endpoint_count, false);
        let mut widenings = 0;
        let mut most = 0;
        loop {
            let query = CandidateQuery {
                zone: 2,
                seed: 99,
                widenings,
            };
            let found = index.decode_candidates(&query, &BTreeSet::from([2]));
            assert!(found.len() >= most, "a wider query has no fewer");
            most = found.len();
            if widenings == 0 {
                assert!(
                    most <= DECODE_CANDIDATES_IN_CELL
                        + DECODE_CANDIDATES_IN_ZONE
                        + DECODE_CANDIDATES_ANYWHERE,
                    "{most} of {endpoint_count}"
                );
            }
            if index.covers_all(PoolKind::Decode, &query) {
                break;
            }
            widenings += 1;
        }
        assert!(widenings <= 6, "{widenings} steps for {endpoint_count}");
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

/// Dispatchers agree on the affinity endpoints of a prefix, in whatever order they learned of the endpoints;
/// and when one endpoint of many is removed, few prefixes move.
#[test]
fn affinity_endpoints_agree_and_few_prefixes_move_when_one_is_removed() {
    let index = large(3_000, false);
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
        "{moved} of 1,000 prefixes moved that had no home there"
    );
}

/// Prefixes are spread evenly: no endpoint has affinity for many times as many as the others.
#[test]
fn prefixes_are_spread_evenly_over_affinity_endpoints() {
    let index = large(11_000, false);
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
        "{most} where the mean is {mean}"
    );
}

/// Over many requests each endpoint in slow start wins as many draws as if every request drew at each.
#[test]
fn sampled_slow_start_draws_equal_lots_drawn_at_every_endpoint() {
    let index = large(3_000, true);
    let chance = 0.002; // that one draw wins
    let mut won: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let requests = 200_000_u64;
    for seed in 0..requests {
        let query = CandidateQuery {
            zone: 0,
            seed: hash_pair(seed, 5),
            widenings: 0,
        };
        for id in index.sample_candidates(PoolKind::Decode, &query, 0, 0) {
            let draw = hash_pair(hash_pair(seed, 6), id.into()) as f64 / u64::MAX as f64;
            if draw * index.slow_start_sampling_factor(PoolKind::Decode, &query, id) < chance {
                *won.entry(id).or_default() += 1.0;
            }
        }
    }
    let mean = requests as f64 * chance;
    let decode_endpoints = index.decode.all.len() as f64;
    let sum: f64 = won.values().sum();
    assert!(
        (sum / decode_endpoints / mean - 1.0).abs() < 0.02,
        "{} where {mean} are due",
        sum / decode_endpoints
    );
    // Six standard deviations of a count.
    let most = won.values().copied().fold(0.0, f64::max);
    assert!(
        most < mean + 6.0 * mean.sqrt(),
        "{most} where {mean} are due"
    );
}
