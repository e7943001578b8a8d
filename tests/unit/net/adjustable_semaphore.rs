use super::*;

#[test]
fn limit_changes_while_permits_are_in_use() {
    let limit = AdjustableSemaphore::new(32);
    let permits: Vec<_> = (0..20).map(|_| limit.try_acquire(1).unwrap()).collect();
    limit.set_share(8, 1);
    assert_eq!(
        (limit.available(), limit.in_use(), limit.over_limit()),
        (0, 20, 4)
    );
    let mut permits = permits.into_iter();
    drop(permits.by_ref().take(3).collect::<Vec<_>>());
    limit.set_share(8, 1);
    assert_eq!(
        (limit.available(), limit.in_use(), limit.over_limit()),
        (0, 17, 1)
    );
    drop(permits.by_ref().take(3).collect::<Vec<_>>());
    limit.set_share(8, 1);
    assert_eq!(
        (limit.available(), limit.in_use(), limit.over_limit()),
        (2, 14, 0)
    );
    limit.set_share(SHARE_UNITS, 1);
    assert_eq!(
        (limit.available(), limit.in_use(), limit.over_limit()),
        (18, 14, 0)
    );
    drop(permits);
    limit.set_share(0, 5);
    assert_eq!(
        (limit.available(), limit.in_use(), limit.over_limit()),
        (5, 0, 0)
    );
    limit.set_share(SHARE_UNITS, 5);
    assert_eq!(limit.available(), 32);
}
