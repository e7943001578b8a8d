use super::*;
use std::collections::{BinaryHeap, VecDeque};

/// A service that takes one call after another, 50 ms each, and turns those away that have waited for 2 s when their
/// turn comes; the work on them was done for nothing. Tells how many of the callers were served by then.
fn served(
    callers: u32,
    until: Duration,
    mut pause: impl FnMut(u32, &mut Backoff) -> Duration,
) -> usize {
    let (work, patience) = (Duration::from_millis(50), Duration::from_secs(2));
    let mut all: Vec<Backoff> = (0..callers)
        .map(|it| Backoff::new(callers, it.into()))
        .collect();
    let first =
        |(it, backoff): (usize, &mut Backoff)| std::cmp::Reverse((backoff.initial_delay(), it));
    let mut calls: BinaryHeap<_> = all.iter_mut().enumerate().map(first).collect();
    let (mut free, mut served) = (Duration::ZERO, VecDeque::new());
    while let Some(std::cmp::Reverse((at, it))) = calls.pop().filter(|it| it.0 .0 < until) {
        free = free.max(at) + work;
        if free <= at + patience {
            served.push_back(it);
        } else {
            calls.push(std::cmp::Reverse((
                at + patience + pause(it as u32, &mut all[it]),
                it,
            )));
        }
    }
    served.len()
}

#[test]
fn a_hundred_callers_that_start_at_once_are_all_served() {
    assert_eq!(
        served(100, Duration::from_secs(8), |_, backoff| backoff
            .next_delay()),
        100
    );
}

#[test]
fn three_hundred_callers_are_served_though_the_first_calls_come_too_fast() {
    assert_eq!(
        served(300, Duration::from_secs(40), |_, backoff| backoff
            .next_delay()),
        300
    );
    // What it guards against: with short pauses the queue stays as long as the service's patience.
    let short = served(300, Duration::from_secs(40), |_, _| {
        Duration::from_millis(100)
    });
    assert!(short < 200, "{short} of 300 served");
}

#[test]
fn a_single_caller_calls_at_once_and_again_soon() {
    let mut alone = Backoff::new(1, 7);
    assert_eq!(alone.initial_delay(), Duration::ZERO);
    assert!(alone.next_delay() <= Duration::from_millis(300));
    let last = (0..40).map(|_| alone.next_delay()).last();
    assert!(last >= Some(Duration::from_secs(1)) && last <= Some(Duration::from_secs(3)));
    alone.reset();
    assert!(alone.next_delay() <= Duration::from_millis(300));
}

/// However many call, and whatever failed before, a pause can be bounded; pauses still differ then.
#[test]
fn a_pause_can_be_bounded_and_is_still_drawn() {
    let most = Duration::from_millis(3800);
    for callers in [1, 30, 300] {
        let mut backoff = Backoff::new(callers, 7);
        let pauses: Vec<_> = (0..200).map(|_| backoff.next_delay_within(most)).collect();
        assert!(
            pauses.iter().all(|pause| *pause <= most),
            "{callers} callers"
        );
        assert!(
            pauses.iter().max() > pauses.iter().min().map(|it| *it * 2).as_ref(),
            "{callers} callers"
        );
        assert!(
            Backoff::new(callers, 8).initial_delay() + Duration::from_secs(2)
                <= Duration::from_secs(6)
        );
    }
}
