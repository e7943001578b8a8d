//! Routing at both ends of its range: from one router to hundreds, and from a few endpoints to over a hundred.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

const PREFIX: u64 = 0xfeed_beef_0001;

fn fleet(prefill_endpoints: EndpointId) -> Vec<EndpointRecord> {
    let prefill_endpoints = (0..prefill_endpoints).map(|id| endpoint(id, Role::Prefill));
    prefill_endpoints
        .chain((200..204).map(|id| endpoint(id, Role::Decode)))
        .collect()
}

fn harness(settings: &RoutingSettings, endpoints: Vec<EndpointRecord>, seed: u64) -> RouterHarness {
    RouterHarness::seeded(settings.clone(), endpoints, seed)
}

fn settings_of_routers(dispatchers: u32) -> RoutingSettings {
    RoutingSettings {
        dispatchers,
        ..settings(vec![
            class(3.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
        ])
    }
}

fn request_with_prefix(id: RequestId, session: u64) -> RequestMetadata {
    RequestMetadata {
        prefix: Some(PREFIX),
        prefix_tokens: 1_800.0,
        ..request(id, session)
    }
}

#[test]
fn the_first_request_of_any_router_is_sent() {
    for dispatchers in [0, 1, 2, 40, 300] {
        for prefill_endpoints in [2, 5, 100] {
            let mut harness = harness(
                &settings_of_routers(dispatchers),
                fleet(prefill_endpoints),
                3,
            );
            assert!(
                started_endpoint(&harness.submit(request(1, 1)), 1).is_some(),
                "nothing sent: {dispatchers} routers, {prefill_endpoints} prefill endpoints"
            );
        }
    }
}

/// Each router determines affinity endpoints on its own. If routers disagreed, many endpoints would cache the same
/// prefix.
#[test]
fn independent_routers_agree_on_the_affinity_endpoints_of_a_prefix() {
    let mut used = std::collections::BTreeMap::new();
    for seed in 0..60 {
        let mut harness = harness(&settings_of_routers(60), fleet(40), seed);
        let prefill =
            started_endpoint(&harness.submit(request_with_prefix(1, seed)), 1).expect("sent");
        *used.entry(prefill).or_insert(0) += 1;
    }
    assert!(
        used.len() <= 6,
        "60 routers sent a prefix to {} of 40 prefill endpoints: {used:?}",
        used.len()
    );
    assert!(
        used.len() >= 2,
        "a prefix has a single affinity endpoint, and none when it fails"
    );
}

#[test]
fn a_session_has_one_affinity_endpoint_at_all_routers() {
    let affinity_endpoints = (0..60).map(|seed| {
        let turn = RequestMetadata {
            prompt_tokens: 4_000.0,
            ..request_with_prefix(1, 77)
        };
        started_endpoint(
            &harness(&settings_of_routers(60), fleet(40), seed).submit(turn),
            1,
        )
    });
    let affinity_endpoints: Vec<_> = affinity_endpoints.collect();
    let max = affinity_endpoints
        .iter()
        .map(|endpoint| {
            affinity_endpoints
                .iter()
                .filter(|other| *other == endpoint)
                .count()
        })
        .max();
    assert!(
        max >= Some(50),
        "only {max:?} of 60 routers agree on the session's endpoint"
    );
}

#[test]
fn affinity_endpoints_are_in_the_own_zone_while_it_has_prefill_endpoints() {
    let records = fleet(40).into_iter().map(|record| EndpointRecord {
        zone: record.endpoint % 2,
        ..record
    });
    let records: Vec<_> = records.collect();
    let in_own_zone = (0..50).filter(|seed| {
        let mut harness = harness(&settings_of_routers(60), records.clone(), *seed);
        started_endpoint(&harness.submit(request_with_prefix(1, *seed)), 1)
            .is_some_and(|prefill| prefill % 2 == 0)
    });
    assert!(in_own_zone.count() >= 46);
}

#[test]
fn endpoints_are_probed_only_where_their_load_is_unknown() {
    let probing_settings = RoutingSettings {
        probes_allowed: true,
        ..settings_of_routers(200)
    };
    let mut harness = harness(&probing_settings, fleet(40), 5);
    let probes = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|action| {
                if let Action::Probe {
                    endpoint: endpoint_id,
                } = action
                {
                    Some(*endpoint_id)
                } else {
                    None
                }
            })
            .collect::<Vec<_>>()
    };
    let probed = probes(&harness.submit(request(1, 1)));
    assert!(
        (1..=3).contains(&probed.len()),
        "a request causes 1 to 3 probes in a fleet of any size: {probed:?}"
    );
    // The first probed endpoint is idle and the others are busy: the placement waits for these reports and uses
    // them.
    for (index, endpoint_id) in probed.iter().enumerate() {
        let pending = if index == 0 { 0.0 } else { 60.0 };
        let load = LoadReport {
            in_flight: Some(pending),
            queued: None,
            kv_memory_share: Some(0.3),
            pending_prefill_kilotokens: Some(pending),
        };
        harness.handle(Event::ProbeCompleted {
            endpoint: *endpoint_id,
            is_healthy: true,
            load: Some(load),
        });
    }
    let sent =
        started_endpoint(&harness.advance(30 * MS), 1).expect("sent after the probe responses");
    assert!(
        !probed[1..].contains(&sent),
        "sent to a prefill endpoint that reported 60,000 pending tokens"
    );
    assert_eq!(
        probes(&harness.advance(5 * SECOND)).len(),
        0,
        "probes were sent without open requests"
    );
}

