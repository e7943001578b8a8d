//! Prefix affinity: requests of a session or with a shared prefix return to endpoints that have it cached.

mod router_harness;
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use router_harness::*;

#[test]
fn a_session_returns_to_its_prefill_endpoint() {
    let mut harness = trained_harness();
    let mut returned = 0;
    for id in 1_000..1_050 {
        let affinity_endpoint = harness.serve(request(id, id), 40 * MS, 30 * MS, 50 * MS)[0];
        let next = RequestMetadata {
            prompt_tokens: 2_200.0,
            ..request(id + 1_000, id)
        };
        let prefill = harness.serve_with(next, |_| 30 * MS, 2_000.0, 30 * MS, 50 * MS)[0];
        returned += usize::from(prefill == affinity_endpoint);
    }
    assert!(
        returned >= 46,
        "{returned} of 50 sessions returned to their prefill endpoint"
    );
}

#[test]
fn a_restarted_prefill_endpoint_has_nothing_cached() {
    let mut harness = trained_harness();
    let affinity_endpoint = harness.serve(request(1_000, 5_000), 40 * MS, 30 * MS, 50 * MS)[0];
    let restarted = EndpointRecord {
        started_at: Some(1),
        ..endpoint(affinity_endpoint, Role::Prefill)
    };
    harness.handle(Event::EndpointsChanged {
        is_full: false,
        endpoints: vec![restarted],
    });
    let sent_elsewhere = (2_000..2_040).filter(|id| {
        let prefill = started_endpoint(
            &harness.submit(RequestMetadata {
                prompt_tokens: 2_200.0,
                ..request(*id, 5_000)
            }),
            *id,
        );
        harness.handle(Event::ClientDisconnected { id: *id });
        prefill != Some(affinity_endpoint)
    });
    assert!(
        sent_elsewhere.count() > 15,
        "a restart must clear the endpoint's entries in the prefix cache index"
    );
}

/// Guards against overload after prefix caches are flushed: no endpoint's match reached the threshold, and
/// all prefill endpoints were treated alike.
#[test]
fn partly_cached_sessions_keep_to_their_affinity_endpoint() {
    let mut harness = harness();
    for id in 0..80 {
        harness.serve_with(request(id, id), |_| 40 * MS, 1_000.0, 30 * MS, 50 * MS);
    }
    let mut endpoints_of_session = |session: u64, turns: u64| {
        let endpoints = (0..turns).map(|turn| {
            let id = session * 100 + turn;
            let prefill = started_endpoint(&harness.submit(request(id, session)), id);
            harness.handle(Event::ClientDisconnected { id });
            harness.end_attempt(id, 0, prefill.unwrap_or_default(), AttemptStatus::Cancelled);
            prefill
        });
        endpoints.collect::<Vec<_>>()
    };
    let consistent = (1_000..1_030).filter(|session| {
        endpoints_of_session(*session, 3)
            .windows(2)
            .all(|pair| pair[0] == pair[1])
    });
    let consistent = consistent.count();
    assert!(
        consistent >= 25,
        "{consistent} of 30 sessions kept to one prefill endpoint"
    );
}

/// Prefill endpoints evict the oldest prefix when their memory is full. Guards against an index that still
/// lists it: sessions were sent to an endpoint that had to prefill them again, behind other requests.
#[test]
fn the_prefix_index_records_no_more_than_an_endpoint_can_cache() {
    let mut harness = trained_harness();
    let early_sessions: Vec<_> = (1_000..1_020)
        .map(|id| {
            (
                id,
                harness.serve(request(id, id), 40 * MS, 30 * MS, 50 * MS)[0],
            )
        })
        .collect();
    // 75 prompts of 2,000 tokens for each prefill endpoint, which can cache 200,000 tokens for both routers
    // together.
    for id in 2_000..2_300 {
        harness.serve(request(id, id), 40 * MS, 30 * MS, 50 * MS);
    }
    let returned = early_sessions.into_iter().filter(|(session, prefill)| {
        let next = started_endpoint(
            &harness.submit(RequestMetadata {
                prompt_tokens: 2_200.0,
                ..request(session + 5_000, *session)
            }),
            session + 5_000,
        );
        harness.handle(Event::ClientDisconnected {
            id: session + 5_000,
        });
        harness.end_attempt(
            session + 5_000,
            0,
            next.expect("sent"),
            AttemptStatus::Cancelled,
        );
        next == Some(*prefill)
    });
    assert!(returned.count() <= 12);
}

