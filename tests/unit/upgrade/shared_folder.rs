use super::*;
use crate::upgrade::test_support::TemporaryFolder;

#[test]
fn files_of_this_dispatcher_are_classified_and_others_are_not() {
    let folder = SharedFolder::new(Path::new("/shared"), "n1");
    let process_id = std::process::id();
    assert_eq!(
        folder.classify(&folder.announcement(5)),
        Some(SharedFile::Announcement(AnnouncementName {
            started_at: Some(5),
            process_id: Some(process_id),
        }))
    );
    assert_eq!(
        folder.classify(&folder.temporary_bans(5, 7)),
        Some(SharedFile::TemporaryBans {
            process_id: Some(7)
        })
    );
    let unreadable_name = folder.path().join(format!("{}-x.notice", folder.prefix));
    assert_eq!(
        folder.classify(&unreadable_name),
        Some(SharedFile::Announcement(AnnouncementName::default()))
    );
    let other_dispatcher = SharedFolder::new(Path::new("/shared"), "n2");
    for path in [
        folder.start_time_claim(5),
        folder.stream_socket(5),
        folder.bans(),
        other_dispatcher.announcement(5),
    ] {
        assert_eq!(folder.classify(&path), None, "{path:?}");
    }
}

#[test]
fn socket_in_a_folder_with_a_long_path_is_reached() {
    let folder = TemporaryFolder::new("long");
    let long_path = folder.path.join("x".repeat(120));
    std::fs::create_dir(&long_path).unwrap();
    let processes = [(); 2].map(|()| SharedFolder::new(&long_path, "n1"));
    let addresses = processes
        .each_ref()
        .map(|shared| shared.stream_socket_address(7));
    let _listener = std::os::unix::net::UnixListener::bind(&addresses[0]).unwrap();
    assert!(
        processes[1].stream_socket(7).exists(),
        "the socket file has its normal name"
    );
    std::os::unix::net::UnixStream::connect(&addresses[1]).unwrap();
}
