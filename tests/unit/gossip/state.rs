use super::*;

const START: Time = 1_700_000_000_000_000;

fn load(in_flight: f64) -> LoadReport {
    LoadReport {
        in_flight: Some(in_flight),
        kv_memory_share: Some(0.5),
        ..LoadReport::default()
    }
}

/// Creates the state of one of 100 dispatchers. A full message to one receiver costs 0.0028 of a request's value.
fn gossip() -> Gossip {
    Gossip::new(100, 0.0028)
}

/// Returns the next message after enough requests to fill the budget.
fn next_message_with_full_budget(gossip: &mut Gossip, now: Time) -> Vec<u8> {
    for _ in 0..20 {
        gossip.on_request();
    }
    gossip.next_message(now).unwrap_or_default()
}

#[test]
fn unexpected_load_is_sent_and_expected_load_is_not() {
    let mut sender = gossip();
    let mut receiver = gossip();
    sender.record_load(START, 7, 0xabcdef12, &load(1.0));
    assert_eq!(next_message_with_full_budget(&mut sender, START), []);
    sender.record_load(START, 7, 0xabcdef12, &load(30.0));
    let message = next_message_with_full_budget(&mut sender, START);
    let observations = receiver.receive(START + 30_000, 4, &message).unwrap();
    assert_eq!(
        observations,
        [Observation {
            key: 0xcdef12,
            load: Some(load(30.0))
        }]
    );
    receiver.accept(START + 30_000, 3, &observations[0]);
    receiver.record_load(START + 40_000, 3, 0xabcdef12, &load(29.0));
    assert_eq!(
        next_message_with_full_budget(&mut receiver, START + 40_000),
        [],
        "all dispatchers have that load"
    );
    sender.record_load(START + EXPECTATION_LIFETIME + 1, 7, 0xabcdef12, &load(30.0));
    assert_ne!(
        next_message_with_full_budget(&mut sender, START + EXPECTATION_LIFETIME + 1),
        [],
        "a load reported long ago is sent again"
    );
}

#[test]
fn failures_precede_loads_when_budget_is_short() {
    let mut sender = gossip();
    let mut receiver = gossip();
    for endpoint in 0..20 {
        sender.record_load(START, endpoint, u64::from(endpoint), &load(50.0));
    }
    sender.record_failure(99);
    for _ in 0..4 {
        sender.on_request();
    }
    let observations = receiver
        .receive(START, 0, &sender.next_message(START).unwrap())
        .unwrap();
    assert!(
        observations.len() < 10
            && observations[0]
                == Observation {
                    key: 99,
                    load: None
                },
        "{observations:?}"
    );
    for endpoint in 0..60 {
        sender.record_failure(endpoint);
    }
    let observations = receiver
        .receive(
            START + 20_000,
            0,
            &sender.next_message(START + 20_000).unwrap(),
        )
        .unwrap();
    assert!(
        observations.len() < 10
            && observations
                .iter()
                .all(|observation| observation.load.is_none()),
        "{observations:?}"
    );
    sender.record_failure(99);
    assert_eq!(sender.next_message(START), None, "the budget is spent");
}

#[test]
fn gossip_costs_no_more_than_its_share_of_request_value() {
    for (has_failures, min_cost, max_cost) in [(false, 0.001, 0.0021), (true, 0.005, 0.0101)] {
        let mut sender = gossip();
        let mut bytes = 0;
        for request in 0..1000 {
            sender.on_request();
            for endpoint in 0..50 {
                let in_flight = (request % 2 * 80) as f64;
                sender.record_load(START + request, endpoint, endpoint.into(), &load(in_flight));
            }
            if has_failures {
                for endpoint in 0..50 {
                    sender.record_failure(endpoint);
                }
            }
            bytes += sender
                .next_message(START + request)
                .map_or(0, |message| message.len());
        }
        // Each message goes to 99 receivers, and a full one has 256 bytes.
        let cost = bytes as f64 * 99.0 / 256.0 * 0.0028 / 1000.0;
        assert!(
            (min_cost..=max_cost).contains(&cost),
            "{cost} a request, with failures: {has_failures}"
        );
    }
}

#[test]
fn malformed_stale_and_repeated_messages_are_dropped_and_counted() {
    let mut sender = gossip();
    let mut receiver = gossip();
    sender.record_failure(5);
    let message = next_message_with_full_budget(&mut sender, START);
    assert_eq!(
        receiver.receive(START + 3_000_000, 1, &message),
        Err(DropReason::Stale)
    );
    assert_eq!(
        receiver.receive(START - 1_000_000, 1, &message),
        Err(DropReason::Stale)
    );
    assert!(receiver.receive(START + 1_000_000, 1, &message).is_ok());
    assert_eq!(
        receiver.receive(START + 1_100_000, 1, &message),
        Err(DropReason::Repeated)
    );
    assert!(
        receiver.receive(START + 1_100_000, 2, &message).is_ok(),
        "two senders may use the same time"
    );
    assert_eq!(
        receiver.receive(START, 100, &message),
        Err(DropReason::Malformed),
        "an unknown sender"
    );
    for cut in 0..message.len() {
        assert_eq!(
            receiver.receive(START, 3, &message[..cut]),
            Err(DropReason::Malformed)
        );
    }
    assert_eq!(receiver.dropped(), 4 + message.len() as u64);
}
