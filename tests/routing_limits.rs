//! The decision code is read aloud after outages: its modules stay short, its lines stay narrow, and its entry names the
//! interface.

use std::path::Path;

/// The longest a decision module may be, in lines that are not blank; it is split by decision before that.
const MOST_LINES: usize = 950;
const LONGEST_LINE: usize = 110;

/// Whatever the deploy file names as decision logic: files, and all files of folders.
fn decision_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("a deploy file");
    let line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("a line on the policy");
    let list = line
        .split('[')
        .nth(1)
        .and_then(|rest| rest.split(']').next())
        .expect("a list");
    let mut files = Vec::new();
    for name in list
        .split(',')
        .map(|name| name.trim().trim_matches('"'))
        .filter(|name| !name.is_empty())
    {
        let path = root.join(name);
        let paths = match path.is_dir() {
            true => path
                .read_dir()
                .expect("a folder")
                .map(|entry| entry.expect("an entry").path())
                .collect(),
            false => vec![path],
        };
        for path in paths {
            let text = std::fs::read_to_string(&path).expect("a readable file");
            files.push((path.display().to_string(), text));
        }
    }
    files
}

/// The operators lifted the limit on the lines of all modules together: each module still has one.
#[test]
fn each_decision_module_keeps_its_line_limits() {
    let files = decision_files();
    assert!(!files.is_empty());
    for (name, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MOST_LINES,
            "{name}: {lines} lines that are not blank, {MOST_LINES} at most"
        );
        for (at, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= LONGEST_LINE,
                "{name}: line {} is longer than {LONGEST_LINE} characters",
                at + 1
            );
        }
        assert!(
            text.starts_with("//! "),
            "{name}: no doc comment on the module"
        );
    }
    let names_interface = |(_, text): &(String, String)| {
        text.lines()
            .take(3)
            .any(|line| line.contains("src/routing/api.rs"))
    };
    assert!(
        files.iter().any(names_interface),
        "the entry names the interface file"
    );
}
