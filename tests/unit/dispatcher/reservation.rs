//! Tests of the reservation: when a release is due, why it starts, and when it is repeated.

use super::ReservationDemand::{AttemptInFlight, NotNeeded, RequestWaiting};
use super::*;

const MS: Time = 1_000;
const TTL: Time = 1_000 * MS;
const PREFILL: Option<Role> = Some(Role::Prefill);
const DECODE: Option<Role> = Some(Role::Decode);

/// Starts a release as soon as one is due, and returns after which time that was, and why. `None` if none is due within twice
/// the TTL.
fn start_release_when_due(
    reservation: &mut Reservation,
    from: Time,
    demand: ReservationDemand,
) -> Option<(Time, ReleaseReason)> {
    (from..from + 2 * TTL)
        .step_by(10 * MS as usize)
        .find_map(|now| {
            let reason = reservation.start_release(now, TTL, demand)?;
            Some((now - from, reason))
        })
}

#[test]
fn a_confirmed_kv_cache_is_released_in_time_with_and_without_an_attempt_in_flight() {
    for (demand, reason) in [
        (RequestWaiting, ReleaseReason::Expired),
        (AttemptInFlight, ReleaseReason::AttemptUnconfirmed),
    ] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        assert_eq!(
            start_release_when_due(&mut reservation, 0, demand),
            Some((900 * MS, reason))
        );
        assert_eq!(
            start_release_when_due(&mut reservation, 900 * MS, demand),
            None,
            "a release is in progress"
        );
    }
}

/// The end of an attempt without a response must not restart the TTL of a KV cache: the attempt may not have reached its
/// endpoint.
#[test]
fn only_responses_give_a_kv_cache_new_time() {
    let without_response = [
        EndReason::Timeout,
        EndReason::Cancelled,
        EndReason::ConnectionReset,
        EndReason::StaleConnection,
        EndReason::ConnectFailed,
        EndReason::RequestNotWritten,
        EndReason::UnreadableResponse,
        EndReason::TaskPanicked,
    ];
    for reason in without_response {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        reservation.on_attempt_ended(600 * MS, DECODE, reason);
        assert_eq!(
            start_release_when_due(&mut reservation, 600 * MS, RequestWaiting)
                .map(|(delay, _)| delay),
            Some(300 * MS),
            "{reason:?}"
        );
    }
    for reason in [EndReason::Overloaded, EndReason::ErrorResponse] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        reservation.on_attempt_ended(600 * MS, DECODE, reason);
        assert_eq!(
            start_release_when_due(&mut reservation, 600 * MS, RequestWaiting)
                .map(|(delay, _)| delay),
            Some(900 * MS),
            "{reason:?}"
        );
    }
}

#[test]
fn a_suspected_kv_cache_is_released_sooner_when_no_attempt_is_in_flight() {
    for (demand, after) in [(RequestWaiting, 400 * MS), (AttemptInFlight, 900 * MS)] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::ConnectionReset);
        assert_eq!(
            start_release_when_due(&mut reservation, 0, demand).map(|(delay, _)| delay),
            Some(after)
        );
    }
    for reason in [
        EndReason::Overloaded,
        EndReason::ConnectFailed,
        EndReason::InvalidRequest,
    ] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, reason);
        assert!(!reservation.may_be_held(), "{reason:?}");
    }
}

/// An endpoint that has received an attempt keeps the KV cache when endpoints are told to release it during the attempt. When
/// the attempt ends, the KV cache is reserved again, and must be released.
#[test]
fn a_release_during_an_attempt_is_repeated_when_the_attempt_has_ended() {
    for reason in [
        EndReason::Timeout,
        EndReason::Cancelled,
        EndReason::Overloaded,
        EndReason::ErrorResponse,
    ] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        assert!(start_release_when_due(&mut reservation, 0, AttemptInFlight).is_some());
        reservation.on_release_completed(900 * MS);
        assert!(!reservation.may_be_held());
        reservation.on_attempt_ended(1_500 * MS, DECODE, reason);
        assert_eq!(
            start_release_when_due(&mut reservation, 1_500 * MS, RequestWaiting)
                .map(|(delay, _)| delay),
            Some(400 * MS),
            "{reason:?}"
        );
    }
    for reason in [
        EndReason::KvStateMissing,
        EndReason::ConnectFailed,
        EndReason::RequestNotWritten,
    ] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        assert!(start_release_when_due(&mut reservation, 0, AttemptInFlight).is_some());
        reservation.on_release_completed(900 * MS);
        reservation.on_attempt_ended(1_500 * MS, DECODE, reason);
        assert!(!reservation.may_be_held(), "{reason:?}");
    }
}

#[test]
fn a_kv_cache_that_is_not_needed_is_released_at_once_when_no_attempt_is_in_flight() {
    let mut reservation = Reservation::default();
    reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
    assert_eq!(
        reservation.start_release(0, TTL, AttemptInFlight),
        None,
        "the attempt in flight will end soon"
    );
    assert_eq!(
        reservation.start_release(0, TTL, NotNeeded),
        Some(ReleaseReason::NoLongerNeeded)
    );
    // A KV cache that is reserved while a release is in progress is released after it.
    reservation.on_attempt_ended(10 * MS, PREFILL, EndReason::PrefillDone);
    assert_eq!(reservation.start_release(10 * MS, TTL, NotNeeded), None);
    reservation.on_release_completed(20 * MS);
    assert_eq!(
        reservation.start_release(20 * MS, TTL, NotNeeded),
        Some(ReleaseReason::NoLongerNeeded)
    );
}

#[test]
fn a_started_stream_leaves_nothing_to_release() {
    let mut reservation = Reservation::default();
    reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
    reservation.on_stream_started();
    assert!(!reservation.may_be_held());
}

/// The close of an abandoned attempt and the release may go to different endpoints. If the release is processed first, the
/// attempt still waits for the KV cache and nothing is released, so the release must be repeated.
#[test]
fn a_release_right_after_an_attempt_was_abandoned_is_repeated_once() {
    for reason in [
        EndReason::Cancelled,
        EndReason::Timeout,
        EndReason::ClientDisconnected,
    ] {
        let mut reservation = Reservation::default();
        reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
        reservation.on_attempt_ended(200 * MS, DECODE, reason);
        assert!(reservation
            .start_release(201 * MS, TTL, NotNeeded)
            .is_some());
        reservation.on_release_completed(205 * MS);
        assert_eq!(reservation.start_release(300 * MS, TTL, NotNeeded), None);
        assert!(
            reservation
                .start_release(305 * MS, TTL, NotNeeded)
                .is_some(),
            "{reason:?}"
        );
        reservation.on_release_completed(310 * MS);
        assert!(!reservation.may_be_held(), "{reason:?}");
    }
    // A release that starts later finds that the attempt has ended, and is not repeated.
    let mut reservation = Reservation::default();
    reservation.on_attempt_ended(0, PREFILL, EndReason::PrefillDone);
    reservation.on_attempt_ended(200 * MS, DECODE, EndReason::Cancelled);
    assert!(reservation
        .start_release(300 * MS, TTL, NotNeeded)
        .is_some());
    reservation.on_release_completed(305 * MS);
    assert!(!reservation.may_be_held());
}