/// Returns how many of 60 requests go to prefill endpoint 1, one of four, after its prefix cache was flushed and
/// has filled again.
fn sends_to_flushed_endpoint(seed: u64) -> usize {
    let classes = vec![
        class(3.0, Idempotency::Idempotent),
        class(1.0, Idempotency::Idempotent),
    ];
    let mut harness = RouterHarness::seeded(settings(classes), fleet(), seed);
    let prefill_once = |harness: &mut RouterHarness,
                        id: u64,
                        session: u64,
                        prompt: f64,
                        is_flushed: bool,
                        is_second_turn: bool| {
        let prefill = started_endpoint(
            &harness.submit(RequestMetadata {
                prompt_tokens: prompt,
                ..request(id, session)
            }),
            id,
        )
        .expect("sent");
        let cached_tokens = if is_second_turn && !(is_flushed && prefill == 1) {
            prompt - 200.0
        } else {
            0.0
        };
        harness.advance(10 * MS + ((prompt - cached_tokens) * 0.05) as u64 * MS);
        harness.end_attempt_with_cached_tokens(
            id,
            0,
            prefill,
            AttemptStatus::PrefillDone,
            cached_tokens,
        );
        harness.handle(Event::ClientDisconnected { id });
        harness.end_attempt(id, 1, 11, AttemptStatus::Cancelled);
        harness.advance(20 * MS);
        prefill
    };
    for id in 0..80 {
        prefill_once(
            &mut harness,
            id,
            id,
            1_000.0 + 50.0 * id as f64,
            false,
            false,
        );
    }
    for id in 0..80 {
        prefill_once(
            &mut harness,
            100 + id,
            id,
            1_200.0 + 50.0 * id as f64,
            true,
            true,
        );
    }
    (1_000..1_060)
        .filter(|id| prefill_once(&mut harness, *id, *id, 2_000.0, false, false) == 1)
        .count()
}

/// After a flush, a prefill endpoint is slow for prefixes that the index still lists, because it prefills more
/// tokens than the index predicts. Its speed per token is unchanged, so routing must not avoid it.
#[test]
fn a_prefill_endpoint_that_was_flushed_is_not_taken_for_slow() {
    // Over 20 seeds, as a single one can't tell the fault (11 of 60) from its absence (17 of 60).
    let to_flushed: usize = (0..20).map(sends_to_flushed_endpoint).sum();
    assert!(
        to_flushed >= 300,
        "{to_flushed} of 1200 requests went to the flushed prefill endpoint"
    );
}

/// Returns the endpoint of each prefix in a fleet of six prefill endpoints, two of which restarted `age` ago.
fn endpoints_of_prefixes_during_slow_start(age: Time) -> Vec<Option<EndpointId>> {
    let in_slow_start = |id| EndpointRecord {
        started_at: Some(20 * SECOND),
        ..endpoint(id, Role::Prefill)
    };
    let prefill_endpoints = (1..=4)
        .map(|id| endpoint(id, Role::Prefill))
        .chain([in_slow_start(5), in_slow_start(6)]);
    let fleet: Vec<_> = prefill_endpoints
        .chain([endpoint(12, Role::Decode)])
        .collect();
    let prefix = |prefix: u64| {
        // Each prefix has a new router, one of 100, that has sent nothing to an endpoint in slow start yet.
        let settings_of_100_routers = RoutingSettings {
            dispatchers: 100,
            ..settings(vec![class(1.0, Idempotency::Idempotent)])
        };
        let mut harness = RouterHarness::new(settings_of_100_routers, fleet.clone());
        harness.now = 20 * SECOND + age;
        let request = RequestMetadata {
            prefix: Some(quartzhall::config::fnv1a_hash(&prefix.to_string())),
            prefix_tokens: 1_800.0,
            ..request(prefix, prefix)
        };
        started_endpoint(&harness.submit(request), prefix)
    };
    (0..400).map(prefix).collect()
}

/// Guards against slow-start draws that ignore prefixes. Of 20 requests with affinity for an endpoint in slow
/// start, 19 were prefilled at any endpoint with room. That evicted cached prefixes in the whole fleet.
#[test]
fn prefixes_move_to_an_endpoint_in_slow_start_as_it_warms_up() {
    let endpoints_at_start = endpoints_of_prefixes_during_slow_start(0);
    let endpoints_later = endpoints_of_prefixes_during_slow_start(5 * SECOND);
    let count_in_slow_start = |endpoints: &[Option<EndpointId>]| {
        endpoints
            .iter()
            .filter(|endpoint| **endpoint > Some(4))
            .count()
    };
    let (count_at_start, count_later) = (
        count_in_slow_start(&endpoints_at_start),
        count_in_slow_start(&endpoints_later),
    );
    assert!(
        (20..=90).contains(&count_at_start),
        "{count_at_start} of 400 prefixes went to endpoints at the start of slow start"
    );
    assert!(
        count_later > count_at_start + 15,
        "{count_at_start}, then {count_later} of 400 prefixes went to endpoints in slow start"
    );
    let moved = endpoints_at_start
        .iter()
        .zip(&endpoints_later)
        .filter(|(before, after)| before != after && **after <= Some(4))
        .count();
    assert!(
        moved < 40,
        "{moved} prefixes moved to a warm prefill endpoint"
    );
}

