use super::*;

/// A body keeps its memory reserved until its last clone is dropped, and no longer.
#[test]
fn memory_is_released_with_the_last_clone_of_a_body() {
    let budget = ClientMemoryBudget::new(0);
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

/// What has arrived of a body counts, beyond what its connection holds, and all returns with the reservation.
#[tokio::test]
async fn a_body_reserves_what_its_connection_does_not_hold() {
    let budget = ClientMemoryBudget::new(0);
    let all = budget
        .try_reserve(MAX_BODY_BYTES)
        .expect("memory for one body");
    let mut reservation = MemoryReservation::default();
    budget
        .reserve_for_body(&mut reservation, CONNECTION_BODY_BYTES)
        .await;
    drop(all);
    for body_bytes in [CONNECTION_BODY_BYTES + 1, 100 * 1024, MAX_BODY_BYTES] {
        budget.reserve_for_body(&mut reservation, body_bytes).await;
        let reserved = (body_bytes - CONNECTION_BODY_BYTES).div_ceil(1024);
        assert_eq!(reservation.kilobytes(), reserved);
    }
    assert!(budget.try_reserve(CONNECTION_BODY_BYTES + 1024).is_none());
    drop(reservation);
    assert!(budget.try_reserve(MAX_BODY_BYTES).is_some());
}

/// Guards against sessions that take all of the memory from HTTP clients.
#[test]
fn requests_of_sessions_leave_a_part_of_the_budget() {
    let budget = ClientMemoryBudget::new(10_000);
    let mut reserved = Vec::new();
    while let Some(reservation) = budget.try_reserve_session_answer() {
        reserved.push(reservation);
    }
    let kilobytes: usize = reserved.iter().map(MemoryReservation::kilobytes).sum();
    assert!(kilobytes > 7_400 && kilobytes <= 7_500, "{kilobytes}");
    assert!(budget
        .try_reserve_session_body(1)
        .is_some_and(|body| body.kilobytes() == 1));
    assert!(budget.try_reserve(MAX_BODY_BYTES).is_some());
    drop(reserved);
    assert!(budget.try_reserve_session_answer().is_some());
}
