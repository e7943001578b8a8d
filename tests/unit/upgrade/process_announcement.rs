use super::*;
use crate::upgrade::test_support::announcement;

#[test]
fn announcement_line_parses_to_what_was_formatted_and_other_lines_are_rejected() {
    for state in [
        ProcessState::Starting,
        ProcessState::Serving,
        ProcessState::Leaving,
    ] {
        let announcement = announcement(1_700_000_000_000_000, state, 15);
        let line = announcement.to_line();
        assert_eq!(ProcessAnnouncement::parse(&line), Some(announcement));
        assert_eq!(line.len(), 35);
        for length in 0..line.len() {
            assert_eq!(ProcessAnnouncement::parse(&line[..length]), None);
        }
    }
    for invalid_line in [
        "2 5 serving 03\n",
        "1 5 serving 17\n",
        "1 5 resting 03\n",
        "1 5 serving 03 04\n",
        "1 x serving 1\n",
    ] {
        assert_eq!(ProcessAnnouncement::parse(invalid_line), None);
    }
}
