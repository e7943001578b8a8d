//! Normal operation of a router: placement, decode endpoints and load shedding. The same seed and events
//! give the same decisions.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

/// Guards against a transfer cost that kept KV caches at decode endpoints with full memory until all of
/// them were late.
#[test]
fn a_kv_cache_leaves_its_cell_before_a_stalled_decode_endpoint_there_is_hopeless() {
    let in_cell = |id, role, cell| EndpointRecord {
        cell,
        ..endpoint(id, role)
    };
    let fleet = [
        in_cell(1, Role::Prefill, 0),
        in_cell(11, Role::Decode, 0),
        in_cell(12, Role::Decode, 1),
    ];
    let settings = RoutingSettings {
        kv_transfer_cost: 0.08,
        load_reporting: LoadReporting::Never,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut harness = harness_after_serving(settings, fleet.to_vec(), 50 * MS);
    let mut decode_after = |id, wait| {
        let prefill =
            started_endpoint(&harness.submit(request(id, id)), id).expect("a prefill attempt");
        harness.advance(40 * MS);
        let decode = started_endpoint(
            &harness.end_attempt(id, 0, prefill, AttemptStatus::PrefillDone),
            id,
        )
        .expect("a decode attempt");
        harness.advance(wait);
        decode
    };
    let in_own_cell = (1_000..1_004)
        .filter(|id| decode_after(*id, 10 * MS) == 11)
        .count();
    assert_eq!(in_own_cell, 4, "nothing is late yet");
    decode_after(2_000, 400 * MS);
    let in_other_cell = (3_000..3_010)
        .filter(|id| decode_after(*id, MS) == 12)
        .count();
    assert!(
        in_other_cell >= 8,
        "{in_other_cell} of 10 avoided a decode endpoint that has been silent for 0.4 s of an objective of 1 s"
    );
}

#[test]
fn a_decode_endpoint_is_not_filled_beyond_its_memory() {
    // Without load reports, the router's own counts estimate the memory use of a decode endpoint: 20 of
    // these prompts fill one.
    let in_cell = |id, role, cell| EndpointRecord {
        cell,
        kv_capacity_tokens: 50_000.0,
        ..endpoint(id, role)
    };
    let fleet = [
        in_cell(1, Role::Prefill, 0),
        in_cell(11, Role::Decode, 0),
        in_cell(12, Role::Decode, 1),
    ];
    let settings = RoutingSettings {
        dispatchers: 1,
        kv_transfer_cost: 0.08,
        load_reporting: LoadReporting::Never,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut harness = harness_after_serving(settings, fleet.to_vec(), 2 * SECOND);
    let mut decode_endpoints = vec![];
    for id in 1_000..1_040 {
        let prefill =
            started_endpoint(&harness.submit(request(id, id)), id).expect("a prefill attempt");
        harness.advance(40 * MS);
        let decode = started_endpoint(
            &harness.end_attempt(id, 0, prefill, AttemptStatus::PrefillDone),
            id,
        )
        .expect("a decode attempt");
        harness.advance(30 * MS);
        harness.handle(Event::FirstEvent { id, attempt: 1 });
        decode_endpoints.push(decode);
    }
    let in_own_cell = decode_endpoints.iter().filter(|id| **id == 11).count();
    assert!(
        (20..=32).contains(&in_own_cell),
        "{in_own_cell} of 40 in the prefill endpoint's cell, where there is memory for 24"
    );
    let early_in_own_cell = decode_endpoints[..14]
        .iter()
        .filter(|id| **id == 11)
        .count();
    assert!(
        early_in_own_cell >= 12,
        "{early_in_own_cell} of the first 14: the cell is left only when its memory is nearly full"
    );
}

/// Returns the actions for a request whose prefill endpoint falls silent. `others_are_answered` is whether
/// later requests at that endpoint are answered.
fn actions_after_silence(hedging_allowed: bool, others_are_answered: bool) -> Vec<Action> {
    let settings = RoutingSettings {
        hedging_allowed,
        ..settings(vec![class(3.0, Idempotency::Idempotent)])
    };
    let mut harness = harness_after_serving(settings, fleet(), 50 * MS);
    let prefill = started_endpoint(&harness.submit(request(1_000, 1_000)), 1_000).expect("sent");
    harness.advance(2 * MS);
    let later = (2_000..2_020)
        .filter(|id| started_endpoint(&harness.submit(request(*id, *id)), *id) == Some(prefill));
    let later: Vec<RequestId> = later.collect();
    assert!(
        !later.is_empty(),
        "some requests are sent to the same prefill endpoint"
    );
    let mut actions = harness.advance(40 * MS);
    for id in later.into_iter().filter(|_| others_are_answered) {
        actions.extend(harness.end_attempt(id, 0, prefill, AttemptStatus::PrefillDone));
    }
    actions.extend(harness.advance(SECOND));
    actions.extend(harness.end_attempt(1_000, 0, prefill, AttemptStatus::Cancelled));
    let concerns_request = |action: &Action| {
        matches!(
            action,
            Action::CancelAttempt { id: 1_000, .. } | Action::StartAttempt { id: 1_000, .. }
        )
    };
    actions.retain(concerns_request);
    actions
}

/// Guards against a silent connection that held its request until the client's deadline: no hedge was
/// allowed, and nothing ended the first attempt.
#[test]
fn a_prefill_whose_response_is_lost_is_cancelled_where_hedging_is_not_allowed() {
    let lost = actions_after_silence(false, true);
    assert!(
        matches!(
            lost[0],
            Action::CancelAttempt {
                id: 1_000,
                attempt: 0
            }
        ),
        "{lost:?}"
    );
    assert!(
        matches!(lost[1], Action::StartAttempt { id: 1_000, .. }),
        "sent elsewhere once the first attempt has ended: {lost:?}"
    );
    let hedged = actions_after_silence(true, true);
    assert!(
        matches!(hedged[0], Action::StartAttempt { id: 1_000, .. }),
        "hedged where that is allowed: {hedged:?}"
    );
    // A prefill endpoint that is only slow responds in order, so requests that are queued there are not
    // sent elsewhere.
    let queued = actions_after_silence(false, false);
    assert!(
        !matches!(queued[0], Action::CancelAttempt { .. }),
        "{queued:?}"
    );
}

#[test]
fn an_overloaded_decode_endpoint_leaves_the_kv_cache_to_another() {
    let mut harness = trained_harness();
    let prefill = started_endpoint(&harness.submit(request(1_000, 1_000)), 1_000).expect("sent");
    let decode = started_endpoint(
        &harness.end_attempt(1_000, 0, prefill, AttemptStatus::PrefillDone),
        1_000,
    )
    .expect("a decode endpoint");
    let next = started_endpoint(
        &harness.end_attempt(1_000, 1, decode, AttemptStatus::Overloaded),
        1_000,
    )
    .expect("another decode endpoint");
    assert!(next > 10 && next != decode);
}

#[test]
fn a_missing_kv_cache_is_prefilled_again() {
    let mut harness = trained_harness();
    let prefill = started_endpoint(&harness.submit(request(1_000, 1_000)), 1_000).expect("sent");
    let decode = started_endpoint(
        &harness.end_attempt(1_000, 0, prefill, AttemptStatus::PrefillDone),
        1_000,
    )
    .expect("a decode endpoint");
    let again = started_endpoint(
        &harness.end_attempt_with_cached_tokens(
            1_000,
            1,
            decode,
            AttemptStatus::KvStateMissing,
            0.0,
        ),
        1_000,
    )
    .expect("prefilled again");
    assert!(again < 10);
}

#[test]
fn overload_sheds_the_lowest_weight_before_its_prefill() {
    let mut harness = trained_harness();
    let (mut shed, mut late_unsent) = ([0; 2], 0);
    for id in 1_000..1_400 {
        let class = (id % 2) as usize;
        let actions = harness.submit(RequestMetadata {
            class,
            ..request(id, id)
        });
        shed[class] += count_final_responses(&actions, id);
        late_unsent += usize::from(id >= 1_350 && started_endpoint(&actions, id).is_none());
        harness.advance(4 * MS);
    }
    assert!(shed[1] > shed[0], "{shed:?}");
    assert!(
        late_unsent > 25,
        "hardly any request is prefilled once none could meet its objective"
    );
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = || {
        let mut harness = trained_harness();
        (1_000..1_200)
            .flat_map(|id| harness.submit(request(id, id % 17)))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn a_broken_subscription_is_renewed() {
    let settings = RoutingSettings {
        must_poll_endpoints: true,
        ..settings(vec![class(1.0, Idempotency::Idempotent)])
    };
    let mut harness = RouterHarness::new(settings, fleet());
    harness.handle(Event::EndpointListFailed);
    let watches = harness
        .advance(2 * SECOND)
        .into_iter()
        .filter(|action| *action == Action::WatchEndpoints)
        .count();
    assert_eq!(watches, 1);
}

#[test]
fn invalid_reports_and_unknown_ids_are_ordinary_input() {
    let mut harness = trained_harness();
    for value in [f64::NAN, f64::INFINITY, -1e300, 1e300, 0.0] {
        let load = LoadReport {
            in_flight: Some(value),
            queued: Some(value),
            kv_memory_share: Some(value),
            pending_prefill_kilotokens: Some(value),
        };
        for endpoint_id in 0..20 {
            harness.handle(Event::ProbeCompleted {
                endpoint: endpoint_id,
                is_healthy: true,
                load: Some(load),
            });
        }
        harness.handle(Event::FirstEvent {
            id: 9_999,
            attempt: 7,
        });
        harness.handle(Event::ClientDisconnected { id: 9_999 });
        let id = 5_000 + harness.now;
        let actions = harness.submit(request(id, 1));
        assert!(
            started_endpoint(&actions, id).is_some() || count_final_responses(&actions, id) == 1,
            "{value}: {actions:?}"
        );
        harness.now += MS;
    }
}
