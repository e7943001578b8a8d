//! Tests of requests in the core: outcomes, duplicate ids, deadlines and disconnects.

mod dispatcher_harness;

use dispatcher_harness::{CoreHarness, MS};
use quartzhall::dispatcher::{Command, Event, Outcome, StreamChunk};
use quartzhall::routing::api::AttemptStatus;
use tokio::sync::oneshot;

#[test]
fn a_request_runs_prefill_and_decode_and_leaves_the_table() {
    let mut harness = CoreHarness::new(10);
    let mut outcome = harness.submit(1, 1, "a");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    assert_eq!(harness.attempt_count(), 2);
    let chunks = harness.start_stream(1, 1);
    let Ok(Outcome::Stream(mut stream)) = outcome.try_recv() else {
        panic!("not served")
    };
    chunks.try_send(StreamChunk::End).unwrap();
    assert_eq!(stream.try_recv(), Ok(StreamChunk::End));
    // A stream has no deadline.
    harness.advance(60_000 * MS);
    assert_eq!(
        (harness.core.open_requests(), harness.cancelled_attempts()),
        (1, vec![])
    );
    harness.end_attempt(1, 1, AttemptStatus::Served);
    assert_eq!(
        (harness.core.open_requests(), harness.release_count()),
        (0, 0)
    );
}

#[test]
fn a_passed_deadline_sends_one_outcome_and_cancels_all_attempts() {
    for class in [0, 1] {
        let mut harness = CoreHarness::new(10);
        let mut outcome = harness.submit(1, class, "a");
        harness.advance(1_980 * MS);
        assert!(outcome.try_recv().is_err(), "not before the deadline");
        harness.advance(40 * MS);
        assert!(matches!(
            outcome.try_recv(),
            Ok(Outcome::Shed { .. } | Outcome::Failed)
        ));
        for (id, attempt) in harness.cancelled_attempts() {
            harness.end_attempt(id, attempt, AttemptStatus::Cancelled);
        }
        // The prefill may have succeeded before it was cancelled, so its KV cache is released before the request is removed.
        assert_eq!(
            (harness.core.open_requests(), harness.release_count()),
            (1, 1)
        );
        harness.complete_repeated_release(1);
        assert_eq!(
            (harness.core.open_requests(), harness.release_count()),
            (0, 2)
        );
    }
}

