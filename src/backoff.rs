//! When a service that a whole fleet calls is called: spread out, and after failures less and less often.
//!
//! What one dispatcher may do ten times a second keeps a service down when all of a fleet do it: its queue is then as long
//! as its patience, each call expires as its turn comes, and none is served. So pauses grow with the number of callers.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// All callers together make a call in this time, on the mean.
const EACH: Duration = Duration::from_millis(60);
/// The first pause of the only caller, and the longest on the mean.
const ALONE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));
/// The first call of any caller comes within this ...
const FIRST_MOST: Duration = Duration::from_secs(8);
/// ... and no mean pause is longer than this: who has not asked for longer counts as told.
const PAUSE_MOST: Duration = Duration::from_secs(16);

/// One of the callers.
pub struct Backoff {
    callers: u32,
    failures: u32,
    rng: Pcg32,
}

impl Backoff {
    /// One of so many callers.
    pub fn new(callers: u32, seed: u64) -> Self {
        Backoff { callers, failures: 0, rng: Pcg32::seed_from_u64(seed) }
    }

    fn turn(&self) -> Duration {
        EACH.saturating_mul(self.callers).min(PAUSE_MOST)
    }

    /// How long to wait before the first call, lest all that start at once call at once.
    pub fn first(&mut self) -> Duration {
        match self.callers {
            0..=1 => Duration::ZERO,
            _ => self.turn().min(FIRST_MOST).mul_f64(self.rng.gen_range(0.0..1.0)),
        }
    }

    /// A call has failed: how long to wait before the next. Doubled with each failure in turn.
    pub fn pause(&mut self) -> Duration {
        let (least, most) = (ALONE.0.max(self.turn()), ALONE.1.max(self.turn() * 2).min(PAUSE_MOST));
        let mean = least.saturating_mul(1 << self.failures.min(16)).min(most);
        self.failures = self.failures.saturating_add(1);
        mean.mul_f64(self.rng.gen_range(0.5..1.5))
    }

    /// A call has succeeded: the next failure is a first one.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BinaryHeap, VecDeque};

    /// A service that takes one call after another, 50 ms each, and turns those away that have waited for 2 s when their
    /// turn comes; the work on them was done for nothing. Tells how many of the callers were served by then.
    fn served(callers: u32, until: Duration, mut pause: impl FnMut(u32, &mut Backoff) -> Duration) -> usize {
        let (work, patience) = (Duration::from_millis(50), Duration::from_secs(2));
        let mut all: Vec<Backoff> = (0..callers).map(|it| Backoff::new(callers, it.into())).collect();
        let first = |(it, backoff): (usize, &mut Backoff)| std::cmp::Reverse((backoff.first(), it));
        let mut calls: BinaryHeap<_> = all.iter_mut().enumerate().map(first).collect();
        let (mut free, mut served) = (Duration::ZERO, VecDeque::new());
        while let Some(std::cmp::Reverse((at, it))) = calls.pop().filter(|it| it.0 .0 < until) {
            free = free.max(at) + work;
            if free <= at + patience {
                served.push_back(it);
            } else {
                calls.push(std::cmp::Reverse((at + patience + pause(it as u32, &mut all[it]), it)));
            }
        }
        served.len()
    }

    #[test]
    fn a_hundred_callers_that_start_at_once_are_all_served() {
        assert_eq!(served(100, Duration::from_secs(8), |_, backoff| backoff.pause()), 100);
    }

    #[test]
    fn three_hundred_callers_are_served_though_the_first_calls_come_too_fast() {
        assert_eq!(served(300, Duration::from_secs(40), |_, backoff| backoff.pause()), 300);
        // What it guards against: with short pauses the queue stays as long as the service's patience.
        let short = served(300, Duration::from_secs(40), |_, _| Duration::from_millis(100));
        assert!(short < 200, "{short} of 300 served");
    }

    #[test]
    fn a_single_caller_calls_at_once_and_again_soon() {
        let mut alone = Backoff::new(1, 7);
        assert_eq!(alone.first(), Duration::ZERO);
        assert!(alone.pause() <= Duration::from_millis(300));
        let last = (0..40).map(|_| alone.pause()).last();
        assert!(last >= Some(Duration::from_secs(1)) && last <= Some(Duration::from_secs(3)));
        alone.succeeded();
        assert!(alone.pause() <= Duration::from_millis(300));
    }
}
