use super::*;
use crate::config::{Profile, Site};
use crate::dispatcher::messages::Work;
use crate::dispatcher::reasons::EndReason;
use crate::routing::api::{Ask, Status};

const MS: Time = 1_000;
const READER: ServerId = 1;
const WRITER: ServerId = 2;
const OTHER_CELL: ServerId = 3;
const OTHER_ZONE: ServerId = 4;
const DRAINING: ServerId = 5;

fn target(server: ServerId) -> Option<Target> {
    let role = if server == READER {
        Role::Reader
    } else {
        Role::Writer
    };
    let state = if server == DRAINING {
        State::Draining
    } else {
        State::Ready
    };
    let (zone, cell) = match server {
        OTHER_CELL => (0, 1),
        OTHER_ZONE => (1, 2),
        _ => (0, 0),
    };
    (server <= DRAINING).then_some(Target {
        role,
        zone,
        cell,
        state,
    })
}

fn settings(effect: Effect) -> Settings {
    let profile: Profile = miniserde::json::from_str(
        r#"{"classes":[{"name":"c","repeat":"free"}],"limits":{"most_tries":3,"second_copies":true}}"#,
    )
    .unwrap();
    let mut settings = Site::new(&profile).unwrap().settings;
    settings.classes[0].effect = effect;
    settings
}

/// A request with attempts at servers; those without a reason are out. Its time is up after 5 s.
fn request(attempts: &[(ServerId, Option<EndReason>)]) -> Request {
    let (answer, _) = tokio::sync::oneshot::channel();
    let work = Work {
        name: "a".into(),
        target: "/".into(),
        body: "{}".into(),
    };
    let ask = Ask {
        expires_in: 5_000 * MS,
        ..Ask::default()
    };
    let mut request = Request::new(0, &ask, work, false, answer);
    let attempt = |(server, ended): &(ServerId, Option<EndReason>)| Attempt {
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
    effect: Effect,
    now: Time,
    server: ServerId,
    attempts: &[(ServerId, Option<EndReason>)],
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
    effect: Effect,
    now: Time,
    attempts: &[(ServerId, Option<EndReason>)],
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
    assert_eq!(send(Effect::Safe, 0, WRITER, &[]), Ok(()));
    assert_eq!(send(Effect::Safe, 0, DRAINING, &[]), Err(Rule::Drain));
    assert_eq!(send(Effect::Safe, 0, 99, &[]), Err(Rule::Drain));
    assert_eq!(
        send(Effect::Safe, 5_000 * MS, WRITER, &[]),
        Err(Rule::RequestOver)
    );
    let settings = settings(Effect::Safe);
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
    let failed = (READER, Some(EndReason::ErrorAnswer));
    assert_eq!(send(Effect::Safe, 0, WRITER, &[failed, failed]), Ok(()));
    assert_eq!(
        send(Effect::Safe, 0, WRITER, &[failed, failed, failed]),
        Err(Rule::Attempts)
    );
    let alone = Settings {
        second_copies: false,
        ..settings(Effect::Safe)
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
        Status::Read,
        Status::Reset,
        Status::Timeout,
        Status::Cancelled,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(Effect::Unsafe, 0, WRITER, &[(READER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Effect::Unsafe, 0, &[(READER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
    }
    for reason in [
        Status::Reset,
        Status::Stale,
        Status::Timeout,
        Status::Cancelled,
        Status::Error,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(Effect::Unsafe, 0, READER, &[(WRITER, Some(reason))]),
            Err(Rule::Duplicate),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Effect::Unsafe, 0, &[(WRITER, Some(reason))]),
            Err(Rule::Duplicate),
            "{reason:?}"
        );
    }
    for reason in [
        Status::Full,
        Status::ConnectFailed,
        Status::Moot,
        Status::Rejected,
    ]
    .map(EndReason::of)
    {
        assert_eq!(
            send(Effect::Unsafe, 0, WRITER, &[(WRITER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
        assert_eq!(
            refusal(Effect::Unsafe, 0, &[(WRITER, Some(reason))]),
            Ok(()),
            "{reason:?}"
        );
    }
    // While an attempt is out, at a reader too, nothing proves that it had no effect.
    assert_eq!(
        refusal(Effect::Unsafe, 0, &[(READER, None)]),
        Err(Rule::Duplicate)
    );
    assert_eq!(
        send(Effect::Unsafe, 0, READER, &[(READER, None)]),
        Err(Rule::Duplicate)
    );
}

#[test]
fn keyed_requests_are_repeated_where_and_while_repeats_are_dropped() {
    let lost = [(WRITER, Some(EndReason::Silent))];
    let keyed = |group| Effect::Keyed {
        group,
        window: 1_000 * MS,
    };
    for (group, server, allowed) in [
        (Group::All, OTHER_ZONE, true),
        (Group::Zone, OTHER_CELL, true),
        (Group::Zone, OTHER_ZONE, false),
        (Group::Cell, WRITER, true),
        (Group::Cell, OTHER_CELL, false),
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
    assert_eq!(refusal(keyed(Group::All), 999 * MS, &lost), Ok(()));
    assert_eq!(
        refusal(keyed(Group::All), 1_000 * MS, &lost),
        Err(Rule::Duplicate)
    );
    assert_eq!(refusal(keyed(Group::Zone), 0, &lost), Err(Rule::Duplicate));
}
