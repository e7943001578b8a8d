use super::*;
use crate::config::{Deployment, SettingsObject};
use crate::dispatcher::messages::UpstreamRequest;
use crate::dispatcher::reasons::EndReason;
use crate::routing::api::{AttemptStatus, RequestMetadata};

const MS: Time = 1_000;
const READER: EndpointId = 1;
const WRITER: EndpointId = 2;
const OTHER_CELL: EndpointId = 3;
const OTHER_ZONE: EndpointId = 4;
const DRAINING: EndpointId = 5;

fn target(server: EndpointId) -> Option<EndpointTarget> {
    let role = if server == READER {
        Role::Prefill
    } else {
        Role::Decode
    };
    let state = if server == DRAINING {
        EndpointStatus::Draining
    } else {
        EndpointStatus::Ready
    };
    let (zone, cell) = match server {
        OTHER_CELL => (0, 1),
        OTHER_ZONE => (1, 2),
        _ => (0, 0),
    };
    (server <= DRAINING).then_some(EndpointTarget {
        role,
        zone,
        cell,
        state,
    })
}

fn settings(effect: Idempotency) -> RoutingSettings {
    let profile: SettingsObject = miniserde::json::from_str(
        r#"{"classes":[{"name":"c","repeat":"free"}],"limits":{"most_tries":3,"second_copies":true}}"#,
    )
    .unwrap();
    let mut settings = Deployment::new(&profile).unwrap().settings;
    settings.classes[0].idempotency = effect;
    settings
}

/// A request with attempts at servers; those without a reason are out. Its time is up after 5 s.
fn request(attempts: &[(EndpointId, Option<EndReason>)]) -> Request {
    let (answer, _) = tokio::sync::oneshot::channel();
    let work = UpstreamRequest {
        client_request_id: "a".into(),
        target: "/".into(),
        body: "{}".into(),
    };
    let ask = RequestMetadata {
        time_left: 5_000 * MS,
        ..RequestMetadata::default()
    };
    let mut request = Request::new(0, &ask, work, false, answer);
    let attempt = |(server, ended): &(EndpointId, Option<EndReason>)| Attempt {
        ended_at: 0,
        server: *server,
        target: target(*server),
        sent: 0,
        ended: *ended,
    };
    request.attempts = attempts.iter().map(attempt).collect();
    request
}

fn send(
    effect: Idempotency,
    now: Time,
    server: EndpointId,
    attempts: &[(EndpointId, Option<EndReason>)],
) -> Result<(), Rule> {
    let settings = settings(effect);
    Guard {
        settings: &settings,
        target,
        now,
    }
    .check_send(&request(attempts), server)
    .map(drop)
}

fn refusal(
    effect: Idempotency,
    now: Time,
    attempts: &[(EndpointId, Option<EndReason>)],
) -> Result<(), Rule> {
    let settings = settings(effect);
    Guard {
        settings: &settings,
        target,
        now,
    }
    .check_refusal(&request(attempts))
}

#[test]
fn nothing_goes_to_a_server_that_is_not_ready_nor_for_what_is_over() {
    assert_eq!(send(Idempotency::Idempotent, 0, WRITER, &[]), Ok(()));
    assert_eq!(
        send(Idempotency::Idempotent, 0, DRAINING, &[]),
        Err(Rule::Drain)
    );
    assert_eq!(send(Idempotency::Idempotent, 0, 99, &[]), Err(Rule::Drain));
    assert_eq!(
        send(Idempotency::Idempotent, 5_000 * MS, WRITER, &[]),
        Err(Rule::RequestOver)
    );
    let settings = settings(Idempotency::Idempotent);
    let guard = Guard {
        settings: &settings,
        target,
        now: 0,
    };
    let mut closed = request(&[(WRITER, None)]);
    assert_eq!(guard.check_stream(&closed, 0), Ok(()));
    assert_eq!(guard.check_stream(&closed, 1), Err(Rule::RequestOver));
    closed.close();
    assert_eq!(guard.check_send(&closed, WRITER), Err(Rule::RequestOver));
    assert_eq!(guard.check_stream(&closed, 0), Err(Rule::RequestOver));
}

