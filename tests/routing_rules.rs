//! Edge cases of the five rules of the interface: on final responses, reservations, repeats, hedges and
//! draining endpoints.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

/// Returns two mixed endpoints in different zones and cells.
fn mixed_endpoints() -> Vec<EndpointRecord> {
    vec![
        endpoint(1, Role::Mixed),
        EndpointRecord {
            zone: 1,
            cell: 1,
            ..endpoint(2, Role::Mixed)
        },
    ]
}

#[test]
fn a_request_without_endpoints_has_one_final_response_in_time() {
    let mut harness = harness_with(Idempotency::Idempotent, vec![]);
    let mut actions = harness.submit(request(1, 1));
    actions.extend(harness.advance(4 * SECOND));
    assert_eq!(count_final_responses(&actions, 1), 1);
    assert_eq!(started_endpoint(&actions, 1), None);
}

#[test]
fn a_silent_prefill_endpoint_does_not_delay_the_final_response() {
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    let mut actions = harness.submit(request(1, 1));
    assert_eq!(started_endpoint(&actions, 1), Some(1));
    actions.extend(harness.advance(3_990 * MS));
    assert_eq!(count_final_responses(&actions, 1), 0);
    actions.extend(harness.advance(10 * MS));
    assert_eq!(count_final_responses(&actions, 1), 1);
    let late = harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone);
    assert!(
        late.contains(&Action::ReleaseReservation { id: 1 }),
        "the KV cache of a late prefill is released: {late:?}"
    );
    assert_eq!(started_endpoint(&late, 1), None);
}

/// Each attempt at an unreachable decode endpoint takes the whole connect timeout, so none may start
/// shortly before the reservation expires.
#[test]
fn an_unreachable_decode_endpoint_is_not_tried_beyond_the_reservation_ttl() {
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    harness.submit(request(1, 1));
    let mut actions = harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone);
    let prefilled_at = harness.now;
    for attempt in 1..4 {
        assert_eq!(
            started_endpoint(&actions, 1),
            Some(2),
            "after {} us",
            harness.now - prefilled_at
        );
        harness.advance(150 * MS);
        actions = harness.end_attempt(1, attempt, 2, AttemptStatus::ConnectFailed);
    }
    assert_eq!(
        (
            started_endpoint(&actions, 1),
            count_final_responses(&actions, 1)
        ),
        (None, 1)
    );
    assert!(
        actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

#[test]
fn the_deadline_of_the_request_counts_and_not_its_class() {
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    let mut actions = harness.submit(RequestMetadata {
        time_left: 300 * MS,
        ..request(1, 1)
    });
    actions.extend(harness.advance(300 * MS));
    assert_eq!(count_final_responses(&actions, 1), 1);
}

#[test]
fn after_a_client_disconnects_its_reservation_is_released() {
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    harness.submit(request(1, 1));
    let mut actions = harness.handle(Event::ClientDisconnected { id: 1 });
    actions.extend(harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone));
    actions.extend(harness.advance(5 * SECOND));
    assert_eq!(count_final_responses(&actions, 1), 0);
    assert_eq!(started_endpoint(&actions, 1), None);
    assert!(actions.contains(&Action::ReleaseReservation { id: 1 }));
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_repeated() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let mut harness = harness_with(Idempotency::NonIdempotent, mixed_endpoints());
        let sent = started_endpoint(&harness.submit(request(1, 1)), 1).expect("sent");
        let mut actions = harness.end_attempt(1, 0, sent, status);
        actions.extend(harness.advance(4 * SECOND));
        assert_eq!(started_endpoint(&actions, 1), None, "{status:?}");
        let failed = Action::Fail {
            id: 1,
            reason: FailureReason::NotRepeatable,
        };
        assert!(actions.contains(&failed), "{status:?}: {actions:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_repeated() {
    for status in [AttemptStatus::Overloaded, AttemptStatus::ConnectFailed] {
        let mut harness = harness_with(Idempotency::NonIdempotent, mixed_endpoints());
        let sent = started_endpoint(&harness.submit(request(1, 1)), 1).expect("sent");
        let again = harness.end_attempt(1, 0, sent, status);
        assert!(started_endpoint(&again, 1).is_some(), "{status:?}");
    }
}

#[test]
fn a_request_with_a_key_is_repeated_only_in_its_scope_and_window() {
    let window = SECOND;
    for (scope, wait, may_repeat) in [
        (DeduplicationScope::AllEndpoints, 0, true),
        (DeduplicationScope::Zone, 0, false),
        (DeduplicationScope::Cell, 0, false),
        (DeduplicationScope::AllEndpoints, 2 * SECOND, false),
    ] {
        let mut harness = harness_with(
            Idempotency::IdempotencyKey { scope, window },
            mixed_endpoints(),
        );
        let sent = started_endpoint(&harness.submit(request(1, 1)), 1).expect("sent");
        harness.advance(wait);
        // The first endpoint is removed, so only the other one could take the repeat.
        let removed = EndpointRecord {
            status: EndpointStatus::Removed,
            ..endpoint(sent, Role::Mixed)
        };
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                zone: sent - 1,
                cell: sent - 1,
                ..removed
            }],
        });
        let mut actions = harness.end_attempt(1, 0, sent, AttemptStatus::Error);
        actions.extend(harness.advance(4 * SECOND));
        assert_eq!(
            started_endpoint(&actions, 1).is_some(),
            may_repeat,
            "{scope:?} after {wait}"
        );
        let shed = actions
            .iter()
            .any(|action| matches!(action, Action::Shed { .. }));
        assert!(
            !shed,
            "repeats are no longer dropped by then, so a retry is not safe"
        );
    }
}

