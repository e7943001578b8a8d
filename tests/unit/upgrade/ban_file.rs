use super::*;
use crate::upgrade::test_support::{ban_record, single_ban, TemporaryFolder};

#[test]
fn ban_file_parses_to_what_was_formatted_and_merging_keeps_the_newest_records() {
    let own = BanRecords::from([
        (Arc::from("a"), ban_record(5, true)),
        (Arc::from("b \"x\""), ban_record(6, false)),
    ]);
    assert_eq!(parse_records(&format_records(&own)).unwrap(), own);
    for invalid_text in [
        "",
        "{}",
        "{\"version\":2,\"marks\":[]}",
        "{\"version\":1,\"marks\":[{\"id\":7}]}",
    ] {
        assert!(parse_records(invalid_text).is_err(), "{invalid_text}");
    }
    // A process writes its records again if the file lacks them, and writes nothing if it knows no more than the file.
    assert_eq!(merge_records(&own, &BanRecords::new()), Some(own.clone()));
    assert_eq!(merge_records(&own, &own), None);
    assert_eq!(merge_records(&BanRecords::new(), &single_ban(5)), None);
    let newer = BanRecords::from([(Arc::from("a"), ban_record(9, false))]);
    assert_eq!(
        merge_records(&own, &newer).unwrap()["a"],
        ban_record(9, false)
    );
}

#[test]
fn unreadable_ban_file_is_read_again_later() {
    let folder = TemporaryFolder::new("unreadable");
    let _predecessor = folder.start_coordinator(1);
    let mut successor = folder.start_coordinator(2);
    let path = folder.shared().bans();
    fs::create_dir_all(&path).unwrap();
    assert_eq!(successor.read_changed_bans(), None);
    fs::remove_dir(&path).unwrap();
    BanFile::new(&folder.shared(), 1)
        .write(&single_ban(5))
        .unwrap();
    assert_eq!(successor.read_changed_bans(), Some(single_ban(5)));
}

/// Two processes may have one process id, in containers that share the folder. Guards against one that writes into the file
/// that the other has begun.
#[test]
fn processes_with_one_id_write_new_ban_files_of_their_own() {
    let folder = TemporaryFolder::new("one-id");
    let [first, second] = [1, 2].map(|started_at| BanFile::new(&folder.shared(), started_at));
    fs::write(&first.temporary_path, "begun").unwrap();
    second.write(&single_ban(5)).unwrap();
    assert_eq!(fs::read_to_string(&first.temporary_path).unwrap(), "begun");
    first.write(&single_ban(6)).unwrap();
    let text = fs::read_to_string(folder.shared().bans()).unwrap();
    assert_eq!(parse_records(&text).unwrap(), single_ban(6));
}
