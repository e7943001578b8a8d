//! The prefix cache index: lookups by endpoint and by key, expiry, eviction, and the traffic sample.

use super::*;

fn request(session: u64, prefix: u64) -> RequestMetadata {
    RequestMetadata {
        session: Some(session),
        prefix: Some(prefix),
        prompt_tokens: 1_000.0,
        prefix_tokens: 400.0,
        ..RequestMetadata::default()
    }
}

/// Guards against an index whose lookups by endpoint and by key disagree after an entry expires, is evicted or
/// is removed with its endpoint.
#[test]
fn cached_prefixes_are_found_by_endpoint_and_key_until_they_expire() {
    let mut index = PrefixCacheIndex::default();
    for endpoint in 0..8_u32 {
        index.record_prefill(
            u64::from(endpoint),
            endpoint,
            1e9,
            &request(u64::from(endpoint), 77),
        );
    }
    assert_eq!(index.cached_tokens(&request(3, 77), 3), 1_000.0);
    assert_eq!(index.cached_tokens(&request(3, 77), 4), 400.0);
    assert_eq!(index.cached_tokens(&request(3, 78), 4), 0.0);
    // The session's only holder, and some of the shared prefix's holders, which depend on the seed.
    let holders = |index: &PrefixCacheIndex, seed| index.holders(&request(3, 77), seed);
    assert!(holders(&index, 0).contains(&3) && holders(&index, 0).len() <= 1 + MAX_HOLDERS_PER_KEY);
    let all: BTreeSet<EndpointId> = (0..8).flat_map(|seed| holders(&index, seed)).collect();
    assert_eq!(all, (0..8).collect());

    index.expire(2);
    assert_eq!(index.cached_tokens(&request(2, 77), 2), 0.0);
    index.forget_endpoint(5);
    let all: BTreeSet<EndpointId> = (0..8).flat_map(|seed| holders(&index, seed)).collect();
    assert_eq!(all, BTreeSet::from([3, 4, 6, 7]));

    // The limit has room for the shared prefix and the other tokens of one session; the older session is
    // evicted.
    index.record_prefill(20, 9, 1_100.0, &request(30, 77));
    index.record_prefill(21, 9, 1_100.0, &request(31, 77));
    assert_eq!(
        (
            index.cached_tokens(&request(30, 0), 9),
            index.cached_tokens(&request(31, 0), 9)
        ),
        (0.0, 1_000.0)
    );
    assert!(index.holders(&request(30, 0), 0).is_empty());

    index.expire(100);
    assert!(
        index.by_endpoint.is_empty() && index.by_key.is_empty(),
        "an expired entry is still in the index"
    );
}

/// The traffic share of a shared prefix depends on the most recent requests only.
#[test]
fn traffic_share_counts_recent_requests_only() {
    let mut index = PrefixCacheIndex::default();
    for _ in 0..100 {
        index.on_arrival(&request(1, 7));
    }
    assert_eq!(
        (
            index.traffic_share(&request(2, 7)),
            index.traffic_share(&request(2, 8))
        ),
        (1.0, 0.0)
    );
    for _ in 0..15 {
        index.on_arrival(&request(1, 8));
    }
    assert_eq!(
        (
            index.traffic_share(&request(2, 7)),
            index.traffic_share(&request(2, 8))
        ),
        (0.5, 0.5)
    );
}
