//! The token bucket of a tenant's quota.

use super::*;

const SECOND: Time = 1_000_000;

fn count_admitted(bucket: &mut TokenBucket, now: Time, requests: usize) -> usize {
    (0..requests).filter(|_| !bucket.is_exceeded(now)).count()
}

/// A full bucket admits a burst and then the rate. A rate of 0 means no limit.
#[test]
fn a_full_bucket_admits_a_burst_and_then_the_rate() {
    let mut bucket = TokenBucket::new(10.0, 0);
    assert_eq!(count_admitted(&mut bucket, 100 * SECOND, 100), 51);
    assert_eq!(count_admitted(&mut bucket, 101 * SECOND, 100), 10);
    bucket.set_rate(20.0);
    assert_eq!(count_admitted(&mut bucket, 102 * SECOND, 100), 20);
    let mut unlimited = TokenBucket::new(0.0, 0);
    assert_eq!(count_admitted(&mut unlimited, SECOND, 100), 100);
}
