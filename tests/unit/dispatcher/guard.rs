//! Tests of the guard: for each kind of request, after which attempts and at which endpoints a step is allowed.

use super::*;
use crate::config::{Deployment, SettingsObject};
use crate::dispatcher::messages::UpstreamRequest;
use crate::dispatcher::reasons::EndReason;
use crate::routing::api::{AttemptStatus, RequestMetadata};

const MS: Time = 1_000;
const PREFILL: EndpointId = 1;
const DECODE: EndpointId = 2;
const OTHER_CELL: EndpointId = 3;
const OTHER_ZONE: EndpointId = 4;
const DRAINING: EndpointId = 5;

fn target(endpoint: EndpointId) -> Option<EndpointTarget> {
    let role = if endpoint == PREFILL {
        Role::Prefill
    } else {
        Role::Decode
    };
    let status = if endpoint == DRAINING {
        EndpointStatus::Draining
    } else {
        EndpointStatus::Ready
    };
    let (zone, cell) = match endpoint {
        OTHER_CELL => (0, 1),
        OTHER_ZONE => (1, 2),
        _ => (0, 0),
    };
    (endpoint <= DRAINING).then_some(EndpointTarget {
        role,
        zone,
        cell,
        status,
    })
}

fn settings(idempotency: Idempotency) -> RoutingSettings {
    let profile: SettingsObject = miniserde::json::from_str(
        r#"{"classes":[{"name":"c","repeat":"free"}],"limits":{"most_tries":3,"second_copies":true}}"#,
    )
    .unwrap();
    let mut settings = Deployment::new(&profile).unwrap().settings;
    settings.classes[0].idempotency = idempotency;
    settings
}

/// Creates a request with these attempts; those without a reason are in flight. Its deadline is at 5 s.
fn request(attempts: &[(EndpointId, Option<EndReason>)]) -> Request {
    let (outcome, _) = tokio::sync::oneshot::channel();
    let upstream = UpstreamRequest {
        client_request_id: "a".into(),
        target: "/".into(),
        body: "{}".into(),
        stream_can_migrate: true,
    };
    let metadata = RequestMetadata {
        time_left: 5_000 * MS,
        ..RequestMetadata::default()
    };
    let mut request = Request::new(0, &metadata, upstream, Idempotency::Idempotent, outcome);
    let attempt = |(endpoint, end_reason): &(EndpointId, Option<EndReason>)| Attempt {
        end_reason: *end_reason,
        ..Attempt::new(0, *endpoint, target(*endpoint))
    };
    request.attempts = attempts.iter().map(attempt).collect();
    request
}

fn check_attempt(
    idempotency: Idempotency,
    now: Time,
    endpoint: EndpointId,
    attempts: &[(EndpointId, Option<EndReason>)],
) -> Result<(), Rule> {
    let settings = settings(idempotency);
    Guard {
        settings: &settings,
        target_of: target,
        now,
    }
    .check_attempt(&request(attempts), endpoint)
    .map(drop)
}

fn check_shed(
    idempotency: Idempotency,
    now: Time,
    attempts: &[(EndpointId, Option<EndReason>)],
) -> Result<(), Rule> {
    let settings = settings(idempotency);
    Guard {
        settings: &settings,
        target_of: target,
        now,
    }
    .check_shed(&request(attempts))
}

#[test]
fn no_attempt_goes_to_an_endpoint_that_is_not_ready_nor_for_a_closed_request() {
    assert_eq!(
        check_attempt(Idempotency::Idempotent, 0, DECODE, &[]),
        Ok(())
    );
    assert_eq!(
        check_attempt(Idempotency::Idempotent, 0, DRAINING, &[]),
        Err(Rule::Drain)
    );
    assert_eq!(
        check_attempt(Idempotency::Idempotent, 0, 99, &[]),
        Err(Rule::Drain)
    );
    assert_eq!(
        check_attempt(Idempotency::Idempotent, 5_000 * MS, DECODE, &[]),
        Err(Rule::RequestOver)
    );
    let settings = settings(Idempotency::Idempotent);
    let guard = Guard {
        settings: &settings,
        target_of: target,
        now: 0,
    };
    let mut closed = request(&[(DECODE, None)]);
    assert_eq!(guard.check_stream(&closed, 0), Ok(()));
    assert_eq!(guard.check_stream(&closed, 1), Err(Rule::RequestOver));
    closed.close();
    assert_eq!(guard.check_attempt(&closed, DECODE), Err(Rule::RequestOver));
    assert_eq!(guard.check_stream(&closed, 0), Err(Rule::RequestOver));
}

