//! Tests of the release of KV caches that endpoints reserve for requests.

mod dispatcher_harness;

use dispatcher_harness::{endpoint, CoreHarness, MS};
use quartzhall::dispatcher::{Command, DiscoveredEndpoint, Outcome};
use quartzhall::routing::api::{AttemptStatus, EndpointStatus, Role};
use std::collections::BTreeSet;
use std::sync::Arc;

#[test]
fn a_kv_cache_that_a_broken_prefill_may_have_left_is_released_in_time() {
    let mut harness = CoreHarness::new(10);
    let _outcome = harness.submit(1, 1, "a");
    // No prefill endpoint is ready any more, so the request waits without an attempt.
    let endpoints = vec![endpoint("r", Role::Prefill, EndpointStatus::Draining)];
    harness.update_endpoints(endpoints);
    harness.end_attempt(1, 0, AttemptStatus::Reset);
    assert_eq!((harness.attempt_count(), harness.release_count()), (1, 0));
    harness.advance(1_000 * MS);
    assert_eq!(harness.release_count(), 1);
}

/// An attempt that reached no endpoint has not used the KV cache, so it must not extend the reservation: otherwise repeated
/// connection failures would keep the KV cache reserved for too long.
#[test]
fn an_attempt_that_reached_no_endpoint_gives_a_kv_cache_no_new_time() {
    // The KV cache of a completed prefill, and one that only the core suspects: a broken prefill may have succeeded.
    for (prefill_end, ttl) in [
        (AttemptStatus::PrefillDone, 900),
        (AttemptStatus::Reset, 750),
    ] {
        let mut harness = CoreHarness::new(10);
        let _outcome = harness.submit(1, 0, "a");
        harness.end_attempt(1, 0, prefill_end);
        assert_eq!(harness.attempt_count(), 2);
        harness.advance(700 * MS);
        let endpoints = vec![
            endpoint("r", Role::Prefill, EndpointStatus::Draining),
            endpoint("ww", Role::Decode, EndpointStatus::Draining),
        ];
        harness.update_endpoints(endpoints);
        harness.end_attempt(1, 1, AttemptStatus::ConnectFailed);
        harness.advance((ttl - 700) * MS);
        assert_eq!(harness.release_count(), 1, "{prefill_end:?}");
    }
}

/// A prefill breaks, and the attempts that follow at once reach no endpoint. The request is never without an attempt, so
/// the release must be checked between two attempts.
#[test]
fn a_suspected_kv_cache_is_released_between_attempts_that_reach_no_endpoint() {
    let mut harness = CoreHarness::new(10);
    let _outcome = harness.submit(1, 0, "a");
    harness.end_attempt(1, 0, AttemptStatus::Reset);
    for attempt in 1..3 {
        assert_eq!(
            (harness.attempt_count(), harness.release_count()),
            (attempt as usize + 1, 0)
        );
        harness.advance(250 * MS);
        harness.end_attempt(1, attempt, AttemptStatus::ConnectFailed);
    }
    assert_eq!((harness.attempt_count(), harness.release_count()), (4, 1));
}

/// The dispatcher can't tell whether an attempt without a response has reached its endpoint, so it releases the KV cache in
/// time. An endpoint that did receive the attempt keeps the KV cache that the attempt waits for.
#[test]
fn a_kv_cache_is_released_in_time_while_its_attempt_has_no_response() {
    let mut harness = CoreHarness::new(10);
    let mut outcome = harness.submit(1, 1, "a");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.advance(700 * MS);
    assert_eq!((harness.attempt_count(), harness.release_count()), (2, 0));
    harness.advance(220 * MS); // now beyond 0.9 of the reservation's time to live and one interval of the core's check
    assert_eq!((harness.attempt_count(), harness.release_count()), (2, 1));
    // The attempt is not cancelled, because it may have arrived.
    assert_eq!(harness.cancelled_attempts(), vec![]);
    assert!(outcome.try_recv().is_err());
    harness.complete_release(1);
    let _chunks = harness.start_stream(1, 1);
    assert!(matches!(outcome.try_recv(), Ok(Outcome::Stream(_))));
    harness.end_attempt(1, 1, AttemptStatus::Served);
    assert_eq!(
        (harness.core.open_requests(), harness.release_count()),
        (0, 1)
    );
}

/// Even in a large fleet, a release names a bounded number of addresses, among them the endpoint that holds the KV cache.
#[test]
fn a_release_names_a_bounded_number_of_addresses() {
    let mut harness = CoreHarness::new(10);
    let address = |index: usize| Arc::<str>::from(format!("127.0.0.1:{}", 10_000 + index));
    let endpoints = (0..500).map(|index| {
        let role = if index % 2 == 0 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let template = endpoint("x", role, EndpointStatus::Ready);
        DiscoveredEndpoint {
            id: format!("n{index}").into(),
            address: address(index),
            ..template
        }
    });
    harness.replace_endpoints(endpoints.collect());
    let _outcome = harness.submit(1, 0, "a");
    let attempted = harness.commands.iter().find_map(|command| match command {
        Command::StartAttempt { address, .. } => Some(address.clone()),
        _ => None,
    });
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.disconnect(1);
    for (id, attempt) in harness.cancelled_attempts() {
        harness.end_attempt(id, attempt, AttemptStatus::Cancelled);
    }
    let released = harness.commands.iter().find_map(|command| match command {
        Command::ReleaseReservation { addresses, .. } => Some(addresses.clone()),
        _ => None,
    });
    let (attempted, released) = (attempted.expect("a prefill"), released.expect("a release"));
    assert!(
        released.contains(&attempted) && released.len() <= 64,
        "{} addresses",
        released.len()
    );
    let distinct: BTreeSet<&Arc<str>> = released.iter().collect();
    assert_eq!(distinct.len(), released.len());
}
