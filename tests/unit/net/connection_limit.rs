use super::*;

#[test]
fn the_number_changes_while_places_are_taken() {
    let places = ConnectionLimit::new(32);
    let taken: Vec<_> = (0..20).map(|_| places.try_acquire(1).unwrap()).collect();
    places.set_share(8, 1);
    assert_eq!(
        (places.available(), places.in_use(), places.over_limit()),
        (0, 20, 4)
    );
    let mut taken = taken.into_iter();
    drop(taken.by_ref().take(3).collect::<Vec<_>>());
    places.set_share(8, 1);
    assert_eq!(
        (places.available(), places.in_use(), places.over_limit()),
        (0, 17, 1)
    );
    drop(taken.by_ref().take(3).collect::<Vec<_>>());
    places.set_share(8, 1);
    assert_eq!(
        (places.available(), places.in_use(), places.over_limit()),
        (2, 14, 0)
    );
    places.set_share(SHARE_UNITS, 1);
    assert_eq!(
        (places.available(), places.in_use(), places.over_limit()),
        (18, 14, 0)
    );
    drop(taken);
    places.set_share(0, 5);
    assert_eq!(
        (places.available(), places.in_use(), places.over_limit()),
        (5, 0, 0)
    );
    places.set_share(SHARE_UNITS, 5);
    assert_eq!(places.available(), 32);
}