#[test]
fn attempts_are_limited_by_the_settings() {
    let failed = (PREFILL, Some(EndReason::ErrorResponse));
    assert_eq!(
        check_attempt(Idempotency::Idempotent, 0, DECODE, &[failed, failed]),
        Ok(())
    );
    assert_eq!(
        check_attempt(
            Idempotency::Idempotent,
            0,
            DECODE,
            &[failed, failed, failed]
        ),
        Err(Rule::Attempts)
    );
    let no_hedging = RoutingSettings {
        hedging_allowed: false,
        ..settings(Idempotency::Idempotent)
    };
    let guard = Guard {
        settings: &no_hedging,
        target_of: target,
        now: 0,
    };
    assert_eq!(
        guard.check_attempt(&request(&[(PREFILL, None)]), PREFILL),
        Err(Rule::Attempts)
    );
}

/// Asserts whether a request that must not run twice may have a further attempt at `endpoint`, and may be shed, after
/// `previous`.
fn assert_non_idempotent(
    endpoint: EndpointId,
    previous: (EndpointId, Option<EndReason>),
    expected: Result<(), Rule>,
) {
    let idempotency = Idempotency::NonIdempotent;
    assert_eq!(
        check_attempt(idempotency, 0, endpoint, &[previous]),
        expected,
        "{previous:?}"
    );
    assert_eq!(
        check_shed(idempotency, 0, &[previous]),
        expected,
        "{previous:?}"
    );
}

#[test]
fn a_non_idempotent_request_is_repeated_after_any_end_of_a_prefill() {
    for status in [
        AttemptStatus::PrefillDone,
        AttemptStatus::Reset,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ] {
        let previous = (PREFILL, Some(EndReason::from_status(status)));
        assert_non_idempotent(DECODE, previous, Ok(()));
    }
}

#[test]
fn a_non_idempotent_request_is_not_repeated_after_a_decode_that_may_have_run() {
    for status in [
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
        AttemptStatus::Error,
    ] {
        let previous = (DECODE, Some(EndReason::from_status(status)));
        assert_non_idempotent(PREFILL, previous, Err(Rule::Duplicate));
    }
}

#[test]
fn a_non_idempotent_request_is_repeated_after_a_decode_that_never_ran() {
    for status in [
        AttemptStatus::Overloaded,
        AttemptStatus::ConnectFailed,
        AttemptStatus::NotSent,
        AttemptStatus::InvalidRequest,
    ] {
        let previous = (DECODE, Some(EndReason::from_status(status)));
        assert_non_idempotent(DECODE, previous, Ok(()));
    }
}

/// While an attempt is in flight, even at a prefill endpoint, nothing proves that it had no effect.
#[test]
fn a_non_idempotent_request_is_not_repeated_while_an_attempt_is_in_flight() {
    assert_non_idempotent(PREFILL, (PREFILL, None), Err(Rule::Duplicate));
}

#[test]
fn requests_with_idempotency_keys_are_repeated_where_and_while_repeats_are_dropped() {
    let timed_out = [(DECODE, Some(EndReason::Timeout))];
    let idempotency_key = |scope| Idempotency::IdempotencyKey {
        scope,
        window: 1_000 * MS,
    };
    for (scope, endpoint, allowed) in [
        (DeduplicationScope::AllEndpoints, OTHER_ZONE, true),
        (DeduplicationScope::Zone, OTHER_CELL, true),
        (DeduplicationScope::Zone, OTHER_ZONE, false),
        (DeduplicationScope::Cell, DECODE, true),
        (DeduplicationScope::Cell, OTHER_CELL, false),
    ] {
        let expected = if allowed {
            Ok(())
        } else {
            Err(Rule::Duplicate)
        };
        assert_eq!(
            check_attempt(idempotency_key(scope), 999 * MS, endpoint, &timed_out),
            expected,
            "{scope:?} {endpoint}"
        );
        assert_eq!(
            check_attempt(idempotency_key(scope), 1_000 * MS, endpoint, &timed_out),
            Err(Rule::Duplicate),
            "{scope:?} {endpoint}"
        );
    }
    assert_eq!(
        check_shed(
            idempotency_key(DeduplicationScope::AllEndpoints),
            999 * MS,
            &timed_out
        ),
        Ok(())
    );
    assert_eq!(
        check_shed(
            idempotency_key(DeduplicationScope::AllEndpoints),
            1_000 * MS,
            &timed_out
        ),
        Err(Rule::Duplicate)
    );
    assert_eq!(
        check_shed(idempotency_key(DeduplicationScope::Zone), 0, &timed_out),
        Err(Rule::Duplicate)
    );
}
