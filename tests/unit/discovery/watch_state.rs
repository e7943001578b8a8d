use super::*;

const ROUND_TRIP: Duration = Duration::from_millis(30);

/// When what a watch misses counts as told, for one that was opened at 0 and fell silent at `silent`.
fn told(silent: Duration, hold: Duration) -> Duration {
    (silent + Duration::from_secs(6)).max(hold + Duration::from_secs(2))
}

fn hold(call: &PollRequest) -> Duration {
    let hold = call.target.rsplit_once("hold_ms=").map_or("0", |it| it.1);
    Duration::from_millis(hold.parse().unwrap())
}

/// Guards against patience that outlasts the rule: after 6.5 s a watch that had fallen silent as it was opened was
/// half a second late, and requests went to nodes that drained.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
    for (revision, pushed) in [
        (None, false),
        (Some(41), false),
        (None, true),
        (Some(41), true),
    ] {
        let mut watch = WatchState::starting_at(revision, pushed);
        let call = watch.next_poll();
        // The new call may find nobody at first, and is on its way for a while.
        let noticed = call.patience + watch.on_timeout() * 2 + ROUND_TRIP;
        for silent in (0..3_000).step_by(50).map(Duration::from_millis) {
            assert!(
                noticed <= told(silent, hold(&call)),
                "{call:?}: {noticed:?}, silent at {silent:?}"
            );
        }
    }
}

/// An agent that is silent from `down` to `up` and answers no call that began before it was back.
fn heard_after(pushed: bool, down: Duration, up: Duration) -> Duration {
    let (mut watch, mut at) = (WatchState::starting_at(Some(41), pushed), Duration::ZERO);
    loop {
        let call = watch.next_poll();
        if at >= up {
            return at + ROUND_TRIP - up;
        }
        let ends = at + hold(&call);
        at = if ends < down {
            watch.on_response(41);
            ends
        } else {
            at + call.patience + watch.on_timeout()
        };
    }
}

/// What the agent has when discovery is back counts as told at once, and nothing may go to a node that drains 250 ms
/// later. With the patience that a distant discovery needs it would be heard of seconds late.
#[test]
fn an_agent_that_was_silent_is_heard_at_once_when_it_is_back() {
    for (down, up) in (0..60).map(|it| (100 * it, 100 * it + 4_000 + 37 * it)) {
        let (down, up) = (Duration::from_millis(down), Duration::from_millis(up));
        let after = heard_after(true, down, up);
        assert!(
            after <= Duration::from_millis(250),
            "{after:?} after {up:?}, silent from {down:?}"
        );
    }
    let distant = (0..60).map(|it| {
        heard_after(
            false,
            Duration::ZERO,
            Duration::from_millis(4_000 + 37 * it),
        )
    });
    assert!(distant.max() > Some(Duration::from_secs(1)));
}

#[test]
fn an_agent_that_is_only_slow_is_given_time() {
    let mut watch = WatchState::starting_at(Some(41), true);
    let pauses: Vec<_> = (0..TURNS).map(|_| watch.on_timeout()).collect();
    assert!(pauses[0] < RETRY && pauses[TURNS as usize - 1] == RETRY);
    assert!(watch.next_poll().patience >= LATE);
    watch.on_response(42);
    assert!(watch.next_poll().patience < HOLD + LATE);
}

#[test]
fn a_watch_goes_on_from_the_list_that_has_come() {
    for pushed in [false, true] {
        let mut watch = WatchState::starting_at(None, pushed);
        assert_eq!(watch.next_poll().target, "/v1/endpoints");
        assert!(watch.on_response(7) && !watch.on_response(7) && watch.on_response(8));
        let hold = if pushed { HOLD_HERE } else { HOLD };
        assert_eq!(
            watch.next_poll().target,
            format!("/v1/endpoints?from=8&hold_ms={}", hold.as_millis())
        );
    }
}

/// Where discovery is not on this machine a call may wait for its turn there, as long as it is given time for that: also
/// the one that comes after a watch that fell silent.
#[test]
fn what_a_distant_watch_misses_is_told_in_time_though_the_next_call_waits_for_its_turn() {
    let mut watch = WatchState::starting_at(Some(41), false);
    let call = watch.next_poll();
    let noticed = call.patience + watch.on_timeout();
    assert!(
        noticed + LATE <= told(Duration::ZERO, hold(&call)),
        "{call:?}"
    );
}

/// Whatever was answered that is no list: the next call is made, and has waited its turn, before a change counts as told.
#[test]
fn a_call_that_was_turned_away_is_made_again_in_time() {
    let told = Duration::from_secs(6);
    let watch = WatchState::starting_at(Some(41), false);
    for after in (0..QUEUED.as_millis() as u64)
        .step_by(50)
        .map(Duration::from_millis)
    {
        assert!(
            watch.max_backoff(after) + LATE + ROUND_TRIP <= told,
            "{after:?}"
        );
    }
    // What waited its turn only to be turned away leaves the others room: discovery can't be reached then.
    assert_eq!(watch.max_backoff(QUEUED), Duration::MAX);
    let here = WatchState::starting_at(Some(41), true);
    for after in [Duration::ZERO, QUEUED] {
        assert!(here.max_backoff(after) + LATE_HERE + ROUND_TRIP <= Duration::from_millis(250));
    }
}

/// An outage of any length is over for a pushed list when it is over: one call in a hundred is given more time.
#[test]
fn an_agent_that_was_silent_for_long_is_still_asked_in_short_turns() {
    let mut watch = WatchState::starting_at(Some(41), true);
    let patient = (0..10 * TURNS).filter(|_| {
        watch.on_timeout();
        watch.next_poll().patience >= LATE
    });
    assert_eq!(patient.count(), 10);
}
