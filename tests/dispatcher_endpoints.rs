//! Tests of the endpoint list in the core: draining and removed endpoints, bans, address blocks and gossip.

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
        "attempts that wait for a connection are not sent"
    );
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.advance(500 * MS);
    assert_eq!(harness.attempt_count(), 1);
    assert_eq!(harness.core.readiness(), Readiness::Starting);
}

/// Endpoints are replaced under new ids and addresses all the time, so the tables must not keep removed ones. Only an
/// endpoint that still has an attempt in flight is kept. The block of an address ends with its endpoint, but not while
/// another endpoint at that address drains.
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
            // Drains at the address of the removed decode endpoint.
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
        // The listed ones, and the prefill endpoint of the attempt in flight.
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
    // The endpoint is removed, returns, drains, is ready again, and then changes its address.
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
        "the old and the new address of the banned endpoint, and not the decode endpoint"
    );
    let _outcome = harness.submit(1, 0, "a");
    harness.advance(200 * MS);
    assert_eq!(harness.attempt_count(), 0);
    // The id of a banned endpoint stays known while the endpoint is absent from the list.
    harness.replace_endpoints(list_with(EndpointStatus::Removed));
    assert_eq!(harness.set_ban("r", true), Ok(()));
    harness.replace_endpoints(list_with(EndpointStatus::Ready));
    assert_eq!(harness.set_ban("r", false), Ok(()));
    harness.advance(200 * MS);
    assert_eq!(
        (harness.attempt_count(), harness.core.readiness()),
        (1, Readiness::Ready)
    );
    // The end of the ban doesn't hide that discovery reports the endpoint as draining.
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

/// The record of an endpoint that drains or is removed may be readable only in part. The core keeps the endpoint's other
/// properties as reported before, and ignores an endpoint that was never reported.
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
            "a removed endpoint without an attempt in flight leaves the table, and its block ends"
        );
        assert_eq!(harness.core.readiness(), Readiness::Starting, "{status:?}");
        let _outcome = harness.submit(1, 0, "a");
        harness.advance(200 * MS);
        assert_eq!(harness.attempt_count(), 0, "{status:?}");
    }
}

/// After an endpoint has changed its address, another one may listen at the old address. Attempts that still wait for a
/// connection there were chosen for the first endpoint and must not be sent. The address is unblocked once a ready endpoint
/// has it, even if a second endpoint at the same address is not ready.
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

/// A block takes effect before attempts that were commanded earlier, so none of them reaches a draining endpoint.
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

/// Creates a core that gossips in a fleet of 100 dispatchers. A full message to one of them costs 0.0028 of a request's
/// value.
fn gossiping_core() -> CoreHarness {
    let mut harness = CoreHarness::new(1_000);
    harness.core.set_gossip(Gossip::new(100, 0.0028));
    harness
}

/// Delivers a probe result of the first endpoint with this load.
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

/// Returns the gossip message that follows a report of this load. The requests before it earn the message's budget.
fn share_load(harness: &mut CoreHarness, in_flight: f64) -> Option<bytes::Bytes> {
    for id in 100..110 {
        let _outcome = harness.submit(id, 0, &format!("{in_flight}-{id}"));
    }
    report_load(harness, in_flight);
    harness.core.next_gossip_message(harness.now)
}

/// One dispatcher accepts what another has observed of an endpoint. Truncated messages and observations of unknown
/// endpoints change nothing.
#[test]
fn gossip_shares_observations_of_known_endpoints() {
    let mut first = gossiping_core();
    let mut second = gossiping_core();
    let message =
        share_load(&mut first, 40.0).expect("a load of forty requests is worth a message");
    for length in 0..message.len() {
        second.handle(Event::GossipReceived {
            peer: 3,
            message: message.slice(..length),
        });
    }
    let unknown = [&message[..3], &[9, 9, 9, 40, 0]].concat().into();
    second.handle(Event::GossipReceived {
        peer: 4,
        message: unknown,
    });
    assert!(
        share_load(&mut second, 40.0).is_some(),
        "the invalid messages change nothing, so the load is still worth a message"
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
        "the load is known to all dispatchers"
    );
    for id in 200..210 {
        drop(first.submit(id, 0, &format!("later-{id}")));
    }
    report_load(&mut first, 2.0);
    assert!(
        first.core.next_gossip_message(first.now).is_some(),
        "a changed load is shared again"
    );
}