/// Shedding tells the client that a retry is safe. After an attempt that may have run, that is true only
/// while all endpoints drop repeats.
#[test]
fn what_may_have_run_is_shed_only_while_repeats_are_dropped() {
    for (scope, time_to_shutdown, shed) in [
        (DeduplicationScope::AllEndpoints, 500 * MS, true),
        (DeduplicationScope::AllEndpoints, 1_500 * MS, false),
        (DeduplicationScope::Zone, 500 * MS, false),
        (DeduplicationScope::Cell, 500 * MS, false),
    ] {
        let mut harness = harness_with(
            Idempotency::IdempotencyKey {
                scope,
                window: SECOND,
            },
            mixed_endpoints(),
        );
        started_endpoint(&harness.submit(request(1, 1)), 1).expect("sent");
        let end = harness.now + time_to_shutdown;
        let mut actions = harness.handle(Event::ShutdownDeadline(end));
        actions.extend(harness.advance(time_to_shutdown + 10 * MS));
        let sheds = actions
            .iter()
            .filter(|action| matches!(action, Action::Shed { .. }))
            .count();
        assert_eq!(
            (count_final_responses(&actions, 1), sheds == 1),
            (1, shed),
            "{scope:?} after {time_to_shutdown}"
        );
    }
}

#[test]
fn no_hedge_where_hedging_is_not_allowed() {
    let settings = RoutingSettings {
        hedging_allowed: false,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let mut harness = RouterHarness::new(
        settings,
        vec![
            endpoint(1, Role::Prefill),
            endpoint(3, Role::Prefill),
            endpoint(2, Role::Decode),
        ],
    );
    for id in 0..60 {
        harness.serve(request(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let mut actions = harness.submit(request(100, 100));
    actions.extend(harness.advance(3 * SECOND));
    let sends = actions
        .iter()
        .filter(|action| matches!(action, Action::StartAttempt { id: 100, .. }))
        .count();
    assert_eq!(sends, 1);
}

#[test]
fn nothing_is_sent_to_a_draining_endpoint() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                status,
                ..endpoint(1, Role::Prefill)
            }],
        });
        let mut actions = harness.submit(request(1, 1));
        actions.extend(harness.advance(4 * SECOND));
        assert_eq!(started_endpoint(&actions, 1), None, "{status:?}");
    }
    let mut harness = harness_with(Idempotency::Idempotent, prefill_and_decode());
    harness.handle(Event::EndpointsChanged {
        is_full: true,
        endpoints: vec![endpoint(2, Role::Decode)],
    });
    assert_eq!(
        started_endpoint(&harness.submit(request(1, 1)), 1),
        None,
        "absent from a complete list"
    );
}

