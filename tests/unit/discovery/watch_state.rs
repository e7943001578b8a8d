use super::*;

const ROUND_TRIP: Duration = Duration::from_millis(30);

/// Returns when a missed change counts as delivered, for a request that was sent at 0 and whose connection was lost at
/// `broken_at`.
fn delivery_deadline(broken_at: Duration, hold: Duration) -> Duration {
    (broken_at + Duration::from_secs(6)).max(hold + Duration::from_secs(2))
}

fn hold(request: &PollRequest) -> Duration {
    let hold_ms = request
        .target
        .rsplit_once("hold_ms=")
        .map_or("0", |(_, hold_ms)| hold_ms);
    Duration::from_millis(hold_ms.parse().unwrap())
}

/// Guards against timeouts that outlast the delivery deadline. With a timeout of 6.5 s, a watch whose connection was
/// lost right after opening learned of a change half a second late, and requests went to draining endpoints.
#[test]
fn broken_watch_is_reopened_before_missed_changes_count_as_delivered() {
    for (revision, has_local_agent) in [
        (None, false),
        (Some(41), false),
        (None, true),
        (Some(41), true),
    ] {
        let mut watch = WatchState::starting_at(revision, has_local_agent);
        let request = watch.next_poll();
        // The next request may fail to connect once; its response takes a round trip.
        let received_at = request.timeout + watch.on_timeout() * 2 + ROUND_TRIP;
        for broken_at in (0..3_000).step_by(50).map(Duration::from_millis) {
            assert!(
                received_at <= delivery_deadline(broken_at, hold(&request)),
                "{request:?}: {received_at:?}, broken at {broken_at:?}"
            );
        }
    }
}

/// Returns how long after its recovery an agent's list arrives. The agent doesn't respond from `down` to `up`, nor to
/// requests that were sent in that time.
fn delay_after_recovery(has_local_agent: bool, down: Duration, up: Duration) -> Duration {
    let mut watch = WatchState::starting_at(Some(41), has_local_agent);
    let mut now = Duration::ZERO;
    loop {
        let request = watch.next_poll();
        if now >= up {
            return now + ROUND_TRIP - up;
        }
        let hold_ends_at = now + hold(&request);
        now = if hold_ends_at < down {
            watch.on_response(41);
            hold_ends_at
        } else {
            now + request.timeout + watch.on_timeout()
        };
    }
}

/// The agent's list counts as delivered as soon as discovery recovers, and 250 ms later no request may go to a draining
/// endpoint. With the timeouts that a remote discovery service needs, the list would be seconds late.
#[test]
fn recovered_agent_is_polled_at_once() {
    for step in 0..60 {
        let down = Duration::from_millis(100 * step);
        let up = Duration::from_millis(100 * step + 4_000 + 37 * step);
        let delay = delay_after_recovery(true, down, up);
        assert!(
            delay <= Duration::from_millis(250),
            "{delay:?} after {up:?}, silent from {down:?}"
        );
    }
    let remote_delays = (0..60).map(|step| {
        delay_after_recovery(
            false,
            Duration::ZERO,
            Duration::from_millis(4_000 + 37 * step),
        )
    });
    assert!(remote_delays.max() > Some(Duration::from_secs(1)));
}

#[test]
fn slow_agent_gets_an_occasional_long_timeout() {
    let mut watch = WatchState::starting_at(Some(41), true);
    let delays: Vec<_> = (0..REQUESTS_PER_LONG_TIMEOUT)
        .map(|_| watch.on_timeout())
        .collect();
    assert!(
        delays[0] < TIMEOUT_RETRY_DELAY
            && delays[REQUESTS_PER_LONG_TIMEOUT as usize - 1] == TIMEOUT_RETRY_DELAY
    );
    assert!(watch.next_poll().timeout >= RESPONSE_GRACE);
    watch.on_response(42);
    assert!(watch.next_poll().timeout < REMOTE_HOLD + RESPONSE_GRACE);
}

#[test]
fn watch_continues_from_the_last_revision() {
    for has_local_agent in [false, true] {
        let mut watch = WatchState::starting_at(None, has_local_agent);
        assert_eq!(watch.next_poll().target, "/v1/endpoints");
        assert!(watch.on_response(7) && !watch.on_response(7) && watch.on_response(8));
        let hold = if has_local_agent {
            AGENT_HOLD
        } else {
            REMOTE_HOLD
        };
        assert_eq!(
            watch.next_poll().target,
            format!("/v1/endpoints?from=8&hold_ms={}", hold.as_millis())
        );
    }
}

/// A remote discovery service may queue a request for almost its whole timeout. This includes the first request after a
/// connection was lost.
#[test]
fn changes_missed_by_a_polled_watch_arrive_in_time_though_the_next_request_is_queued() {
    let mut watch = WatchState::starting_at(Some(41), false);
    let request = watch.next_poll();
    let repeated_at = request.timeout + watch.on_timeout();
    assert!(
        repeated_at + RESPONSE_GRACE <= delivery_deadline(Duration::ZERO, hold(&request)),
        "{request:?}"
    );
}

/// After a rejection or an invalid list, the next request is sent and leaves discovery's queue before a change counts
/// as delivered.
#[test]
fn rejected_request_is_repeated_in_time() {
    let delivery_deadline = Duration::from_secs(6);
    let watch = WatchState::starting_at(Some(41), false);
    for elapsed in (0..QUEUEING_THRESHOLD.as_millis() as u64)
        .step_by(50)
        .map(Duration::from_millis)
    {
        assert!(
            watch.max_backoff(elapsed) + RESPONSE_GRACE + ROUND_TRIP <= delivery_deadline,
            "{elapsed:?}"
        );
    }
    // A rejection after queueing shows overload: discovery then counts as unreachable, and the delay has no bound.
    assert_eq!(watch.max_backoff(QUEUEING_THRESHOLD), Duration::MAX);
    let agent_watch = WatchState::starting_at(Some(41), true);
    for elapsed in [Duration::ZERO, QUEUEING_THRESHOLD] {
        assert!(
            agent_watch.max_backoff(elapsed) + AGENT_RESPONSE_GRACE + ROUND_TRIP
                <= Duration::from_millis(250)
        );
    }
}

/// However long an outage lasts, its end must be noticed at once at a local agent. So only one request in a hundred has
/// a long timeout.
#[test]
fn long_silent_agent_is_still_polled_with_short_timeouts() {
    let mut watch = WatchState::starting_at(Some(41), true);
    let long_timeouts = (0..10 * REQUESTS_PER_LONG_TIMEOUT).filter(|_| {
        watch.on_timeout();
        watch.next_poll().timeout >= RESPONSE_GRACE
    });
    assert_eq!(long_timeouts.count(), 10);
}
