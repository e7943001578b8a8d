use super::claim_file::MAX_FILE_BYTES;
use super::record::Record;
use super::*;
use crate::upgrade::shared_folder::SharedFolder;
use crate::upgrade::test_support::{announcement, TemporaryFolder, DISPATCHER_NAME};
use slog::{o, Discard};
use std::fs::{self, File};
use std::io::Write;
use std::path::PathBuf;

const OLDER: u64 = 100;
const YOUNGER: u64 = 200;

fn open(folder: &SharedFolder, process: u64) -> RequestClaims {
    RequestClaims::open(folder.clone(), process, Logger::root(Discard, o!()))
}

/// Two processes of one dispatcher that know each other.
struct Pair {
    folder: TemporaryFolder,
    older: RequestClaims,
    younger: RequestClaims,
}

impl Pair {
    fn new(test_name: &str) -> Pair {
        let folder = TemporaryFolder::new(test_name);
        let older = open(&folder.shared(), OLDER);
        let younger = open(&folder.shared(), YOUNGER);
        older.set_peers(&[announcement(YOUNGER, ProcessState::Serving, 8)]);
        younger.set_peers(&[announcement(OLDER, ProcessState::Leaving, 8)]);
        Pair {
            folder,
            older,
            younger,
        }
    }
}

fn key(id: &str) -> RequestKey {
    RequestKey::of_http_request(id)
}

fn claim(claims: &RequestClaims, id: &str) -> Option<RequestClaim> {
    match claims.claim(key(id), Repeatability::RunsOnce) {
        ClaimResult::Owned(claim) => Some(claim),
        ClaimResult::Held(_) | ClaimResult::Unknown => None,
    }
}

fn held(claims: &RequestClaims, id: &str, repeatability: Repeatability) -> Option<HeldRequest> {
    match claims.claim(key(id), repeatability) {
        ClaimResult::Held(held) => Some(held),
        ClaimResult::Owned(_) | ClaimResult::Unknown => None,
    }
}

fn claims_path(folder: &TemporaryFolder, generation: u64) -> PathBuf {
    folder.shared().claims(generation)
}

#[test]
fn first_claim_makes_its_process_the_owner_until_the_end() {
    let pair = Pair::new("claims-owner");
    let ends = [
        (ClaimEnd::Served, HeldRequest::Served),
        (ClaimEnd::MayHaveRun, HeldRequest::MayHaveRun),
    ];
    for (number, (end, expected)) in ends.into_iter().enumerate() {
        let id = format!("r{number}");
        let owned = claim(&pair.older, &id).unwrap();
        let held_by_older = held(&pair.younger, &id, Repeatability::RunsOnce);
        assert_eq!(held_by_older, Some(HeldRequest::InFlight));
        owned.end(end);
        for claims in [&pair.younger, &pair.older] {
            assert_eq!(held(claims, &id, Repeatability::RunsOnce), Some(expected));
        }
    }
    claim(&pair.older, "released")
        .unwrap()
        .end(ClaimEnd::Released);
    let owned = claim(&pair.younger, "released").unwrap();
    assert!(claim(&pair.older, "released").is_none());
    drop(owned);
}

#[test]
fn request_that_may_repeat_is_released_by_any_end() {
    let pair = Pair::new("claims-repeat");
    let ClaimResult::Owned(owned) = pair.older.claim(key("r"), Repeatability::MayRepeat) else {
        panic!("not owned")
    };
    let in_flight = held(&pair.younger, "r", Repeatability::MayRepeat);
    assert_eq!(in_flight, Some(HeldRequest::InFlight));
    owned.end(ClaimEnd::MayHaveRun);
    let claimed = pair.younger.claim(key("r"), Repeatability::MayRepeat);
    assert!(matches!(claimed, ClaimResult::Owned(_)));
}

/// Guards against the late end of an earlier submission that frees a request which a later one has begun.
#[test]
fn claims_of_one_process_share_the_ownership_until_the_last_has_ended() {
    let pair = Pair::new("claims-shared");
    let first = claim(&pair.older, "r").unwrap();
    let second = claim(&pair.older, "r").unwrap();
    first.end(ClaimEnd::Released);
    let in_flight = held(&pair.younger, "r", Repeatability::RunsOnce);
    assert_eq!(in_flight, Some(HeldRequest::InFlight));
    let third = claim(&pair.older, "r").unwrap();
    second.end(ClaimEnd::Served);
    third.end(ClaimEnd::Released);
    let served = held(&pair.younger, "r", Repeatability::RunsOnce);
    assert_eq!(served, Some(HeldRequest::Served));
}

