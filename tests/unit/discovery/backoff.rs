use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Simulates a service that handles one call at a time in 50 ms. Callers time out after 2 s, but the service handles
/// their calls all the same. Returns how many callers were served by `end`.
fn count_served(
    caller_count: u32,
    end: Duration,
    mut retry_delay: impl FnMut(u32, &mut Backoff) -> Duration,
) -> usize {
    let service_time = Duration::from_millis(50);
    let timeout = Duration::from_secs(2);
    let mut callers: Vec<Backoff> = (0..caller_count)
        .map(|caller| Backoff::new(caller_count, caller.into()))
        .collect();
    let mut calls: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    for (caller, backoff) in callers.iter_mut().enumerate() {
        calls.push(Reverse((backoff.initial_delay(), caller)));
    }
    let mut service_idle_at = Duration::ZERO;
    let mut served = VecDeque::new();
    while let Some(Reverse((called_at, caller))) = calls.pop() {
        if called_at >= end {
            break;
        }
        service_idle_at = service_idle_at.max(called_at) + service_time;
        if service_idle_at <= called_at + timeout {
            served.push_back(caller);
        } else {
            let delay = retry_delay(caller as u32, &mut callers[caller]);
            calls.push(Reverse((called_at + timeout + delay, caller)));
        }
    }
    served.len()
}

#[test]
fn hundred_callers_starting_together_are_all_served() {
    assert_eq!(
        count_served(100, Duration::from_secs(8), |_, backoff| backoff
            .next_delay()),
        100
    );
}

#[test]
fn three_hundred_callers_are_served_though_initial_calls_exceed_capacity() {
    assert_eq!(
        count_served(300, Duration::from_secs(40), |_, backoff| backoff
            .next_delay()),
        300
    );
    // The fault that this guards against: with short delays, the wait in the queue stays at the callers' timeout.
    let served_with_short_delays = count_served(300, Duration::from_secs(40), |_, _| {
        Duration::from_millis(100)
    });
    assert!(
        served_with_short_delays < 200,
        "{served_with_short_delays} of 300 served"
    );
}

#[test]
fn sole_caller_starts_at_once_and_retries_soon() {
    let mut backoff = Backoff::new(1, 7);
    assert_eq!(backoff.initial_delay(), Duration::ZERO);
    assert!(backoff.next_delay() <= Duration::from_millis(300));
    let last = (0..40).map(|_| backoff.next_delay()).last();
    assert!(last >= Some(Duration::from_secs(1)) && last <= Some(Duration::from_secs(3)));
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(300));
}

/// Delays can be bounded for any number of callers and failures, and bounded delays still differ.
#[test]
fn bounded_delays_are_still_jittered() {
    let max_delay = Duration::from_millis(3800);
    for caller_count in [1, 30, 300] {
        let mut backoff = Backoff::new(caller_count, 7);
        let delays: Vec<_> = (0..200)
            .map(|_| backoff.next_delay_within(max_delay))
            .collect();
        assert!(
            delays.iter().all(|delay| *delay <= max_delay),
            "{caller_count} callers"
        );
        assert!(
            delays.iter().max() > delays.iter().min().map(|delay| *delay * 2).as_ref(),
            "{caller_count} callers"
        );
        assert!(
            Backoff::new(caller_count, 8).initial_delay() + Duration::from_secs(2)
                <= Duration::from_secs(6)
        );
    }
}
