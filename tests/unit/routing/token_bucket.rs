//! A tenant's quota.

use super::*;

const SECOND: Time = 1_000_000;

fn taken(quota: &mut TokenBucket, now: Time, requests: usize) -> usize {
    (0..requests).filter(|_| !quota.is_exceeded(now)).count()
}

/// A burst, then the rate; where no rate is told nothing is exceeded.
#[test]
fn a_burst_and_then_the_rate() {
    let mut quota = TokenBucket::new(10.0, 0);
    assert_eq!(taken(&mut quota, 100 * SECOND, 100), 51);
    assert_eq!(taken(&mut quota, 101 * SECOND, 100), 10);
    quota.set_rate(20.0);
    assert_eq!(taken(&mut quota, 102 * SECOND, 100), 20);
    let mut free = TokenBucket::new(0.0, 0);
    assert_eq!(taken(&mut free, SECOND, 100), 100);
}