/// A zone's only prefill endpoint must not be the only affinity endpoint of a prefix. Otherwise, while it is
/// ejected, each router has the prefix prefilled at a different endpoint.
#[test]
fn prefixes_of_a_zone_with_one_prefill_endpoint_have_another_in_a_remote_zone() {
    let remote_prefill_endpoints = (2..=5).map(|id| EndpointRecord {
        zone: 1,
        cell: 1,
        ..endpoint(id, Role::Prefill)
    });
    let decode_endpoints = [
        endpoint(11, Role::Decode),
        EndpointRecord {
            zone: 1,
            cell: 1,
            ..endpoint(12, Role::Decode)
        },
    ];
    let fleet: Vec<_> = remote_prefill_endpoints
        .chain([endpoint(1, Role::Prefill)])
        .chain(decode_endpoints)
        .collect();
    let mut affinity_endpoints = std::collections::BTreeSet::new();
    for prefix in 0..12 {
        let with_prefix = |id| RequestMetadata {
            prefix: Some(quartzhall::config::fnv1a_hash(&prefix.to_string())),
            prefix_tokens: 1_800.0,
            ..request(id, id)
        };
        let mut used = std::collections::BTreeSet::new();
        for seed in 1..=4 {
            let routing_settings = settings(vec![class(1.0, Idempotency::Idempotent)]);
            let mut harness = RouterHarness::seeded(routing_settings, fleet.clone(), seed);
            harness.handle(Event::ProbeCompleted {
                endpoint: 1,
                is_healthy: false,
                load: None,
            });
            used.extend(started_endpoint(&harness.submit(with_prefix(seed)), seed));
        }
        assert_eq!(used.len(), 1, "prefix {prefix} went to {used:?}");
        affinity_endpoints.extend(used);
    }
    assert!(
        affinity_endpoints.len() > 1,
        "all prefixes have the same affinity endpoint: {affinity_endpoints:?}"
    );
}

/// A hedged prefill must go to an affinity endpoint. At any other endpoint it evicts prefixes that other requests
/// reuse.
#[test]
fn a_hedge_goes_to_an_affinity_endpoint() {
    let endpoints = (1..=8)
        .map(|id| endpoint(id, Role::Prefill))
        .chain([endpoint(12, Role::Decode)]);
    let fleet: Vec<_> = endpoints.collect();
    let harness = |seed| {
        let mut harness = harness();
        harness.router = Router::new(settings(vec![class(3.0, Idempotency::Idempotent)]), seed, 0);
        harness.handle(Event::EndpointsChanged {
            is_full: true,
            endpoints: fleet.clone(),
        });
        let prefix = RequestMetadata {
            prefix: Some(77),
            prefix_tokens: 1_900.0,
            ..request(1, seed)
        };
        let first = started_endpoint(&harness.submit(prefix), 1).expect("a prefill");
        (harness, first)
    };
    let affinity_endpoints: std::collections::BTreeSet<_> =
        (0..20).map(|seed| harness(seed).1).collect();
    assert!(affinity_endpoints.len() < 4, "{affinity_endpoints:?}");
    let sent_elsewhere = (0..20).filter(|seed| {
        let (mut harness, _) = harness(*seed);
        // The affinity endpoints are busy, and all others are idle.
        for endpoint_id in 1..=8 {
            let in_flight = Some(if affinity_endpoints.contains(&endpoint_id) {
                25.0
            } else {
                0.0
            });
            harness.handle(Event::PeerLoadReport {
                endpoint: endpoint_id,
                load: Some(LoadReport {
                    in_flight,
                    ..LoadReport::default()
                }),
            });
        }
        started_endpoint(&harness.advance(2 * SECOND), 1)
            .is_some_and(|second| !affinity_endpoints.contains(&second))
    });
    assert_eq!(
        sent_elsewhere.count(),
        0,
        "hedged prefills were sent to endpoints without affinity for the prefix"
    );
}
