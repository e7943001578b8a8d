use super::*;

/// A body keeps its memory reserved until its last clone is dropped, and no longer.
#[test]
fn memory_is_released_with_the_last_clone_of_a_body() {
    let budget = BodyMemoryBudget::new(0);
    let reservation = budget.try_reserve(200 * 1024).expect("memory for one body");
    let text = "x".repeat(200 * 1024);
    let body = reservation.attach(text.clone().into());
    let clone = body.clone();
    assert!(budget.try_reserve(200 * 1024).is_none());
    drop(body);
    assert!(budget.try_reserve(200 * 1024).is_none());
    assert_eq!(&clone[..], text.as_bytes());
    drop(clone);
    // What was reserved beyond the length of the body is released at once.
    let _short = budget
        .try_reserve(200 * 1024)
        .expect("memory for one body")
        .attach("text".into());
    assert!(budget.try_reserve(200 * 1024).is_some());
}
