//! The module is read aloud after outages: it stays short and its lines stay narrow.

#[test]
fn the_module_keeps_its_line_limits() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 950, "{lines} lines that are not blank, 950 at most");
    for (at, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is longer than 110 characters", at + 1);
    }
    assert!(text.lines().take(3).any(|line| line.contains("src/api.rs")), "the top names the interface file");
}
