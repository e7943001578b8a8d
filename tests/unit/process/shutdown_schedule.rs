//! The times of a shutdown, against those that the platform's protocol states.

use super::*;

/// The platform counts deadlines as at most this long.
const LONGEST_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// What the platform requires holds for deadlines shorter and longer than 3 s, also if the signal is noticed late. Requests
/// were admitted up to the kill.
#[test]
fn all_that_must_be_whole_at_the_kill_is_refused_or_has_its_answer_before() {
    let started_at = Instant::now();
    for deadline_ms in [100, 400, 1_000, 2_999, 3_000, 7_500, 600_000] {
        let max_deadline = Duration::from_millis(deadline_ms);
        let kill_at =
            started_at + max_deadline.min(LONGEST_COUNTED_DEADLINE) + Duration::from_millis(700);
        let schedule = ShutdownSchedule::new(started_at, max_deadline);
        assert!(
            schedule.drain.admit_within + MAX_SIGNAL_DELAY <= Duration::from_millis(700),
            "{deadline_ms} ms: a request is admitted whose stream must be whole at the kill"
        );
        assert_eq!(
            schedule.arrivals_end_at,
            started_at + schedule.drain.respond_within
        );
        for at in [
            schedule.arrivals_end_at,
            schedule.fallback_receivers_at,
            schedule.warn_at,
        ] {
            assert!(at + MAX_SIGNAL_DELAY <= kill_at, "{deadline_ms} ms: {at:?}");
        }
    }
}

/// New connections keep arriving for 0.4 s, and their requests are served.
#[test]
fn requests_on_the_last_new_connections_are_admitted() {
    let schedule = ShutdownSchedule::new(Instant::now(), Duration::from_secs(10));
    assert!(schedule.drain.admit_within > Duration::from_millis(500));
}
