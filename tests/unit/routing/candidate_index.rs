//! The index of candidates against a plain list, over random changes of it.

use super::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ZONES: u32 = 4;

/// What the index was told, as a plain list.
#[derive(Default)]
struct Plain {
    listings: BTreeMap<EndpointId, IndexedEndpoint>,
}

impl Plain {
    fn of(&self, side: Side) -> Vec<(EndpointId, &IndexedEndpoint)> {
        self.listings
            .iter()
            .filter(|(_, it)| it.is_of(side))
            .map(|(server, it)| (*server, it))
            .collect()
    }
}

fn listing(rng: &mut Pcg32, now: Time, server: EndpointId) -> IndexedEndpoint {
    IndexedEndpoint {
        role: [Role::Prefill, Role::Decode, Role::Mixed][rng.gen_range(0..3)],
        zone: rng.gen_range(0..ZONES),
        cell: rng.gen_range(0..40),
        key: u64::from(server) * 7919,
        warm_at: if rng.gen_bool(0.3) {
            now + rng.gen_range(0..50)
        } else {
            0
        },
    }
}

fn index_of(plain: &Plain, now: Time) -> CandidateIndex {
    let mut index = CandidateIndex::default();
    for (server, listing) in &plain.listings {
        index.set(now, *server, Some(listing.clone()));
    }
    index
}

/// After any changes the index is the one that a new process would make from the list: nothing of it is stale.
#[test]
fn the_index_is_that_of_its_list() {
    for seed in 0..8 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut index, mut plain) = (CandidateIndex::default(), Plain::default());
        for step in 0..3000_u64 {
            let now = step;
            index.advance_to(now);
            let server = rng.gen_range(0..400);
            // Joins, restarts and moves, then leaves, drains and bans: to the index the latter are one.
            let listing = rng.gen_bool(0.7).then(|| listing(&mut rng, now, server));
            index.set(now, server, listing.clone());
            match listing {
                Some(listing) => drop(plain.listings.insert(server, listing)),
                None => drop(plain.listings.remove(&server)),
            }
            if step % 50 == 0 {
                let new = index_of(&plain, now);
                assert_eq!(index.read, new.read, "seed {seed}, step {step}");
                assert_eq!(index.write, new.write, "seed {seed}, step {step}");
                assert_eq!(index.warming, new.warming, "seed {seed}, step {step}");
            }
        }
    }
}

/// Counts of those that bear a side's load, and all that is looked at, agree with the plain list.
#[test]
fn looks_hold_listed_servers_of_their_side_only() {
    let mut rng = Pcg32::seed_from_u64(3);
    let (mut index, mut plain) = (CandidateIndex::default(), Plain::default());
    for server in 0..500 {
        let listing = listing(&mut rng, 0, server);
        index.set(0, server, Some(listing.clone()));
        plain.listings.insert(server, listing);
    }
    for now in 0..60 {
        index.advance_to(now);
        for server in 0..20 {
            let gone = rng.gen_range(0..500) + server;
            index.set(now, gone, None);
            plain.listings.remove(&gone);
        }
        for side in [Side::Read, Side::Write] {
            let listed = plain.of(side);
            let warm = listed.iter().filter(|(_, it)| it.warm_at <= now).count();
            let bears = if warm > 0 { warm } else { listed.len().max(1) };
            assert_eq!(index.bearing(side), (bears as f64, warm > 0));
        }
        for seed in 0..20 {
            let look = CandidateQuery {
                zone: 1,
                seed,
                widened: seed as u32 % 4,
            };
            for server in index.writers(&look, &BTreeSet::from([1, 2, 77])) {
                assert!(plain
                    .listings
                    .get(&server)
                    .is_some_and(|it| it.is_of(Side::Write)));
            }
            let (homes, home) = index.prefix_affinity(&look, Some(seed), Some(7), 0.1, |_| 1.0);
            for server in homes.iter().chain(&home) {
                assert!(plain
                    .listings
                    .get(server)
                    .is_some_and(|it| it.is_of(Side::Read)));
            }
            // Likely ones that have left are the caller's to find out: it has the list. All others are listed.
            let likely = BTreeSet::from([1, 2, 1_000]);
            let found: BTreeSet<EndpointId> =
                index.readers(&look, likely.clone()).into_iter().collect();
            for server in found.difference(&likely) {
                assert!(plain
                    .listings
                    .get(server)
                    .is_some_and(|it| it.is_of(Side::Read)));
            }
        }
    }
}

