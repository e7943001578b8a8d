use super::*;
use crate::settings::{Profile, Site};
use slog::{o, Discard};

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn folder(name: &str) -> Folder {
    let path = std::env::temp_dir().join(format!("quartzhall-handover-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    Folder(path)
}

fn post(folder: &Folder, born: u64) -> Handover {
    Handover::start(&folder.0, "n1", born, Logger::root(Discard, o!())).unwrap()
}

fn marks(at: u64) -> Marks {
    Marks::from([(Arc::from("r1"), Mark { at, banned: true })])
}

struct Free;

impl Limits for Free {
    fn set(&self, _: u32) -> u32 {
        0
    }
}

/// A predecessor's word that comes between a successor's first look and its task is heard all the same.
#[tokio::test(start_paused = true)]
async fn a_ban_that_comes_as_a_process_starts_is_heard() {
    let folder = folder("starts");
    let (old, mut new) = (post(&folder, 1), post(&folder, 2));
    fs::write(old.bans_path(), "{\"version\":").unwrap();
    assert_eq!(new.new_bans(), Some(Marks::new()));
    old.write_bans(&marks(5)).unwrap();
    let profile: Profile = json::from_str("{}").unwrap();
    let (door, mut inbox) = crate::dispatch::door(Arc::new(Site::new(&profile).unwrap()));
    let (_phase, phase) = watch::channel(Phase::Starting);
    let (view, _seen) = watch::channel(View::default());
    tokio::spawn(run(new, Free, door, phase, view));
    let heard = async {
        loop {
            if let Some(Event::Marks(told)) = inbox.next().await {
                return told;
            }
        }
    };
    assert_eq!(tokio::time::timeout(Duration::from_secs(5), heard).await.expect("heard"), marks(5));
}

#[test]
fn processes_see_each_other_and_not_the_dead() {
    let folder = folder("see");
    let mut old = post(&folder, 1);
    assert_eq!(old.view(), View { part: 1, processes: 1, predecessor: false, successor: None });
    let new = post(&folder, 2);
    assert!(new.view().predecessor);
    assert!(old.is_new());
    old.look().unwrap();
    assert_eq!(old.view().successor, Some(2));
    drop(new);
    fs::write(folder.0.join(format!("{}-{:020}-7.notice", old.name, 3)), "1 2 3").unwrap();
    old.look().unwrap();
    assert_eq!(old.view().processes, 1, "a notice that nobody holds is a dead one's");
    assert_eq!(fs::read_dir(&folder.0).unwrap().count(), 1);
}

#[test]
fn the_file_of_bans_is_read_as_written_and_nothing_is_lifted_by_another() {
    let both = Marks::from([
        (Arc::from("a"), Mark { at: 5, banned: true }),
        (Arc::from("b \"x\""), Mark { at: 6, banned: false }),
    ]);
    assert_eq!(parse_marks(&marks_text(&both)), Ok(both.clone()));
    for bad in ["", "{}", "{\"version\":2,\"marks\":[]}", "{\"version\":1,\"marks\":[{\"id\":7}]}"] {
        assert!(parse_marks(bad).is_err(), "{bad}");
    }
    // Who finds its word missing writes it again; who knows no more than the file says writes nothing.
    assert_eq!(merged(&both, &Marks::new()), Some(both.clone()));
    assert_eq!(merged(&both, &both), None);
    assert_eq!(merged(&Marks::new(), &marks(5)), None);
    let newer = Marks::from([(Arc::from("a"), Mark { at: 9, banned: false })]);
    assert_eq!(merged(&both, &newer).unwrap()["a"], Mark { at: 9, banned: false });
}
