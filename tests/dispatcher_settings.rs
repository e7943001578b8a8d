//! Changes of settings while requests are in flight.

mod dispatcher_harness;

use dispatcher_harness::{
    deployment, metadata, profile, CoreHarness, FREE_CLASS, MS, NON_IDEMPOTENT_CLASS,
};
use quartzhall::dispatcher::{Command, Outcome};
use quartzhall::routing::api::{AttemptStatus, RequestMetadata};

/// Requests in flight keep the idempotency with which they arrived, and later ones have the new one.
#[test]
fn requests_in_flight_keep_their_class_when_settings_change() {
    let mut harness = CoreHarness::new(10);
    assert!(
        harness.core.take_changed_deployment().is_some()
            && harness.core.take_changed_deployment().is_none()
    );
    let mut idempotent = harness.submit(1, 0, "before");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness
        .apply_settings(&profile::SETTINGS.replace(FREE_CLASS, NON_IDEMPOTENT_CLASS))
        .unwrap();
    let deployment = harness.core.take_changed_deployment().unwrap();
    let number = deployment.classes.lookup("status-query").unwrap() as usize;
    assert_ne!(number, 0, "another meaning has another number");
    assert_eq!(deployment.classes.lookup("return-request"), Some(1));
    let mut non_idempotent = harness.submit(2, number, "after");
    harness.end_attempt(2, 0, AttemptStatus::PrefillDone);
    // A decode that may have run: the old request may be repeated, the new one fails.
    harness.end_attempt(1, 1, AttemptStatus::Error);
    harness.end_attempt(2, 1, AttemptStatus::Error);
    assert!(idempotent.try_recv().is_err());
    assert!(matches!(non_idempotent.try_recv(), Ok(Outcome::Failed)));
}

/// A lower limit applies to attempts that have not started, also of requests in flight.
#[test]
fn a_lower_attempt_limit_applies_to_requests_in_flight() {
    let mut harness = CoreHarness::new(10);
    let mut outcome = harness.submit(1, 0, "a");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    assert_eq!(harness.attempt_count(), 2);
    harness
        .apply_settings(&profile::SETTINGS.replace(r#""most_tries":5"#, r#""most_tries":2"#))
        .unwrap();
    harness.end_attempt(1, 1, AttemptStatus::Error);
    harness.advance(100 * MS);
    assert_eq!(harness.attempt_count(), 2);
    assert!(matches!(
        outcome.try_recv(),
        Ok(Outcome::Shed { .. } | Outcome::Failed)
    ));
}

/// The number of a removed class is reused only when its requests are closed and a minute has passed; so the table of
/// classes is bounded however often settings change.
#[test]
fn class_numbers_are_reused_after_a_delay() {
    let mut harness = CoreHarness::new(10);
    let mut largest = 0;
    let _first = harness.submit(1, 0, "long");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    let _chunks = harness.start_stream(1, 1);
    for round in 0..300 {
        let class = format!(r#""aim":{}.0,"repeat":"free""#, 1000 + round);
        harness
            .apply_settings(&profile::SETTINGS.replace(FREE_CLASS, &class))
            .unwrap();
        let deployment = harness.core.take_changed_deployment().unwrap();
        largest = largest.max(deployment.classes.lookup("status-query").unwrap());
        assert_ne!(
            deployment.classes.lookup("status-query"),
            Some(0),
            "a request of it is open"
        );
        harness.advance(10_000 * MS);
    }
    assert!(largest < 12, "{largest}");
    // Without the time between, the limit rejects the change, and the settings in force stay.
    let mut applied = 0;
    while harness
        .apply_settings(
            &profile::SETTINGS
                .replace(FREE_CLASS, &format!(r#""aim":{applied}.5,"repeat":"free""#)),
        )
        .is_ok()
    {
        applied += 1;
    }
    assert!((200..260).contains(&applied), "{applied}");
    let rejected =
        harness.apply_settings(&profile::SETTINGS.replace(FREE_CLASS, NON_IDEMPOTENT_CLASS));
    assert_eq!(
        rejected.unwrap_err().to_string(),
        "too many classes have come and gone while requests of theirs are open"
    );
    let deployment = harness.core.take_changed_deployment().unwrap();
    let number = deployment.classes.lookup("status-query").unwrap() as usize;
    assert_eq!(
        deployment.settings.classes[number].ttft_objective,
        (applied - 1) * 1000 + 500
    );
}

/// Endpoints drop repeats for 2 s. An attempt may wait for a permit and for its connection, 250 ms each, so that none is
/// started that may arrive later; also after a change of settings.
#[test]
fn a_repeat_arrives_within_the_idempotency_window_over_a_slow_connection() {
    let keyed = profile::SETTINGS.replace(
        r#""repeat":"single_shot","group":"all","key_ttl":0.0"#,
        r#""repeat":"guarded","group":"all","key_ttl":2000.0"#,
    );
    for is_reapplied in [false, true] {
        for (delay, is_repeated) in [(1_200, true), (1_450, false), (1_900, false)] {
            let mut harness = CoreHarness::with_deployment(deployment(&keyed), 10);
            if is_reapplied {
                harness.apply_settings(&keyed).unwrap();
            }
            let request = RequestMetadata {
                class: 1,
                time_left: 9_000 * MS,
                ..metadata(1)
            };
            let _outcome = harness.submit_request(request, "a");
            harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
            assert_eq!(harness.attempt_count(), 2);
            harness.advance(delay * MS);
            let before = harness.attempt_count();
            harness.end_attempt(1, 1, AttemptStatus::Reset);
            harness.advance(50 * MS);
            harness.end_attempt(1, 2, AttemptStatus::PrefillDone);
            harness.advance(50 * MS);
            let decodes = harness.commands.iter().filter(
                |command| matches!(command, Command::StartAttempt { address, .. } if address.ends_with('2')),
            );
            let decodes = decodes.count();
            assert_eq!(
                decodes > 1,
                is_repeated,
                "after {delay} ms: {before} attempts before, {} then",
                harness.attempt_count()
            );
        }
    }
}
