//! The endpoint list in the core: draining and removed endpoints, bans, blocks, gossip.

mod dispatcher_harness;

use dispatcher_harness::{endpoint, metadata, request_arrived, CoreHarness, MS, START};
use quartzhall::dispatcher::bans::BanError;
use quartzhall::dispatcher::{Command, DiscoveredEndpoint, Event, Readiness};
use quartzhall::gossip::Gossip;
use quartzhall::routing::api::{AttemptStatus, EndpointRecord, EndpointStatus, LoadReport, Role};

#[test]
fn no_attempt_goes_to_a_draining_endpoint() {
    let mut harness = CoreHarness::new(10);
    let _outcome = harness.submit(1, 0, "a");
    harness.update_endpoints(vec![endpoint("ww", Role::Decode, EndpointStatus::Draining)]);
    let is_block = |command: &Command| {
        matches!(
            command,
            Command::BlockAddress {
                is_blocked: true,
                ..
            }
        )
    };
    assert!(
        harness.commands.iter().any(is_block),
        "what waits for a connection is not sent"
    );
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.advance(500 * MS);
    assert_eq!(harness.attempt_count(), 1);
    assert_eq!(harness.core.readiness(), Readiness::Starting);
}

/// Endpoints come and go under ever new ids and addresses: what is known of them is forgotten with them, but for one that
/// still has an attempt in flight, and a block neither outlives its endpoint nor ends while another one there is draining.
#[test]
fn tables_are_bounded_while_endpoints_are_replaced() {
    let mut harness = CoreHarness::new(10);
    let _outcome = harness.submit(1, 0, "long");
    let mut blocked = std::collections::HashSet::new();
    for round in 0..500 {
        let endpoint_at = |name: &str, port: usize, role, status| {
            let address = format!("127.0.{}.{}:{port}", round / 200, round % 200).into();
            DiscoveredEndpoint {
                id: format!("{name}{round}").into(),
                address,
                ..endpoint(name, role, status)
            }
        };
        let removed = vec![
            endpoint_at("r", 1, Role::Prefill, EndpointStatus::Removed),
            endpoint_at("w", 2, Role::Decode, EndpointStatus::Removed),
        ];
        let endpoints = vec![
            endpoint_at("r", 1, Role::Prefill, EndpointStatus::Ready),
            endpoint_at("w", 2, Role::Decode, EndpointStatus::Ready),
            // It drains at the address of the old decode endpoint.
            endpoint_at("d", 2, Role::Decode, EndpointStatus::Draining),
        ];
        harness.replace_endpoints(endpoints);
        harness.update_endpoints(removed);
        for command in harness.commands.drain(..) {
            match command {
                Command::BlockAddress {
                    address,
                    is_blocked: true,
                } => blocked.insert(address),
                Command::BlockAddress { address, .. } => blocked.remove(&address),
                _ => continue,
            };
        }
        assert!(
            blocked.contains(&*format!("127.0.{}.{}:2", round / 200, round % 200)),
            "{blocked:?}"
        );
        // Those of the list, and the prefill endpoint of the attempt in flight.
        assert!(
            harness.core.endpoint_count() <= 3 + 2 && blocked.len() <= 4,
            "{}, {blocked:?}",
            harness.core.endpoint_count()
        );
        harness.advance(1_100 * MS);
    }
}