#[test]
fn request_of_a_dead_process_is_begun_again_only_if_it_may_repeat() {
    let pair = Pair::new("claims-dead");
    std::mem::forget(claim(&pair.older, "once").unwrap());
    std::mem::forget(
        pair.older
            .claim(key("repeatable"), Repeatability::MayRepeat),
    );
    pair.younger.set_peers(&[]);
    let may_have_run = held(&pair.younger, "once", Repeatability::RunsOnce);
    assert_eq!(may_have_run, Some(HeldRequest::MayHaveRun));
    let claimed = pair
        .younger
        .claim(key("repeatable"), Repeatability::MayRepeat);
    assert!(matches!(claimed, ClaimResult::Owned(_)));
}

#[test]
fn stream_that_is_handed_over_changes_its_owner() {
    let pair = Pair::new("claims-stream");
    let sent = claim(&pair.older, "r").unwrap();
    let received = pair.younger.take_over(key("r"));
    sent.end(ClaimEnd::Released);
    let in_flight = held(&pair.older, "r", Repeatability::RunsOnce);
    assert_eq!(in_flight, Some(HeldRequest::InFlight));
    drop(received);
    let may_have_run = held(&pair.older, "r", Repeatability::RunsOnce);
    assert_eq!(may_have_run, Some(HeldRequest::MayHaveRun));
}

#[test]
fn requests_over_http_and_of_sessions_of_each_tenant_are_different_ones() {
    let keys = [
        key("r"),
        RequestKey::of_session_request(None, "r"),
        RequestKey::of_session_request(Some("r"), ""),
        RequestKey::of_session_request(Some("acme"), "r"),
    ];
    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[..number].contains(key), "{number}");
    }
}

/// A process of the version before has no record, so what it has begun is not known.
#[test]
fn beside_a_process_without_record_only_requests_that_may_repeat_are_begun() {
    let folder = TemporaryFolder::new("claims-version-before");
    let claims = open(&folder.shared(), YOUNGER);
    claims.set_peers(&[announcement(OLDER, ProcessState::Starting, 1)]);
    assert!(claim(&claims, "starting").is_some());
    for state in [ProcessState::Serving, ProcessState::Leaving] {
        claims.set_peers(&[announcement(OLDER, state, 8)]);
        let claimed = claims.claim(key("once"), Repeatability::RunsOnce);
        assert!(matches!(claimed, ClaimResult::Unknown));
        let claimed = claims.claim(key("repeatable"), Repeatability::MayRepeat);
        assert!(matches!(claimed, ClaimResult::Owned(_)));
    }
    claims.set_peers(&[]);
    assert!(claim(&claims, "once").is_some());
}

#[test]
fn folder_that_fails_holds_up_only_what_another_process_may_have() {
    let folder = TemporaryFolder::new("claims-folder-fails");
    let missing = SharedFolder::new(&folder.path.join("missing"), DISPATCHER_NAME);
    let claims = open(&missing, YOUNGER);
    let alone = claim(&claims, "alone").unwrap();
    claims.set_peers(&[announcement(OLDER, ProcessState::Leaving, 8)]);
    let claimed = claims.claim(key("once"), Repeatability::RunsOnce);
    assert!(matches!(claimed, ClaimResult::Unknown));
    let claimed = claims.claim(key("repeatable"), Repeatability::MayRepeat);
    assert!(matches!(claimed, ClaimResult::Owned(_)));
    // Once the folder can be used, the other process learns what was begun meanwhile.
    fs::create_dir(folder.path.join("missing")).unwrap();
    let older = open(&missing, OLDER);
    claims.set_peers(&[announcement(OLDER, ProcessState::Leaving, 8)]);
    older.set_peers(&[announcement(YOUNGER, ProcessState::Serving, 8)]);
    let in_flight = held(&older, "alone", Repeatability::RunsOnce);
    assert_eq!(in_flight, Some(HeldRequest::InFlight));
    assert!(claim(&claims, "once").is_some());
    drop(alone);
}

/// Guards against a record that was written in part and spoils the one after it.
#[test]
fn record_that_is_cut_short_does_not_count_and_leaves_the_next_one_whole() {
    let pair = Pair::new("claims-cut");
    let lost = Record::Claimed {
        key: key("lost"),
        claim: ClaimId {
            owner: OLDER,
            number: 9,
        },
        replaced_owner: YOUNGER,
    };
    let line = lost.to_line();
    for length in 0..line.len() {
        let mut file = File::options()
            .append(true)
            .open(claims_path(&pair.folder, 1))
            .unwrap();
        file.write_all(&line.as_bytes()[..length]).unwrap();
        let id = format!("next-{length}");
        let owned = claim(&pair.older, &id).unwrap();
        let in_flight = held(&pair.younger, &id, Repeatability::RunsOnce);
        assert_eq!(in_flight, Some(HeldRequest::InFlight), "{length}");
        drop(owned);
    }
    let all_but_the_line_break = line.len() - 1;
    let parsed = |length: usize| Record::parse(line[..length].trim_matches('\n'));
    assert!((0..all_but_the_line_break).all(|length| parsed(length).is_none()));
    assert_eq!(parsed(all_but_the_line_break), Some(lost));
}

