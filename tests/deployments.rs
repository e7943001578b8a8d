//! Where the deployments differ, the settings decide and nothing else: each test plays both sides of a difference.
//! `docs/deployments.md` has the list.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

#[test]
fn reads_stay_in_the_own_zone_by_the_price_of_crossing() {
    let zone = |it: EndpointRecord| EndpointRecord {
        zone: it.endpoint % 2,
        cell: it.endpoint % 2,
        ..it
    };
    let readers = (1..=4).map(|id| server(id, Role::Prefill));
    let fleet: Vec<_> = readers
        .chain((11..=14).map(|id| server(id, Role::Decode)))
        .map(zone)
        .collect();
    let own = |cross_zone_price| {
        let rules = RoutingSettings {
            cross_zone_cost: cross_zone_price,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut desk = RouterHarness::new(rules, fleet.clone());
        // No session and no shared text: nothing but the servers themselves makes a difference.
        let plain = |id| RequestMetadata {
            session: None,
            ..ask(id, id)
        };
        let reads = (0..160).map(|id| desk.serve(plain(id), 40 * MS, 30 * MS, 50 * MS)[0]);
        reads.skip(60).filter(|reader| reader % 2 == 0).count()
    };
    let (free, priced) = (own(0.0), own(0.01));
    assert!(
        (25..=75).contains(&free),
        "{free} of 100 stay where crossing is free"
    );
    assert!(
        priced >= 75 && priced > free,
        "{priced} of 100 stay where it costs a hundredth"
    );
}

#[test]
fn states_move_to_their_own_rack_by_the_price_of_leaving_it() {
    let readers = (1..=2).map(|id| server(id, Role::Prefill));
    let writers = (11..=16).map(|id| EndpointRecord {
        cell: id % 2,
        ..server(id, Role::Decode)
    });
    let fleet: Vec<_> = readers.chain(writers).collect();
    let near = |far_price| {
        let rules = RoutingSettings {
            kv_transfer_cost: far_price,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut desk = RouterHarness::new(rules, fleet.clone());
        let mut writers = Vec::new();
        for id in 0..160 {
            writers.extend(
                desk.serve(ask(id, id), 40 * MS, 30 * MS, 50 * MS)
                    .get(1)
                    .copied(),
            );
        }
        writers[60..]
            .iter()
            .filter(|writer| **writer % 2 == 0)
            .count()
    };
    let (free, low, high) = (near(0.0), near(0.03), near(0.08));
    assert!(
        (25..=75).contains(&free),
        "{free} of 100 stay where leaving is free"
    );
    assert!(
        low >= 90 && high >= 98,
        "{low} of 100 stay at a price of 0.03, {high} at 0.08"
    );
}

/// As a queue grows, what is over a share goes first, as far as it is worth less; what is hopeless goes in any case.
#[test]
fn traffic_over_a_share_is_refused_by_its_worth() {
    let refused = |over_share_worth| {
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
        let rules = RoutingSettings {
            over_quota_weight: over_share_worth,
            tenants,
            ..settings(classes)
        };
        let readers = (1..=4).map(|id| server(id, Role::Prefill));
        let mut desk = RouterHarness::new(
            rules,
            readers
                .chain((11..=13).map(|id| server(id, Role::Decode)))
                .collect(),
        );
        let of = |id| RequestMetadata {
            tenant: Some((id % 2) as usize),
            ..ask(id, id)
        };
        for id in 0..80 {
            desk.serve(of(id), 40 * MS, 30 * MS, 50 * MS);
        }
        desk.pass(2 * SECOND);
        let mut refused = [0; 2];
        for id in 1_000..1_160 {
            let actions = desk.ask(RequestMetadata {
                prompt_tokens: 100.0,
                ..of(id)
            });
            refused[(id % 2) as usize] += finals(&actions, id);
            desk.pass(4 * MS);
        }
        refused
    };
    for worth in [0.05, 0.2] {
        let [over, within] = refused(worth);
        assert!(
            over > within + 2,
            "at a worth of {worth}: {over} over their share, {within} within"
        );
    }
    let [over, within] = refused(1.0);
    assert!(
        over <= within + 1,
        "worth as much as any: {over} over their share, {within} within"
    );
}

#[test]
fn a_state_is_let_go_in_the_time_that_the_settings_give() {
    for (release_within, drain_grace) in [(1_000 * MS, 250 * MS), (500 * MS, 500 * MS)] {
        let rules = RoutingSettings {
            reservation_ttl: release_within,
            drain_grace,
            ..settings(vec![class(2.0, Idempotency::Idempotent)])
        };
        let mut desk = RouterHarness::new(
            rules,
            vec![server(1, Role::Prefill), server(11, Role::Decode)],
        );
        desk.serve(ask(0, 0), 40 * MS, 30 * MS, 50 * MS);
        assert_eq!(sent_to(&desk.ask(ask(1, 1)), 1), Some(1));
        desk.hear(Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![EndpointRecord {
                status: EndpointStatus::Draining,
                ..server(11, Role::Decode)
            }],
        });
        assert_eq!(
            sent_to(&desk.outcome(1, 0, 1, AttemptStatus::PrefillDone), 1),
            None,
            "the only writer drains"
        );
        let (read_at, mut let_go) = (desk.now, None);
        while let_go.is_none() && desk.now < read_at + 2 * SECOND {
            let released = desk
                .pass(2 * MS)
                .contains(&Action::ReleaseReservation { id: 1 });
            let_go = released.then_some(desk.now - read_at);
        }
        assert!(
            let_go.is_some_and(|after| after < release_within),
            "{let_go:?} of {release_within}"
        );
    }
}