#[test]
fn a_ban_is_in_force_whatever_discovery_reports_until_it_is_ended() {
    let mut harness = CoreHarness::new(10);
    assert_eq!(harness.set_ban("never", true), Err(BanError::Unknown));
    assert_eq!(harness.set_ban("r", true), Ok(()));
    assert_eq!(
        harness.block_commands().last(),
        Some(&("127.0.0.1:7001", true))
    );
    assert_eq!(harness.set_ban("r", true), Ok(()));
    let list_with = |status| {
        let mut list = vec![endpoint("ww", Role::Decode, EndpointStatus::Ready)];
        if status != EndpointStatus::Removed {
            list.push(endpoint("r", Role::Prefill, status));
        }
        list
    };
    // The endpoint leaves the list and is forgotten, comes back, drains, is ready again, and moves.
    harness.commands.clear();
    for status in [
        EndpointStatus::Ready,
        EndpointStatus::Removed,
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Ready,
    ] {
        harness.replace_endpoints(list_with(status));
        harness.advance(100 * MS);
        assert_eq!(harness.core.readiness(), Readiness::Starting);
    }
    assert!(
        !harness
            .block_commands()
            .contains(&("127.0.0.1:7001", false))
            || harness.block_commands().contains(&("127.0.0.1:7001", true))
    );
    let moved = DiscoveredEndpoint {
        address: "127.0.0.1:7999".into(),
        ..endpoint("r", Role::Prefill, EndpointStatus::Ready)
    };
    harness.update_endpoints(vec![moved]);
    assert_eq!(
        harness.blocked_addresses(),
        ["127.0.0.1:7001", "127.0.0.1:7999"],
        "where it was, where it is, and not the decode endpoint"
    );
    let _outcome = harness.submit(1, 0, "a");
    harness.advance(200 * MS);
    assert_eq!(harness.attempt_count(), 0);
    // While it is absent from the list too, its id is known.
    harness.replace_endpoints(list_with(EndpointStatus::Removed));
    assert_eq!(harness.set_ban("r", true), Ok(()));
    harness.replace_endpoints(list_with(EndpointStatus::Ready));
    assert_eq!(harness.set_ban("r", false), Ok(()));
    harness.advance(200 * MS);
    assert_eq!(
        (harness.attempt_count(), harness.core.readiness()),
        (1, Readiness::Ready)
    );
    // Discovery reports it as draining: the ban's end does not hide that.
    harness.replace_endpoints(list_with(EndpointStatus::Draining));
    assert_eq!(harness.core.readiness(), Readiness::Starting);
}

#[test]
fn ban_records_are_exchanged_with_another_process() {
    let mut harness = CoreHarness::new(10);
    assert_eq!(harness.core.take_changed_bans(), None);
    harness.set_ban("r", true).unwrap();
    let records = harness.core.take_changed_bans().unwrap();
    assert_eq!(harness.core.take_changed_bans(), None);
    let mut other = CoreHarness::new(10);
    other.handle(Event::BanRecordsReceived(records.clone()));
    assert_eq!(other.core.readiness(), Readiness::Starting);
    assert_eq!(other.core.take_changed_bans().as_ref(), Some(&records));
    other.handle(Event::BanRecordsReceived(records));
    assert_eq!(other.core.take_changed_bans(), None, "nothing has changed");
    other.set_ban("r", false).unwrap();
    harness.handle(Event::BanRecordsReceived(
        other.core.take_changed_bans().unwrap(),
    ));
    assert_eq!(harness.core.readiness(), Readiness::Ready);
}

/// The record of an endpoint that leaves may hold nothing but that: the rest is as it was reported before, and an endpoint
/// that was never reported is ignored.
#[test]
fn no_attempt_goes_to_an_endpoint_of_which_only_its_removal_could_be_read() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = CoreHarness::new(10);
        let partial = |id: &str| DiscoveredEndpoint {
            id: id.into(),
            address: "".into(),
            record: EndpointRecord {
                status,
                ..EndpointRecord::default()
            },
            is_partial: true,
        };
        harness.update_endpoints(vec![partial("r"), partial("never")]);
        let blocked: &[&str] = if status == EndpointStatus::Removed {
            &[]
        } else {
            &["127.0.0.1:7001"]
        };
        assert_eq!(
            harness.blocked_addresses(),
            blocked,
            "a removed endpoint with no attempt in flight is forgotten, with its block"
        );
        assert_eq!(harness.core.readiness(), Readiness::Starting, "{status:?}");
        let _outcome = harness.submit(1, 0, "a");
        harness.advance(200 * MS);
        assert_eq!(harness.attempt_count(), 0, "{status:?}");
    }
}

