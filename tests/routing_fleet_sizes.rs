//! The module at both ends of its range: from one router to hundreds, from three servers to a hundred.

mod router_harness;
use quartzhall::routing::api::*;
use router_harness::*;

const PREFIX: u64 = 0xfeed_beef_0001;

fn fleet(readers: EndpointId) -> Vec<EndpointRecord> {
    let readers = (0..readers).map(|id| server(id, Role::Prefill));
    readers
        .chain((200..204).map(|id| server(id, Role::Decode)))
        .collect()
}

fn desk(rules: &RoutingSettings, servers: Vec<EndpointRecord>, seed: u64) -> RouterHarness {
    RouterHarness::seeded(rules.clone(), servers, seed)
}

fn of(balancers: u32) -> RoutingSettings {
    RoutingSettings {
        dispatchers: balancers,
        ..settings(vec![
            class(3.0, Idempotency::Idempotent),
            class(1.0, Idempotency::Idempotent),
        ])
    }
}

fn warm_ask(id: RequestId, session: u64) -> RequestMetadata {
    RequestMetadata {
        prefix: Some(PREFIX),
        prefix_tokens: 1_800.0,
        ..ask(id, session)
    }
}

#[test]
fn the_first_decision_of_any_router_is_a_send() {
    for balancers in [0, 1, 2, 40, 300] {
        for readers in [2, 5, 100] {
            let mut desk = desk(&of(balancers), fleet(readers), 3);
            assert!(
                sent_to(&desk.ask(ask(1, 1)), 1).is_some(),
                "{balancers} routers, {readers} readers"
            );
        }
    }
}

#[test]
fn routers_that_share_nothing_agree_on_the_homes_of_a_text() {
    let mut used = std::collections::BTreeMap::new();
    for seed in 0..60 {
        let mut desk = desk(&of(60), fleet(40), seed);
        let reader = sent_to(&desk.ask(warm_ask(1, seed)), 1).expect("sent");
        *used.entry(reader).or_insert(0) += 1;
    }
    assert!(
        used.len() <= 6,
        "a text of 60 routers went to {} of 40 readers: {used:?}",
        used.len()
    );
    assert!(used.len() >= 2, "one home is none when it fails");
}

#[test]
fn a_session_has_one_home_at_all_routers() {
    let homes = (0..60).map(|seed| {
        let turn = RequestMetadata {
            prompt_tokens: 4_000.0,
            ..warm_ask(1, 77)
        };
        sent_to(&desk(&of(60), fleet(40), seed).ask(turn), 1)
    });
    let homes: Vec<_> = homes.collect();
    let most = homes
        .iter()
        .map(|it| homes.iter().filter(|other| *other == it).count())
        .max();
    assert!(most >= Some(50), "at most {most:?} of 60 routers agree");
}

#[test]
fn homes_lie_in_the_own_zone_while_it_has_readers() {
    let entries = fleet(40).into_iter().map(|it| EndpointRecord {
        zone: it.endpoint % 2,
        ..it
    });
    let entries: Vec<_> = entries.collect();
    let own = (0..50).filter(|seed| {
        let mut desk = desk(&of(60), entries.clone(), *seed);
        sent_to(&desk.ask(warm_ask(1, *seed)), 1).is_some_and(|reader| reader % 2 == 0)
    });
    assert!(own.count() >= 46);
}

#[test]
fn servers_are_asked_for_their_load_where_it_is_not_known_and_only_there() {
    let rules = RoutingSettings {
        probes_allowed: true,
        ..of(200)
    };
    let mut desk = desk(&rules, fleet(40), 5);
    let probes = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|it| {
                if let Action::Probe { endpoint: server } = it {
                    Some(*server)
                } else {
                    None
                }
            })
            .collect::<Vec<_>>()
    };
    let asked = probes(&desk.ask(ask(1, 1)));
    assert!(
        (1..=3).contains(&asked.len()),
        "a few, whatever the count of servers: {asked:?}"
    );
    // One is idle, the others are full of work: the choice waits for the answers and heeds them.
    for (at, server) in asked.iter().enumerate() {
        let to_read = if at == 0 { 0.0 } else { 60.0 };
        let load = LoadReport {
            in_flight: Some(to_read),
            queued: None,
            kv_memory_share: Some(0.3),
            pending_prefill_kilotokens: Some(to_read),
        };
        desk.hear(Event::ProbeCompleted {
            endpoint: *server,
            is_healthy: true,
            load: Some(load),
        });
    }
    let sent = sent_to(&desk.pass(30 * MS), 1).expect("sent after the answers");
    assert!(
        !asked[1..].contains(&sent),
        "sent to a reader that told of 60,000 tokens to read"
    );
    assert_eq!(
        probes(&desk.pass(5 * SECOND)).len(),
        0,
        "no probes without requests"
    );
}

#[test]
fn a_server_that_does_not_answer_its_probe_is_passed_over() {
    let rules = RoutingSettings {
        probes_allowed: true,
        ..of(200)
    };
    let mut silent = 0;
    for seed in 0..30 {
        let mut desk = desk(&rules, fleet(6), seed);
        let actions = desk.ask(ask(1, seed));
        let asked = actions.iter().find_map(|it| {
            if let Action::Probe { endpoint: server } = it {
                Some(*server)
            } else {
                None
            }
        });
        silent += usize::from(sent_to(&desk.pass(40 * MS), 1) == asked);
    }
    assert_eq!(silent, 0, "{silent} of 30 went to a silent reader");
}

#[test]
fn an_impatient_clients_end_counts_as_its_aim() {
    let mut desk = desk(&of(1), fleet(2), 9);
    for id in 0..60 {
        desk.serve(ask(id, id), 300 * MS, 200 * MS, 50 * MS);
    }
    let busy = LoadReport {
        in_flight: Some(2.0),
        queued: None,
        kv_memory_share: Some(0.1),
        pending_prefill_kilotokens: Some(3.0),
    };
    for server in 0..2 {
        desk.hear(Event::ProbeCompleted {
            endpoint: server,
            is_healthy: true,
            load: Some(busy),
        });
    }
    assert!(
        sent_to(&desk.ask(ask(999, 999)), 999).is_some(),
        "a patient client's request fits"
    );
    let actions = desk.ask(RequestMetadata {
        time_left: 250 * MS,
        ..ask(1_000, 1_000)
    });
    assert_eq!(
        (finals(&actions, 1_000), sent_to(&actions, 1_000)),
        (1, None),
        "read for nobody"
    );
}

#[test]
fn a_long_prompt_alone_is_no_reason_to_refuse() {
    let class = RequestClass {
        ttft_objective_per_1000_tokens: 0,
        ..class(3.0, Idempotency::Idempotent)
    };
    let mut desk = desk(
        &RoutingSettings {
            dispatchers: 1,
            ..settings(vec![class])
        },
        fleet(4),
        9,
    );
    for id in 0..60 {
        desk.serve(ask(id, id), 50 * MS, 30 * MS, 50 * MS);
    }
    let actions = desk.ask(RequestMetadata {
        prompt_tokens: 80_000.0,
        ..ask(1_000, 1_000)
    });
    assert!(
        sent_to(&actions, 1_000).is_some(),
        "an idle fleet reads it: {actions:?}"
    );
}