#[test]
fn attempts_are_as_many_as_the_settings_allow() {
    let failed = (READER, Some(EndReason::ErrorResponse));
    assert_eq!(
        send(Idempotency::Idempotent, 0, WRITER, &[failed, failed]),
        Ok(())
    );
    assert_eq!(
        send(
            Idempotency::Idempotent,
            0,
            WRITER,
            &[failed, failed, failed]
        ),
        Err(Rule::Attempts)
    );
    let alone = RoutingSettings {
        hedging_allowed: false,
        ..settings(Idempotency::Idempotent)
    };
    let guard = Guard {
        settings: &alone,
        target,
        now: 0,
    };
    assert_eq!(
        guard.check_send(&request(&[(READER, None)]), READER),
        Err(Rule::Attempts)
    );
}

#[test]
fn what_must_not_run_twice_goes_on_only_where_nothing_ran() {
    for reason in [
        AttemptStatus::PrefillDone,
        AttemptStatus::Reset,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(
                Idempotency::NonIdempotent,
                0,
                WRITER,
                &[(READER, Some(reason))]
            ),
            Ok(()),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Idempotency::NonIdempotent, 0, &[(READER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
    }
    for reason in [
        AttemptStatus::Reset,
        AttemptStatus::StaleConnection,
        AttemptStatus::Timeout,
        AttemptStatus::Cancelled,
        AttemptStatus::Error,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(
                Idempotency::NonIdempotent,
                0,
                READER,
                &[(WRITER, Some(reason))]
            ),
            Err(Rule::Duplicate),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Idempotency::NonIdempotent, 0, &[(WRITER, Some(reason))]),
            Err(Rule::Duplicate),
            "{reason:?}"
        );
    }
    for reason in [
        AttemptStatus::Overloaded,
        AttemptStatus::ConnectFailed,
        AttemptStatus::NotSent,
        AttemptStatus::InvalidRequest,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(
                Idempotency::NonIdempotent,
                0,
                WRITER,
                &[(WRITER, Some(reason))]
            ),
            Ok(()),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Idempotency::NonIdempotent, 0, &[(WRITER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
    }
    // While an attempt is out, at a reader too, nothing proves that it had no effect.
    assert_eq!(
        refusal(Idempotency::NonIdempotent, 0, &[(READER, None)]),
        Err(Rule::Duplicate)
    );
    assert_eq!(
        send(Idempotency::NonIdempotent, 0, READER, &[(READER, None)]),
        Err(Rule::Duplicate)
    );
}

#[test]
fn keyed_requests_are_repeated_where_and_while_repeats_are_dropped() {
    let lost = [(WRITER, Some(EndReason::Timeout))];
    let keyed = |group| Idempotency::IdempotencyKey {
        scope: group,
        window: 1_000 * MS,
    };
    for (group, server, allowed) in [
        (DeduplicationScope::AllEndpoints, OTHER_ZONE, true),
        (DeduplicationScope::Zone, OTHER_CELL, true),
        (DeduplicationScope::Zone, OTHER_ZONE, false),
        (DeduplicationScope::Cell, WRITER, true),
        (DeduplicationScope::Cell, OTHER_CELL, false),
    ] {
        let expected = if allowed {
            Ok(())
        } else {
            Err(Rule::Duplicate)
        };
        assert_eq!(
            send(keyed(group), 999 * MS, server, &lost),
            expected,
            "{group:?} {server}"
        );
        assert_eq!(
            send(keyed(group), 1_000 * MS, server, &lost),
            Err(Rule::Duplicate),
            "{group:?} {server}"
        );
    }
    assert_eq!(
        refusal(keyed(DeduplicationScope::AllEndpoints), 999 * MS, &lost),
        Ok(())
    );
    assert_eq!(
        refusal(keyed(DeduplicationScope::AllEndpoints), 1_000 * MS, &lost),
        Err(Rule::Duplicate)
    );
    assert_eq!(
        refusal(keyed(DeduplicationScope::Zone), 0, &lost),
        Err(Rule::Duplicate)
    );
}