/// An endpoint that moves leaves an address that others may have: attempts that wait for a connection there were meant for
/// it. Of two endpoints with one address, a ready one unblocks it.
#[test]
fn an_address_that_an_endpoint_has_left_is_blocked_until_a_ready_one_has_it() {
    let mut harness = CoreHarness::new(10);
    let prefill_at = |id: &str, port: u32, status| DiscoveredEndpoint {
        address: format!("127.0.0.1:{port}").into(),
        ..endpoint(id, Role::Prefill, status)
    };
    let steps: [(&[DiscoveredEndpoint], &[&str]); 9] = [
        (
            &[prefill_at("r", 7999, EndpointStatus::Ready)],
            &["127.0.0.1:7001"],
        ),
        (
            &[prefill_at("r", 7999, EndpointStatus::Draining)],
            &["127.0.0.1:7001", "127.0.0.1:7999"],
        ),
        (
            &[prefill_at("new", 7999, EndpointStatus::Ready)],
            &["127.0.0.1:7001"],
        ),
        (&[prefill_at("old", 7001, EndpointStatus::Ready)], &[]),
        (
            &[prefill_at("old", 7001, EndpointStatus::Draining)],
            &["127.0.0.1:7001"],
        ),
        (&[prefill_at("r", 7001, EndpointStatus::Ready)], &[]),
        (
            &[prefill_at("r", 7998, EndpointStatus::Draining)],
            &["127.0.0.1:7001", "127.0.0.1:7998"],
        ),
        (
            &[
                prefill_at("old", 7001, EndpointStatus::Removed),
                prefill_at("r", 7001, EndpointStatus::Removed),
            ],
            &[],
        ),
        (&[prefill_at("new", 7999, EndpointStatus::Removed)], &[]),
    ];
    for (endpoints, blocked) in steps {
        harness.update_endpoints(endpoints.into());
        assert_eq!(harness.blocked_addresses(), blocked, "{endpoints:?}");
    }
}

/// An address is blocked before earlier commands are executed, although the block was commanded after them.
#[test]
fn blocks_come_before_earlier_commands() {
    let mut harness = CoreHarness::new(10);
    let (request, _outcome) = request_arrived(metadata(1), "a");
    harness.core.handle_event(START, request);
    harness.core.handle_event(
        START,
        Event::EndpointsChanged {
            is_full: false,
            endpoints: vec![endpoint("r", Role::Prefill, EndpointStatus::Draining)],
        },
    );
    let commands = harness.core.take_commands();
    assert!(
        matches!(
            commands[..],
            [
                Command::BlockAddress {
                    is_blocked: true,
                    ..
                },
                Command::StartAttempt { .. },
                ..
            ]
        ),
        "{commands:?}"
    );
}

fn gossiping_core() -> CoreHarness {
    let mut harness = CoreHarness::new(1_000);
    harness.core.set_gossip(Gossip::new(100, 0.0028));
    harness
}

/// Reports a load of the first endpoint.
fn report_load(harness: &mut CoreHarness, in_flight: f64) {
    let load = LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    };
    harness.handle(Event::ProbeCompleted {
        endpoint: 0,
        is_healthy: true,
        load: Some(load),
    });
}

/// The message that follows a report of this load, after requests that earn the budget for it.
fn share_load(harness: &mut CoreHarness, in_flight: f64) -> Option<bytes::Bytes> {
    for id in 100..110 {
        let _outcome = harness.submit(id, 0, &format!("{in_flight}-{id}"));
    }
    report_load(harness, in_flight);
    harness.core.next_gossip_message(harness.now)
}

/// What one dispatcher has observed of an endpoint, another accepts; malformed messages and unknown endpoints change
/// nothing.
#[test]
fn gossip_shares_observations_of_known_endpoints() {
    let mut one = gossiping_core();
    let mut other = gossiping_core();
    let message = share_load(&mut one, 40.0).expect("forty requests are a surprise");
    for length in 0..message.len() {
        other.handle(Event::GossipReceived {
            peer: 3,
            message: message.slice(..length),
        });
    }
    let unknown = [&message[..3], &[9, 9, 9, 40, 0]].concat().into();
    other.handle(Event::GossipReceived {
        peer: 4,
        message: unknown,
    });
    assert!(
        share_load(&mut other, 40.0).is_some(),
        "those messages were dropped: the load is not known there yet"
    );
    let mut third = gossiping_core();
    third.handle(Event::GossipReceived {
        peer: 3,
        message: message.clone(),
    });
    third.handle(Event::GossipReceived { peer: 3, message });
    assert_eq!(
        share_load(&mut third, 40.0),
        None,
        "all dispatchers know that by now"
    );
    for id in 200..210 {
        drop(one.submit(id, 0, &format!("later-{id}")));
    }
    report_load(&mut one, 2.0);
    assert!(
        one.core.next_gossip_message(one.now).is_some(),
        "a changed load is shared again"
    );
}
