//! Size limits of the decision code, which is read during outages: modules and lines stay short, and the
//! entry module names the interface file.

use std::path::Path;

/// Maximum number of non-blank lines in one decision module. A module is split by concern before it exceeds
/// this.
const MAX_MODULE_LINES: usize = 500;
const MAX_LINE_CHARACTERS: usize = 110;

/// Returns the path and text of each file that the deploy file lists as decision logic, and of all files in
/// the folders that it lists.
fn decision_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("a deploy file");
    let policy_line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .expect("a line on the policy");
    let (_, rest) = policy_line.split_once('[').expect("the start of a list");
    let (list, _) = rest.split_once(']').expect("the end of a list");
    let mut files = Vec::new();
    for name in list.split(',') {
        let name = name.trim().trim_matches('"');
        if name.is_empty() {
            continue;
        }
        let path = root.join(name);
        let mut paths = Vec::new();
        if path.is_dir() {
            for entry in path.read_dir().expect("a folder") {
                paths.push(entry.expect("an entry").path());
            }
        } else {
            paths.push(path);
        }
        for path in paths {
            let text = std::fs::read_to_string(&path).expect("a readable file");
            files.push((path.display().to_string(), text));
        }
    }
    files
}

/// The operators lifted the limit on the total number of lines; each module still has one.
#[test]
fn each_decision_module_keeps_its_line_limits() {
    let files = decision_files();
    assert!(!files.is_empty());
    for (name, text) in &files {
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_MODULE_LINES,
            "{name}: {lines} lines that are not blank, {MAX_MODULE_LINES} at most"
        );
        for (index, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_CHARACTERS,
                "{name}: line {} is longer than {MAX_LINE_CHARACTERS} characters",
                index + 1
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
