//! Tests of the ban list: its limits, and the merge of records of two processes whose clocks may differ.

use super::*;

fn id(name: &str) -> Arc<str> {
    name.into()
}

#[test]
fn a_ban_is_in_force_until_it_is_ended() {
    let mut bans = BanList::default();
    assert_eq!(bans.set(1, &id("a"), true, true), Ok(true));
    assert_eq!(bans.set(2, &id("a"), true, false), Ok(false));
    assert!(bans.is_banned("a"));
    assert_eq!(bans.set(3, &id("a"), false, false), Ok(true));
    assert_eq!((bans.is_banned("a"), bans.ended_at("a")), (false, Some(3)));
    assert_eq!(bans.set(4, &id("a"), false, true), Ok(false));
}

#[test]
fn only_listed_ids_are_known_and_memory_of_removed_ids_is_bounded() {
    let mut bans = BanList::default();
    assert_eq!(
        bans.set(1, &id("never"), true, false),
        Err(BanError::Unknown)
    );
    assert_eq!(
        bans.set(1, &id("never"), false, false),
        Err(BanError::Unknown)
    );
    for number in 0..2 * MAX_REMOVED_IDS {
        bans.on_endpoint_removed(id(&format!("r{number}")));
        bans.on_endpoint_removed(id(&format!("r{number}")));
    }
    assert_eq!(
        (bans.removed_ids_by_age.len(), bans.removed_ids.len()),
        (MAX_REMOVED_IDS, MAX_REMOVED_IDS)
    );
    assert_eq!(bans.set(1, &id("r0"), true, false), Err(BanError::Unknown));
    assert_eq!(
        bans.set(
            1,
            &id(&format!("r{}", 2 * MAX_REMOVED_IDS - 1)),
            true,
            false
        ),
        Ok(true)
    );
    for number in 1..MAX_BANS {
        assert_eq!(
            bans.set(2, &id(&format!("b{number}")), true, true),
            Ok(true)
        );
    }
    assert_eq!(bans.set(3, &id("more"), true, true), Err(BanError::TooMany));
    assert_eq!(
        bans.set(BAN_END_RETENTION * 9, &id("b1"), false, false),
        Ok(true),
        "a ban is never forgotten"
    );
}

#[test]
fn ends_of_bans_are_forgotten_after_their_retention() {
    let mut bans = BanList::default();
    for number in 0..100 {
        let name = id(&format!("r{number}"));
        let now = number * BAN_END_RETENTION;
        bans.set(now, &name, true, true).unwrap();
        bans.set(now + 1, &name, false, true).unwrap();
    }
    assert!(bans.records().len() <= 2);
}

#[test]
fn two_processes_agree_whatever_the_order_of_changes() {
    let (mut one, mut two) = (BanList::default(), BanList::default());
    one.set(10, &id("a"), true, true).unwrap();
    two.set(11, &id("b"), true, true).unwrap();
    assert_eq!(two.merge(12, one.records()), [id("a")]);
    two.set(12, &id("a"), false, true).unwrap();
    // Records that are older than those known here change nothing.
    assert!(two.merge(13, &one.records().clone()).is_empty());
    assert_eq!(one.merge(13, two.records()), [id("a"), id("b")]);
    assert_eq!(one.records(), two.records());
    assert!(!one.is_banned("a") && one.is_banned("b"));
    // A change that follows a merged record is newer than that record, even if this process's clock is behind.
    one.set(5, &id("b"), false, true).unwrap();
    assert_eq!(two.merge(14, one.records()), [id("b")]);
}

/// Guards against comparing times of two clocks. With another process's clock an hour behind or ahead, its latest change must
/// still count. Its record must not outlive the retention by this process's clock.
#[test]
fn the_latest_change_counts_whatever_the_clock_of_the_other_process() {
    const HOUR: Time = 3_600_000_000;
    for (here, there) in [(10 * HOUR, 9 * HOUR), (9 * HOUR, 10 * HOUR)] {
        let (mut one, mut two) = (BanList::default(), BanList::default());
        one.set(here, &id("a"), true, true).unwrap();
        assert_eq!(two.merge(there, one.records()), [id("a")]);
        two.set(there + 1, &id("a"), false, true).unwrap();
        assert_eq!(
            one.merge(here + 2 * BAN_END_RETENTION, two.records()),
            [id("a")],
            "{here} {there}"
        );
        assert!(!one.is_banned("a"));
        assert_eq!(
            one.ended_at("a"),
            Some(here + 2 * BAN_END_RETENTION),
            "by the clock of the process that received the record"
        );
        one.merge(here + 4 * BAN_END_RETENTION, &BanRecords::new());
        assert!(one.records().is_empty(), "forgotten after the retention");
    }
}

/// Two operators change one endpoint in the same microsecond, each at another process. Both processes must come to the same
/// state, and the ban is the one that breaks no rule.
#[test]
fn of_two_changes_in_one_microsecond_the_ban_counts_in_both_processes() {
    let (mut one, mut two) = (BanList::default(), BanList::default());
    one.set(10, &id("a"), true, true).unwrap();
    two.set(9, &id("a"), true, true).unwrap();
    two.set(10, &id("a"), false, true).unwrap();
    let (records_of_one, records_of_two) = (one.records().clone(), two.records().clone());
    one.merge(11, &records_of_two);
    two.merge(11, &records_of_one);
    assert_eq!(one.records(), two.records());
    assert!(one.is_banned("a") && two.is_banned("a"));
}