fn large(servers: EndpointId, cold: bool) -> CandidateIndex {
    let mut index = CandidateIndex::default();
    for server in 0..servers {
        let role = if server % 4 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let (zone, cell, key) = (server / 8 % ZONES, server / 8, u64::from(server) * 7919);
        let warm_at = if cold { 100 } else { 0 };
        index.set(
            0,
            server,
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

/// However large the fleet, a first look has a bounded number of servers; widened by steps it has all.
#[test]
fn looks_are_bounded_and_widen_to_all() {
    for servers in [300, 3_000, 11_000] {
        let index = large(servers, false);
        let mut widened = 0;
        let mut most = 0;
        loop {
            let look = CandidateQuery {
                zone: 2,
                seed: 99,
                widened,
            };
            let found = index.writers(&look, &BTreeSet::from([2]));
            assert!(found.len() >= most, "a wider look holds no fewer");
            most = found.len();
            if widened == 0 {
                assert!(
                    most <= WRITERS_IN_CELL + WRITERS_NEAR + WRITERS_ANYWHERE,
                    "{most} of {servers}"
                );
            }
            if index.covers_all(Side::Write, &look) {
                break;
            }
            widened += 1;
        }
        assert!(widened <= 6, "{widened} steps for {servers}");
        assert!(index.covers_all(
            Side::Read,
            &CandidateQuery {
                zone: 2,
                seed: 99,
                widened: u32::MAX
            }
        ));
    }
}

/// Dispatchers agree on the homes of a text, in whatever order they were told of the servers; and when one server of
/// many goes, few texts change their homes.
#[test]
fn homes_agree_and_move_little() {
    let index = large(3_000, false);
    let mut other = CandidateIndex::default();
    for (server, listing) in index.listings.iter().rev() {
        other.set(0, *server, Some(listing.clone()));
    }
    let look = |seed| CandidateQuery {
        zone: 1,
        seed,
        widened: 0,
    };
    let home = |index: &CandidateIndex, text, seed| {
        index.prefix_affinity(&look(seed), Some(text), Some(text), 0.0, |_| 1.0)
    };
    let texts = 0..1_000_u64;
    for text in texts.clone() {
        assert_eq!(home(&index, text, 1), home(&other, text, 2));
    }
    let gone = home(&index, 5, 1).0[0];
    other.set(0, gone, None);
    let changed = |text: &u64| {
        let (before, after) = (home(&index, *text, 1).0, home(&other, *text, 1).0);
        !before.contains(&gone) && before != after
    };
    let moved = texts.filter(changed).count();
    assert!(
        moved <= 20,
        "{moved} of 1,000 texts moved that had no home there"
    );
}

/// Texts are spread evenly: no reader is home to many times as much as the others.
#[test]
fn homes_are_spread_evenly() {
    let index = large(11_000, false);
    let mut homes: BTreeMap<EndpointId, usize> = BTreeMap::new();
    let texts = 50_000_u64;
    for text in 0..texts {
        let look = CandidateQuery {
            zone: 3,
            seed: text,
            widened: 0,
        };
        for server in index
            .prefix_affinity(&look, Some(mix(text, 1)), None, 0.0, |_| 1.0)
            .0
        {
            *homes.entry(server).or_default() += 1;
        }
    }
    let readers = index.read.zones[&3].len();
    let mean = HOMES_LEAST * texts as f64 / readers as f64;
    let most = homes.values().copied().max().unwrap_or(0);
    assert!(
        homes.len() * 100 >= readers * 99 && (most as f64) < 2.0 * mean,
        "{most} where the mean is {mean}"
    );
}

/// Over many requests each cold server gets the lots that it would get if every request drew one at every server.
#[test]
fn lots_are_as_many_as_if_all_were_looked_at() {
    let index = large(3_000, true);
    let chance = 0.002; // of one lot
    let mut won: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let requests = 200_000_u64;
    for seed in 0..requests {
        let look = CandidateQuery {
            zone: 0,
            seed: mix(seed, 5),
            widened: 0,
        };
        for server in index.drawn(Side::Write, &look, 0, 0) {
            let lot = mix(mix(seed, 6), server.into()) as f64 / u64::MAX as f64;
            if lot * index.slow_start_sampling_factor(Side::Write, &look, server) < chance {
                *won.entry(server).or_default() += 1.0;
            }
        }
    }
    let mean = requests as f64 * chance;
    let writers = index.write.all.len() as f64;
    let sum: f64 = won.values().sum();
    assert!(
        (sum / writers / mean - 1.0).abs() < 0.02,
        "{} where {mean} are due",
        sum / writers
    );
    // Six standard deviations of a count.
    let most = won.values().copied().fold(0.0, f64::max);
    assert!(
        most < mean + 6.0 * mean.sqrt(),
        "{most} where {mean} are due"
    );
}
