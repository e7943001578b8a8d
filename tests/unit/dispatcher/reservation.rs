use super::*;

const MS: Time = 1_000;
const WITHIN: Time = 1_000 * MS;
const READER: Option<Role> = Some(Role::Prefill);
const WRITER: Option<Role> = Some(Role::Decode);

/// When a release starts, and why, for a request that waits.
fn release(
    lease: &mut Reservation,
    from: Time,
    attempt_out: bool,
) -> Option<(Time, ReleaseReason)> {
    (from..from + 2 * WITHIN)
        .step_by(10 * MS as usize)
        .find_map(|now| {
            let reason = lease.start_release(now, WITHIN, true, attempt_out)?;
            Some((now - from, reason))
        })
}

#[test]
fn a_state_that_was_read_is_released_in_time_with_and_without_a_send() {
    for (attempt_out, reason) in [
        (false, ReleaseReason::Expired),
        (true, ReleaseReason::AttemptUnconfirmed),
    ] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        assert_eq!(
            release(&mut lease, 0, attempt_out),
            Some((900 * MS, reason))
        );
        assert_eq!(
            release(&mut lease, 900 * MS, attempt_out),
            None,
            "one is under way"
        );
    }
}

/// No end of an attempt of which nothing was heard gives a state new time: it need not have arrived.
#[test]
fn only_answers_give_a_state_new_time() {
    let silent = [
        EndReason::Timeout,
        EndReason::Cancelled,
        EndReason::ConnectionReset,
        EndReason::StaleConnection,
        EndReason::ConnectFailed,
        EndReason::RequestNotWritten,
        EndReason::UnreadableResponse,
        EndReason::TaskPanicked,
    ];
    for reason in silent {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        lease.attempt_ended(600 * MS, WRITER, reason);
        assert_eq!(
            release(&mut lease, 600 * MS, false).map(|it| it.0),
            Some(300 * MS),
            "{reason:?}"
        );
    }
    for reason in [EndReason::Overloaded, EndReason::ErrorResponse] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        lease.attempt_ended(600 * MS, WRITER, reason);
        assert_eq!(
            release(&mut lease, 600 * MS, false).map(|it| it.0),
            Some(900 * MS),
            "{reason:?}"
        );
    }
}

#[test]
fn what_a_broken_read_may_have_left_is_released_sooner_where_nothing_is_out() {
    for (attempt_out, after) in [(false, 400 * MS), (true, 900 * MS)] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::ConnectionReset);
        assert_eq!(
            release(&mut lease, 0, attempt_out).map(|it| it.0),
            Some(after)
        );
    }
    for reason in [
        EndReason::Overloaded,
        EndReason::ConnectFailed,
        EndReason::InvalidRequest,
    ] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, reason);
        assert!(!lease.may_be_held(), "{reason:?}");
    }
}

/// A server that had taken the send kept the state when the others were told to release; when that send ends it waits again.
#[test]
fn a_release_under_an_attempt_is_repeated_when_that_one_has_ended() {
    for reason in [
        EndReason::Timeout,
        EndReason::Cancelled,
        EndReason::Overloaded,
        EndReason::ErrorResponse,
    ] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        assert!(release(&mut lease, 0, true).is_some());
        lease.release_ended(900 * MS);
        assert!(!lease.may_be_held());
        lease.attempt_ended(1_500 * MS, WRITER, reason);
        assert_eq!(
            release(&mut lease, 1_500 * MS, false).map(|it| it.0),
            Some(400 * MS),
            "{reason:?}"
        );
    }
    for reason in [
        EndReason::KvStateMissing,
        EndReason::ConnectFailed,
        EndReason::RequestNotWritten,
    ] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        assert!(release(&mut lease, 0, true).is_some());
        lease.release_ended(900 * MS);
        lease.attempt_ended(1_500 * MS, WRITER, reason);
        assert!(!lease.may_be_held(), "{reason:?}");
    }
}

#[test]
fn what_nobody_needs_is_released_at_once_when_nothing_is_out() {
    let mut lease = Reservation::default();
    lease.attempt_ended(0, READER, EndReason::PrefillDone);
    assert_eq!(
        lease.start_release(0, WITHIN, false, true),
        None,
        "its end comes soon"
    );
    assert_eq!(
        lease.start_release(0, WITHIN, false, false),
        Some(ReleaseReason::NoLongerNeeded)
    );
    // What comes to be held while that is under way is released after it.
    lease.attempt_ended(10 * MS, READER, EndReason::PrefillDone);
    assert_eq!(lease.start_release(10 * MS, WITHIN, false, false), None);
    lease.release_ended(20 * MS);
    assert_eq!(
        lease.start_release(20 * MS, WITHIN, false, false),
        Some(ReleaseReason::NoLongerNeeded)
    );
}

#[test]
fn a_stream_that_begins_leaves_nothing_to_release() {
    let mut lease = Reservation::default();
    lease.attempt_ended(0, READER, EndReason::PrefillDone);
    lease.stream_began();
    assert!(!lease.may_be_held());
}

/// The close of an attempt that was given up and the release go to two servers: the release may be read first, while that
/// attempt still waits there, and then it has let go of nothing.
#[test]
fn a_release_right_after_an_attempt_was_given_up_is_repeated_once() {
    for reason in [
        EndReason::Cancelled,
        EndReason::Timeout,
        EndReason::ClientDisconnected,
    ] {
        let mut lease = Reservation::default();
        lease.attempt_ended(0, READER, EndReason::PrefillDone);
        lease.attempt_ended(200 * MS, WRITER, reason);
        assert!(lease
            .start_release(201 * MS, WITHIN, false, false)
            .is_some());
        lease.release_ended(205 * MS);
        assert_eq!(lease.start_release(300 * MS, WITHIN, false, false), None);
        assert!(
            lease
                .start_release(305 * MS, WITHIN, false, false)
                .is_some(),
            "{reason:?}"
        );
        lease.release_ended(310 * MS);
        assert!(!lease.may_be_held(), "{reason:?}");
    }
    // One that comes later finds the attempt over.
    let mut lease = Reservation::default();
    lease.attempt_ended(0, READER, EndReason::PrefillDone);
    lease.attempt_ended(200 * MS, WRITER, EndReason::Cancelled);
    assert!(lease
        .start_release(300 * MS, WITHIN, false, false)
        .is_some());
    lease.release_ended(305 * MS);
    assert!(!lease.may_be_held());
}