/// The endpoint of an attempt that was just abandoned may not have seen the close yet and may still run it. A client whose
/// request must not run twice is therefore not told to retry.
#[test]
fn a_non_idempotent_request_is_not_shed_right_after_an_attempt_was_abandoned() {
    for (class, is_shed) in [(0, true), (1, false)] {
        let mut harness = CoreHarness::new(10);
        let mut outcome = harness.submit(1, class, "a");
        harness.advance(1_985 * MS);
        // The attempt's timeout and the request's deadline pass together; the end of the attempt is handled first.
        harness.now += 8 * MS;
        harness.end_attempt(1, 0, AttemptStatus::Timeout);
        harness.advance(2 * MS);
        let outcome = outcome.try_recv().expect("the deadline has passed");
        assert_eq!(
            matches!(outcome, Outcome::Shed { .. }),
            is_shed,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_client_request_id_in_flight_is_rejected_as_duplicate() {
    let mut harness = CoreHarness::new(10);
    let mut first = harness.submit(1, 0, "same");
    assert!(matches!(
        harness.submit(2, 0, "same").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
    assert_eq!(
        (harness.core.open_requests(), harness.attempt_count()),
        (1, 1)
    );
    assert!(first.try_recv().is_err());
    // Endpoints still know the client request id until the reservation is released.
    harness.disconnect(1);
    assert!(matches!(
        harness.submit(3, 0, "same").try_recv(),
        Ok(Outcome::DuplicateId)
    ));
    harness.end_attempt(1, 0, AttemptStatus::Cancelled);
    harness.complete_repeated_release(1);
    assert!(harness.submit(4, 0, "same").try_recv().is_err(), "accepted");
}

#[test]
fn a_request_beyond_the_limit_is_shed_at_once() {
    let mut harness = CoreHarness::new(1);
    let _first = harness.submit(1, 0, "a");
    assert!(matches!(
        harness.submit(2, 1, "b").try_recv(),
        Ok(Outcome::Shed { .. })
    ));
    assert_eq!(harness.attempt_count(), 1);
}

#[test]
fn a_disconnecting_client_learns_whether_the_request_may_have_run() {
    for (is_prefill, status, may_have_run) in [
        (true, AttemptStatus::Cancelled, false),
        (false, AttemptStatus::Overloaded, false),
        (false, AttemptStatus::ConnectFailed, false),
        (false, AttemptStatus::Cancelled, true),
        (false, AttemptStatus::Reset, true),
        (false, AttemptStatus::StaleConnection, true),
    ] {
        let mut harness = CoreHarness::new(10);
        let _outcome = harness.submit(1, 1, "a");
        let attempt = u32::from(!is_prefill);
        if !is_prefill {
            harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
        }
        let (reply, mut result) = oneshot::channel();
        harness.handle(Event::ClientDisconnected {
            id: 1,
            may_have_run: Some(reply),
        });
        harness.end_attempt(1, attempt, status);
        match status {
            AttemptStatus::Cancelled => harness.complete_repeated_release(1),
            _ => harness.complete_release(1),
        }
        assert_eq!(result.try_recv(), Ok(may_have_run), "{status:?}");
    }
}

#[test]
fn only_a_non_idempotent_decode_needs_a_new_connection() {
    for (class, expected) in [(0, [false, false]), (1, [false, true])] {
        let mut harness = CoreHarness::new(10);
        let _outcome = harness.submit(1, class, "a");
        harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
        let started = harness.commands.iter().filter_map(|command| match command {
            Command::StartAttempt {
                needs_new_connection,
                ..
            } => Some(*needs_new_connection),
            _ => None,
        });
        assert_eq!(started.collect::<Vec<_>>(), expected);
    }
}

#[test]
fn a_stream_that_starts_after_the_outcome_is_dropped() {
    let mut harness = CoreHarness::new(10);
    let mut outcome = harness.submit(1, 1, "a");
    harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
    harness.advance(2_100 * MS);
    assert!(matches!(outcome.try_recv(), Ok(Outcome::Failed)));
    let chunks = harness.start_stream(1, 1);
    assert!(chunks.is_closed(), "the endpoint's stream is dropped");
    // The end of an attempt that never started, or of an unknown request, changes nothing.
    harness.end_attempt(1, 7, AttemptStatus::Served);
    harness.end_attempt(9, 0, AttemptStatus::Served);
    assert_eq!(harness.attempt_count(), 2);
}

/// Every endpoint would reject an invalid request. Retrying it would get healthy endpoints ejected, so it is closed after
/// its first attempt.
#[test]
fn an_invalid_request_goes_to_no_other_endpoint() {
    let mut harness = CoreHarness::new(10);
    for id in 1..20 {
        let mut outcome = harness.submit(id, (id % 2) as usize, &format!("bad{id}"));
        assert_eq!(
            harness.attempt_count(),
            id as usize,
            "the endpoint is not ejected"
        );
        harness.end_attempt(id, 0, AttemptStatus::InvalidRequest);
        assert!(matches!(outcome.try_recv(), Ok(Outcome::InvalidRequest)));
        assert_eq!(harness.core.open_requests(), 0);
    }
    harness.advance(5_000 * MS);
    assert_eq!((harness.attempt_count(), harness.release_count()), (19, 0));
}

/// A non-idempotent request that may have run is rejected as a duplicate when it is submitted again, even while the table
/// is full. Shedding it would tell the client that retrying is harmless. An idempotent request may be shed. Client request
/// ids are remembered for 30 s.
#[test]
fn a_client_request_id_that_may_have_run_is_not_shed_when_submitted_again() {
    for (class, is_non_idempotent) in [(0, false), (1, true)] {
        let mut harness = CoreHarness::new(1);
        let _served = harness.submit(1, class, "again");
        harness.end_attempt(1, 0, AttemptStatus::PrefillDone);
        drop(harness.start_stream(1, 1));
        harness.end_attempt(1, 1, AttemptStatus::Served);
        assert_eq!(harness.core.open_requests(), 0);
        // The table is full, so a request with a new id is shed.
        let _other = harness.submit(2, class, "other");
        assert!(matches!(
            harness.submit(3, class, "third").try_recv(),
            Ok(Outcome::Shed { .. })
        ));
        let again = harness.submit(4, class, "again").try_recv();
        assert_eq!(
            matches!(again, Ok(Outcome::DuplicateId)),
            is_non_idempotent,
            "{again:?}"
        );
        assert_eq!(
            matches!(again, Ok(Outcome::Shed { .. })),
            !is_non_idempotent,
            "{again:?}"
        );
    }
    let mut harness = CoreHarness::new(1);
    let run = |harness: &mut CoreHarness, id: u64, name: &str| {
        let outcome = harness.submit(id, 1, name);
        harness.end_attempt(id, 0, AttemptStatus::PrefillDone);
        drop(harness.start_stream(id, 1));
        harness.end_attempt(id, 1, AttemptStatus::Served);
        drop(outcome);
    };
    run(&mut harness, 1, "old");
    harness.advance(31_000 * MS);
    run(&mut harness, 2, "new");
    let mut again = harness.submit(3, 1, "old");
    assert!(again.try_recv().is_err(), "the id is no longer remembered");
}
