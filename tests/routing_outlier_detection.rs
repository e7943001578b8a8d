//! Outlier detection: slow, stalled and failing endpoints are avoided or ejected, and no others are.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

#[test]
fn a_slow_prefill_endpoint_is_learned_and_avoided() {
    let settings = RoutingSettings {
        hedging_allowed: false,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut harness = harness_after_serving(settings, fleet(), 50 * MS);
    let mut sent_to_slow = 0;
    for id in 1_000..1_100 {
        let prefill_time = |prefill| if prefill == 1 { 700 * MS } else { 40 * MS };
        let prefill = harness.serve_with(request(id, id), prefill_time, 0.0, 30 * MS, 50 * MS)[0];
        sent_to_slow += usize::from(prefill == 1);
    }
    assert!(
        sent_to_slow < 15,
        "{sent_to_slow} of 100 went to the slow prefill endpoint"
    );
}

#[test]
fn a_stalled_prefill_endpoint_is_avoided_before_it_answers() {
    let mut harness = trained_harness();
    let stalled = started_endpoint(&harness.submit(request(1_000, 1_000)), 1_000).expect("sent");
    harness.advance(800 * MS);
    let again = (2_000..2_060)
        .filter(|id| started_endpoint(&harness.submit(request(*id, *id)), *id) == Some(stalled))
        .count();
    assert!(
        again <= 8,
        "{again} of 60 went to the stalled prefill endpoint"
    );
}

#[test]
fn a_dead_endpoint_is_ejected_and_then_tried_with_one_request() {
    let mut harness = trained_harness();
    for id in 1_000..1_020 {
        if started_endpoint(&harness.submit(request(id, id)), id) == Some(1) {
            harness.end_attempt(id, 0, 1, AttemptStatus::ConnectFailed);
        }
    }
    let is_avoided =
        (2_000..2_040).all(|id| started_endpoint(&harness.submit(request(id, id)), id) != Some(1));
    assert!(is_avoided, "nothing is sent there during its ejection");
    harness.advance(10 * SECOND);
    let trials = (3_000..3_060)
        .filter(|id| started_endpoint(&harness.submit(request(*id, *id)), *id) == Some(1))
        .count();
    assert!(trials <= 1, "{trials} trials at once");
}

#[test]
fn ejection_never_empties_the_pool() {
    let mut harness = harness();
    for id in 0..40 {
        if let Some(prefill) = started_endpoint(&harness.submit(request(id, id)), id) {
            harness.end_attempt(id, 0, prefill, AttemptStatus::Reset);
        }
    }
    assert!(
        started_endpoint(&harness.submit(request(100, 100)), 100).is_some(),
        "all are ejected, and one is used nevertheless"
    );
}

/// An endpoint that refuses requests at once has few in flight. Judged by those alone, it would look idle and be
/// sent even more.
#[test]
fn a_prefill_endpoint_that_refuses_requests_at_once_is_not_taken_for_idle() {
    let mut harness = trained_harness();
    let mut sent = 0;
    for id in 1_000..1_100 {
        let actions = harness.submit(request(id, id));
        if started_endpoint(&actions, id) == Some(1) {
            sent += 1;
            harness.end_attempt(id, 0, 1, AttemptStatus::Overloaded);
        }
        harness.handle(Event::ClientDisconnected { id });
        harness.advance(4 * MS);
    }
    assert!(
        sent < 8,
        "{sent} of 100 went to the overloaded prefill endpoint"
    );
}

/// Responses that are lost at all endpoints alike don't show an outlier. Ejecting one endpoint after
/// another would send everything to the rest.
#[test]
fn failures_at_all_endpoints_alike_eject_none() {
    let mut harness = trained_harness();
    for id in 1_000..1_200 {
        if id % 7 > 0 {
            harness.serve(request(id, id), 40 * MS, 30 * MS, 50 * MS);
            continue;
        }
        let prefill = started_endpoint(&harness.submit(request(id, id)), id).expect("sent");
        let again = started_endpoint(
            &harness.end_attempt(id, 0, prefill, AttemptStatus::Reset),
            id,
        )
        .expect("sent again");
        harness.handle(Event::ClientDisconnected { id });
        harness.end_attempt(id, 1, again, AttemptStatus::Cancelled);
    }
    let used: std::collections::BTreeSet<_> = (2_000..2_040)
        .filter_map(|id| started_endpoint(&harness.submit(request(id, id)), id))
        .collect();
    assert_eq!(used.len(), 4, "{used:?}");
}

/// An endpoint may refuse one class and serve the others, whose success says nothing about the refused
/// class. Where most of the fleet refuses a class, its requests go to the rest.
#[test]
fn a_class_that_most_prefill_endpoints_refuse_goes_to_the_rest() {
    let mut harness = trained_harness();
    let (mut refused_attempts, mut other_class_endpoints) = (0, std::collections::BTreeSet::new());
    for id in 1_000..1_400 {
        let metadata = RequestMetadata {
            class: (id % 2) as usize,
            ..request(id, id)
        };
        if metadata.class == 1 {
            other_class_endpoints.insert(harness.serve(metadata, 40 * MS, 30 * MS, 50 * MS)[0]);
            continue;
        }
        let mut sent = started_endpoint(&harness.submit(metadata), id);
        for attempt in 0.. {
            let Some(endpoint_id) = sent else { break };
            harness.advance(40 * MS);
            sent = match endpoint_id {
                1 => started_endpoint(
                    &harness.end_attempt(id, attempt, 1, AttemptStatus::PrefillDone),
                    id,
                ),
                2..=4 => {
                    refused_attempts += usize::from(id >= 1_300);
                    started_endpoint(
                        &harness.end_attempt(id, attempt, endpoint_id, AttemptStatus::Overloaded),
                        id,
                    )
                }
                _ => {
                    harness.handle(Event::FirstEvent { id, attempt });
                    started_endpoint(
                        &harness.end_attempt(id, attempt, endpoint_id, AttemptStatus::Served),
                        id,
                    )
                }
            };
        }
    }
    assert!(
        refused_attempts <= 10,
        "{refused_attempts} attempts for the last 50 requests went to endpoints that refuse their class"
    );
    assert_eq!(
        other_class_endpoints.len(),
        4,
        "the other class goes to all prefill endpoints: {other_class_endpoints:?}"
    );
}

/// A pooled connection that the endpoint has closed says nothing about the endpoint's health. If the
/// endpoint were ejected for it, its connections would be idle for even longer, and it would stay ejected.
#[test]
fn a_stale_connection_ejects_no_endpoint() {
    let mut harness = trained_harness();
    for id in 1_000..1_010 {
        let prefill = started_endpoint(&harness.submit(request(id, 1_000)), id).expect("sent");
        let again = started_endpoint(
            &harness.end_attempt(id, 0, prefill, AttemptStatus::StaleConnection),
            id,
        )
        .expect("sent again");
        harness.handle(Event::ClientDisconnected { id });
        harness.end_attempt(id, 1, again, AttemptStatus::Cancelled);
    }
    let used: std::collections::BTreeSet<_> = (2_000..2_040)
        .filter_map(|id| started_endpoint(&harness.submit(request(id, id)), id))
        .collect();
    assert_eq!(used.len(), 4, "{used:?}");
}

/// Where one attempt in seven is lost by chance, three losses in a row at one endpoint are chance too; ten
/// are not.
#[test]
fn a_few_failures_by_chance_eject_no_endpoint() {
    for (failures, is_still_used) in [(3, true), (10, false)] {
        let mut harness = trained_harness();
        let metadata = RequestMetadata {
            prompt_tokens: 2_000.0,
            ..request(0, 1_000)
        };
        let affinity_endpoint =
            started_endpoint(&harness.submit(metadata.clone()), 0).expect("sent");
        harness.end_attempt(0, 0, affinity_endpoint, AttemptStatus::Cancelled);
        harness.handle(Event::ClientDisconnected { id: 0 });
        let mut failed = 0;
        for id in 1_000..2_000 {
            let prefill = started_endpoint(
                &harness.submit(RequestMetadata {
                    id,
                    session: Some(id),
                    ..metadata.clone()
                }),
                id,
            )
            .expect("sent");
            let lost = prefill == affinity_endpoint && failed < failures;
            failed += usize::from(lost);
            harness.handle(Event::ClientDisconnected { id });
            harness.end_attempt(
                id,
                0,
                prefill,
                if lost {
                    AttemptStatus::Reset
                } else {
                    AttemptStatus::Cancelled
                },
            );
            if failed == failures {
                break;
            }
        }
        let sent = (3_000..3_060).map(|id| started_endpoint(&harness.submit(request(id, id)), id));
        assert_eq!(
            sent.filter(|prefill| *prefill == Some(affinity_endpoint))
                .count()
                > 0,
            is_still_used,
            "{failures}"
        );
    }
}

/// One of a hundred routers sees a failing decode endpoint only once a minute, but its peers have seen the
/// failures too and report them.
#[test]
fn a_decode_endpoint_that_fails_for_peers_is_avoided() {
    let mut harness = trained_harness();
    let count_at_failing = |harness: &mut RouterHarness, ids: std::ops::Range<u64>| {
        ids.filter(|id| {
            harness
                .serve(request(*id, *id), 40 * MS, 30 * MS, 50 * MS)
                .get(1)
                == Some(&11)
        })
        .count()
    };
    let before = count_at_failing(&mut harness, 1_000..1_060);
    (0..12).for_each(|_| {
        drop(harness.handle(Event::PeerLoadReport {
            endpoint: 11,
            load: None,
        }));
    });
    harness.handle(Event::PeerLoadReport {
        endpoint: 999,
        load: None,
    });
    let after = count_at_failing(&mut harness, 2_000..2_020);
    assert!(
        before >= 10 && after <= 2,
        "{before} of 60 before the reports, {after} of 20 after"
    );
}
