use super::*;

const ROUND_TRIP: Duration = Duration::from_millis(30);

/// When what a watch misses counts as told, for one that was opened at 0 and fell silent at `silent`.
fn told(silent: Duration, hold: Duration) -> Duration {
    (silent + Duration::from_secs(6)).max(hold + Duration::from_secs(2))
}

fn hold(call: &Call) -> Duration {
    let hold = call.target.rsplit_once("hold_ms=").map_or("0", |it| it.1);
    Duration::from_millis(hold.parse().unwrap())
}

/// Guards against patience that outlasts the rule: after 6.5 s a watch that had fallen silent as it was opened was
/// half a second late, and requests went to nodes that drained.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
    for (revision, pushed) in [(None, false), (Some(41), false), (None, true), (Some(41), true)] {
        let mut watch = Watch::from(revision, pushed);
        let call = watch.call();
        // The new call may find nobody at first, and is on its way for a while.
        let noticed = call.patience + watch.unanswered() * 2 + ROUND_TRIP;
        for silent in (0..3_000).step_by(50).map(Duration::from_millis) {
            assert!(noticed <= told(silent, hold(&call)), "{call:?}: {noticed:?}, silent at {silent:?}");
        }
    }
}

/// An agent that is silent from `down` to `up` and answers no call that began before it was back.
fn heard_after(pushed: bool, down: Duration, up: Duration) -> Duration {
    let (mut watch, mut at) = (Watch::from(Some(41), pushed), Duration::ZERO);
    loop {
        let call = watch.call();
        if at >= up {
            return at + ROUND_TRIP - up;
        }
        let ends = at + hold(&call);
        at = if ends < down {
            watch.answered(41);
            ends
        } else {
            at + call.patience + watch.unanswered()
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
        assert!(after <= Duration::from_millis(250), "{after:?} after {up:?}, silent from {down:?}");
    }
    let distant =
        (0..60).map(|it| heard_after(false, Duration::ZERO, Duration::from_millis(4_000 + 37 * it)));
    assert!(distant.max() > Some(Duration::from_secs(1)));
}

#[test]
fn an_agent_that_is_only_slow_is_given_time() {
    let mut watch = Watch::from(Some(41), true);
    let pauses: Vec<_> = (0..TURNS).map(|_| watch.unanswered()).collect();
    assert!(pauses[0] < RETRY && pauses[TURNS as usize - 1] == RETRY);
    assert!(watch.call().patience >= LATE);
    watch.answered(42);
    assert!(watch.call().patience < HOLD + LATE);
}

#[test]
fn a_watch_goes_on_from_the_list_that_has_come() {
    for pushed in [false, true] {
        let mut watch = Watch::from(None, pushed);
        assert_eq!(watch.call().target, "/v1/endpoints");
        assert!(watch.answered(7) && !watch.answered(7) && watch.answered(8));
        assert!(watch.call().target.starts_with("/v1/endpoints?from=8&hold_ms=3"));
    }
}