#[test]
fn an_endpoint_that_leaves_a_probe_unanswered_is_passed_over() {
    let probing_settings = RoutingSettings {
        probes_allowed: true,
        ..settings_of_routers(200)
    };
    let mut to_unresponsive = 0;
    for seed in 0..30 {
        let mut harness = harness(&probing_settings, fleet(6), seed);
        let actions = harness.submit(request(1, seed));
        let probed = actions.iter().find_map(|action| {
            if let Action::Probe {
                endpoint: endpoint_id,
            } = action
            {
                Some(*endpoint_id)
            } else {
                None
            }
        });
        to_unresponsive += usize::from(started_endpoint(&harness.advance(40 * MS), 1) == probed);
    }
    assert_eq!(
        to_unresponsive, 0,
        "{to_unresponsive} of 30 requests went to a prefill endpoint that didn't answer its probe"
    );
}

/// The same load is acceptable for a request with 4 s left and an objective of 1 s, and not for one with 250 ms
/// left.
#[test]
fn a_deadline_before_the_objective_counts_as_the_objective() {
    let mut harness = harness(&settings_of_routers(1), fleet(2), 9);
    for id in 0..60 {
        harness.serve(request(id, id), 300 * MS, 200 * MS, 50 * MS);
    }
    let busy = LoadReport {
        in_flight: Some(2.0),
        queued: None,
        kv_memory_share: Some(0.1),
        pending_prefill_kilotokens: Some(3.0),
    };
    for endpoint_id in 0..2 {
        harness.handle(Event::ProbeCompleted {
            endpoint: endpoint_id,
            is_healthy: true,
            load: Some(busy),
        });
    }
    assert!(
        started_endpoint(&harness.submit(request(999, 999)), 999).is_some(),
        "a request that can meet its deadline was not sent"
    );
    let actions = harness.submit(RequestMetadata {
        time_left: 250 * MS,
        ..request(1_000, 1_000)
    });
    assert_eq!(
        (
            count_final_responses(&actions, 1_000),
            started_endpoint(&actions, 1_000)
        ),
        (1, None),
        "a request that can't meet its deadline was prefilled"
    );
}

/// A prompt of 80,000 tokens takes longer than its objective even at an idle endpoint. Load shedding would not help
/// such a request.
#[test]
fn a_long_prompt_alone_is_not_shed() {
    let class = RequestClass {
        ttft_objective_per_1000_tokens: 0,
        ..class(3.0, Idempotency::Idempotent)
    };
    let mut harness = harness(
        &RoutingSettings {
            dispatchers: 1,
            ..settings(vec![class])
        },
        fleet(4),
        9,
    );
    for id in 0..60 {
        harness.serve(request(id, id), 50 * MS, 30 * MS, 50 * MS);
    }
    let actions = harness.submit(RequestMetadata {
        prompt_tokens: 80_000.0,
        ..request(1_000, 1_000)
    });
    assert!(
        started_endpoint(&actions, 1_000).is_some(),
        "an idle fleet refused a long prompt: {actions:?}"
    );
}