#[test]
fn a_kv_cache_that_no_decode_endpoint_takes_is_released_in_time() {
    let mut harness = harness_with(Idempotency::Idempotent, vec![endpoint(1, Role::Prefill)]);
    harness.submit(request(1, 1));
    harness.advance(50 * MS);
    let mut actions = harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone);
    actions.extend(harness.advance(499 * MS));
    assert!(
        actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

#[test]
fn a_hedge_prefilled_after_the_first_token_is_released() {
    let mut harness = harness_with(
        Idempotency::Idempotent,
        vec![
            endpoint(1, Role::Prefill),
            endpoint(3, Role::Prefill),
            endpoint(2, Role::Decode),
        ],
    );
    for id in 0..60 {
        harness.serve(request(id, id), 20 * MS, 20 * MS, 20 * MS);
    }
    let first = started_endpoint(&harness.submit(request(100, 100)), 100).expect("sent");
    let second =
        started_endpoint(&harness.advance(SECOND), 100).expect("an overdue prefill is hedged");
    assert_ne!(first, second);
    let actions = harness.end_attempt(100, 1, second, AttemptStatus::PrefillDone);
    assert!(actions.contains(&Action::CancelAttempt {
        id: 100,
        attempt: 0
    }));
    harness.handle(Event::FirstEvent {
        id: 100,
        attempt: 2,
    });
    assert!(harness
        .end_attempt(100, 0, first, AttemptStatus::PrefillDone)
        .contains(&Action::ReleaseReservation { id: 100 }));
}

/// An overdue prefill of an idempotent request is hedged. A non-idempotent one waits, because nothing
/// proves that the prefill in flight had no effect.
#[test]
fn no_hedged_prefill_of_a_non_idempotent_request() {
    for (idempotency, hedges) in [
        (Idempotency::Idempotent, 1),
        (Idempotency::NonIdempotent, 0),
    ] {
        let endpoints = vec![
            endpoint(1, Role::Prefill),
            endpoint(3, Role::Prefill),
            endpoint(2, Role::Decode),
        ];
        let mut harness = harness_with(idempotency, endpoints);
        assert!(started_endpoint(&harness.submit(request(1, 1)), 1).is_some());
        let actions = harness.advance(3_900 * MS);
        let sends = actions
            .iter()
            .filter(|action| matches!(action, Action::StartAttempt { id: 1, .. }))
            .count();
        assert_eq!(sends, hedges, "{idempotency:?}: {actions:?}");
    }
}

/// Guards against the release of a KV cache that a decode endpoint is still fetching. The hedge completes
/// its prefill during that time: a release would drop both KV caches, and the decode endpoint would find
/// none. What is left is released with the first token.
#[test]
fn a_hedged_prefill_that_ends_releases_nothing_before_the_first_token() {
    let endpoints = vec![
        endpoint(1, Role::Prefill),
        endpoint(3, Role::Prefill),
        endpoint(2, Role::Decode),
    ];
    let mut harness = harness_with(Idempotency::Idempotent, endpoints);
    let first = started_endpoint(&harness.submit(request(1, 1)), 1).expect("a prefill");
    let second = started_endpoint(&harness.advance(3_000 * MS), 1).expect("a hedge");
    let actions = harness.end_attempt(1, 0, first, AttemptStatus::PrefillDone);
    assert_eq!(started_endpoint(&actions, 1), Some(2));
    let actions = harness.end_attempt(1, 1, second, AttemptStatus::PrefillDone);
    assert!(
        !actions.contains(&Action::ReleaseReservation { id: 1 }),
        "{actions:?}"
    );
}

/// Nothing more can be done for such a request, and its client can act on that at once instead of near its
/// deadline.
#[test]
fn what_may_have_run_and_must_not_run_again_fails_at_once() {
    for status in [
        AttemptStatus::Error,
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let mut harness = harness_with(
            Idempotency::NonIdempotent,
            [prefill_and_decode(), vec![endpoint(3, Role::Decode)]].concat(),
        );
        harness.submit(request(1, 1));
        let decode = started_endpoint(&harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone), 1)
            .expect("a decode endpoint");
        let actions = harness.end_attempt(1, 1, decode, status);
        let failed = Action::Fail {
            id: 1,
            reason: FailureReason::NotRepeatable,
        };
        assert!(actions.contains(&failed), "{status:?}: {actions:?}");
        assert!(
            actions.contains(&Action::ReleaseReservation { id: 1 }),
            "{status:?}: {actions:?}"
        );
        assert_eq!(count_final_responses(&harness.advance(5 * SECOND), 1), 0);
    }
}

/// A decode endpoint that failed may have consumed the KV cache. With three attempts left, another decode
/// endpoint is tried. The last two are kept for a new prefill and its decode attempt, so that none is spent
/// on finding the KV cache missing.
#[test]
fn the_last_two_attempts_are_a_new_prefill_and_its_decode() {
    for (max_attempts, next_role) in [(5, Role::Decode), (4, Role::Prefill)] {
        let settings = RoutingSettings {
            max_attempts,
            ..settings(vec![class(1.0, Idempotency::Idempotent)])
        };
        let endpoints = [
            prefill_and_decode(),
            vec![endpoint(3, Role::Decode), endpoint(4, Role::Prefill)],
        ]
        .concat();
        let mut harness = RouterHarness::new(settings, endpoints);
        let prefill =
            started_endpoint(&harness.submit(request(1, 1)), 1).expect("a prefill endpoint");
        let decode = started_endpoint(
            &harness.end_attempt(1, 0, prefill, AttemptStatus::PrefillDone),
            1,
        )
        .expect("a decode endpoint");
        let next = started_endpoint(&harness.end_attempt(1, 1, decode, AttemptStatus::Error), 1)
            .expect("sent again");
        assert_eq!(matches!(next, 2 | 3), next_role == Role::Decode, "{next}");
    }
}
