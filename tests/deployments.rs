//! Differences between deployments depend on settings alone. Each test runs the same scenario with different values of
//! a setting. `docs/deployments.md` lists the differences.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

#[test]
fn prefills_stay_in_their_zone_by_the_cross_zone_cost() {
    let zone = |record: EndpointRecord| EndpointRecord {
        zone: record.endpoint % 2,
        cell: record.endpoint % 2,
        ..record
    };
    let prefill_endpoints = (1..=4).map(|id| endpoint(id, Role::Prefill));
    let fleet: Vec<_> = prefill_endpoints
        .chain((11..=14).map(|id| endpoint(id, Role::Decode)))
        .map(zone)
        .collect();
    let count_in_own_zone = |cross_zone_cost| {
        let routing_settings = RoutingSettings {
            cross_zone_cost,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut harness = RouterHarness::new(routing_settings, fleet.clone());
        // Without session and shared prefix, so that no affinity influences the choice.
        let request_without_affinity = |id| RequestMetadata {
            session: None,
            ..request(id, id)
        };
        let prefills = (0..160)
            .map(|id| harness.serve(request_without_affinity(id), 40 * MS, 30 * MS, 50 * MS)[0]);
        prefills.skip(60).filter(|prefill| prefill % 2 == 0).count()
    };
    let (without_cost, with_cost) = (count_in_own_zone(0.0), count_in_own_zone(0.01));
    assert!(
        (25..=75).contains(&without_cost),
        "{without_cost} of 100 stay where crossing is free"
    );
    assert!(
        with_cost >= 75 && with_cost > without_cost,
        "{with_cost} of 100 stay where it costs a hundredth"
    );
}

#[test]
fn kv_caches_stay_in_their_cell_by_the_transfer_cost() {
    let prefill_endpoints = (1..=2).map(|id| endpoint(id, Role::Prefill));
    let decode_endpoints = (11..=16).map(|id| EndpointRecord {
        cell: id % 2,
        ..endpoint(id, Role::Decode)
    });
    let fleet: Vec<_> = prefill_endpoints.chain(decode_endpoints).collect();
    let count_in_same_cell = |transfer_cost| {
        let routing_settings = RoutingSettings {
            kv_transfer_cost: transfer_cost,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut harness = RouterHarness::new(routing_settings, fleet.clone());
        let mut decode_endpoints = Vec::new();
        for id in 0..160 {
            decode_endpoints.extend(
                harness
                    .serve(request(id, id), 40 * MS, 30 * MS, 50 * MS)
                    .get(1)
                    .copied(),
            );
        }
        decode_endpoints[60..]
            .iter()
            .filter(|decode| **decode % 2 == 0)
            .count()
    };
    let (without_cost, low, high) = (
        count_in_same_cell(0.0),
        count_in_same_cell(0.03),
        count_in_same_cell(0.08),
    );
    assert!(
        (25..=75).contains(&without_cost),
        "{without_cost} of 100 stay where leaving is free"
    );
    assert!(
        low >= 90 && high >= 98,
        "{low} of 100 stay at a cost of 0.03, {high} at 0.08"
    );
}

/// As a queue grows, requests over their tenant's quota are shed first if their weight is lower. Requests that can't
/// meet their deadline are shed regardless of quota.
#[test]
fn traffic_over_quota_is_shed_by_its_weight() {
    let shed = |over_quota_weight| {
        let tenants = vec![
            Tenant {
                requests_per_second: 20.0,
            },
            Tenant {
                requests_per_second: 1_000.0,
            },
        ];
        let classes = vec![
            class(3.0, Idempotency::Idempotent),
            class(2.0, Idempotency::Idempotent),
        ];
        let routing_settings = RoutingSettings {
            over_quota_weight,
            tenants,
            ..settings(classes)
        };
        let prefill_endpoints = (1..=4).map(|id| endpoint(id, Role::Prefill));
        let mut harness = RouterHarness::new(
            routing_settings,
            prefill_endpoints
                .chain((11..=13).map(|id| endpoint(id, Role::Decode)))
                .collect(),
        );
        let tenant_request = |id| RequestMetadata {
            tenant: Some((id % 2) as usize),
            ..request(id, id)
        };
        for id in 0..80 {
            harness.serve(tenant_request(id), 40 * MS, 30 * MS, 50 * MS);
        }
        harness.advance(2 * SECOND);
        let mut shed = [0; 2];
        for id in 1_000..1_160 {
            let actions = harness.submit(RequestMetadata {
                prompt_tokens: 100.0,
                ..tenant_request(id)
            });
            shed[(id % 2) as usize] += count_final_responses(&actions, id);
            harness.advance(4 * MS);
        }
        shed
    };
    for weight in [0.05, 0.2] {
        let [over_quota, within_quota] = shed(weight);
        assert!(
            over_quota > within_quota + 2,
            "at a weight of {weight}: {over_quota} over quota, {within_quota} within"
        );
    }
    let [over_quota, within_quota] = shed(1.0);
    assert!(
        over_quota <= within_quota + 1,
        "at full weight: {over_quota} over quota, {within_quota} within"
    );
}

#[test]
fn a_reservation_is_released_within_its_configured_ttl() {
    for (reservation_ttl, drain_grace) in [(1_000 * MS, 250 * MS), (500 * MS, 500 * MS)] {
        let routing_settings = RoutingSettings {
            reservation_ttl,
            drain_grace,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut harness = RouterHarness::new(
            routing_settings,
            vec![endpoint(1, Role::Prefill), endpoint(11, Role::Decode)],
        );
        harness.serve(request(0, 0), 40 * MS, 30 * MS, 50 * MS);
        assert_eq!(started_endpoint(&harness.submit(request(1, 1)), 1), Some(1));
        harness.handle(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                status: EndpointStatus::Draining,
                ..endpoint(11, Role::Decode)
            }],
        });
        assert_eq!(
            started_endpoint(&harness.end_attempt(1, 0, 1, AttemptStatus::PrefillDone), 1),
            None,
            "the only decode endpoint drains"
        );
        let (prefilled_at, mut released_after) = (harness.now, None);
        while released_after.is_none() && harness.now < prefilled_at + 2 * SECOND {
            let released = harness
                .advance(2 * MS)
                .contains(&Action::ReleaseReservation { id: 1 });
            released_after = released.then_some(harness.now - prefilled_at);
        }
        assert!(
            released_after.is_some_and(|after| after < reservation_ttl),
            "{released_after:?} of {reservation_ttl}"
        );
    }
}