/// Fills several files, so that requests of older ones are forgotten.
#[test]
fn record_is_bounded_and_keeps_the_newest_requests() {
    let pair = Pair::new("claims-bounded");
    let owned = claim(&pair.older, "in flight").unwrap();
    let mut generations = 1;
    let mut served = 0;
    while generations < 4 {
        let id = format!("served-{served}");
        claim(&pair.older, &id).unwrap().end(ClaimEnd::Served);
        served += 1;
        if served % 64 == 0 {
            let held_by_older = held(&pair.younger, &id, Repeatability::RunsOnce);
            assert_eq!(held_by_older, Some(HeldRequest::Served), "{served}");
        }
        generations += usize::from(claims_path(&pair.folder, generations as u64 + 1).exists());
    }
    let mut bytes = 0;
    for generation in 1..=4 {
        if let Ok(metadata) = fs::metadata(claims_path(&pair.folder, generation)) {
            assert!(generation >= 3, "{generation}");
            bytes += metadata.len();
        }
    }
    assert!(bytes < 2 * MAX_FILE_BYTES + 4096, "{bytes}");
    let newest = format!("served-{}", served - 1);
    let third = open(&pair.folder.shared(), YOUNGER + 1);
    for claims in [&pair.older, &pair.younger, &third] {
        assert!(held(claims, &newest, Repeatability::RunsOnce).is_some());
    }
    // A request in flight is carried on by its owner.
    for claims in [&pair.younger, &third] {
        claims.set_peers(&[announcement(OLDER, ProcessState::Leaving, 8)]);
        let in_flight = held(claims, "in flight", Repeatability::RunsOnce);
        assert_eq!(in_flight, Some(HeldRequest::InFlight));
    }
    drop(owned);
}

/// Somebody outside the dispatcher has cut the file short, so that what is appended is not read back.
#[test]
fn file_that_was_cut_short_is_an_error_and_no_endless_loop() {
    let pair = Pair::new("claims-truncated");
    for number in 0..20 {
        drop(claim(&pair.older, &format!("r{number}")).unwrap());
    }
    let file = File::options()
        .write(true)
        .open(claims_path(&pair.folder, 1))
        .unwrap();
    file.set_len(0).unwrap();
    let claimed = pair.older.claim(key("next"), Repeatability::RunsOnce);
    assert!(matches!(claimed, ClaimResult::Unknown));
}

/// Processes of all later versions read these lines.
#[test]
fn lines_of_the_record_are_unchanged() {
    let key = RequestKey::of_session_request(Some("acme"), "t7-0042");
    let claim = ClaimId {
        owner: 0x6_4a5b,
        number: 0x1c,
    };
    let records = [
        (
            Record::ProcessStarted { owner: 0x6_4a5b },
            "\n1 p 0000000000064a5b\n",
        ),
        (
            Record::Claimed {
                key,
                claim,
                replaced_owner: 7,
            },
            "\n1 c 0000000000064a5b 000000000000001c KEY 0000000000000007\n",
        ),
        (
            Record::Ended {
                key,
                claim,
                end: ClaimEnd::Released,
            },
            "\n1 r 0000000000064a5b 000000000000001c KEY\n",
        ),
        (
            Record::Ended {
                key,
                claim,
                end: ClaimEnd::Served,
            },
            "\n1 s 0000000000064a5b 000000000000001c KEY\n",
        ),
        (
            Record::Ended {
                key,
                claim,
                end: ClaimEnd::MayHaveRun,
            },
            "\n1 m 0000000000064a5b 000000000000001c KEY\n",
        ),
    ];
    for (record, line) in records {
        let line = line.replace("KEY", "0a5bba7e4ae9dbe669dc0a311e1f9c03");
        assert_eq!(record.to_line(), line);
        assert_eq!(Record::parse(line.trim_matches('\n')), Some(record));
    }
    for invalid in ["", "2 p 0000000000064a5b", "1 x 0000000000064a5b", "1 p"] {
        assert_eq!(Record::parse(invalid), None, "{invalid}");
    }
}
