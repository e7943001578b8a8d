//! Tests of the report: the rate limit of log lines, the count of violations, and the time of summaries.

use super::*;
use slog::{o, Discard};

const SECOND: Time = 1_000_000;

fn report() -> Report {
    Report::new(0, Logger::root(Discard, o!()))
}

#[test]
fn each_counter_has_a_budget_of_log_lines_that_refills() {
    let mut report = report();
    let counter = Counter::End(EndReason::Timeout);
    let logged = (0..100).filter(|_| report.count(0, counter)).count();
    assert_eq!(logged, MAX_BURST_LINES as usize);
    // Another counter has a budget of its own.
    assert!(report.count(0, Counter::ReleaseFailed));
    let later = (0..100)
        .filter(|_| report.count(3 * SECOND, counter))
        .count();
    assert_eq!(later, 3);
    let much_later = (0..100)
        .filter(|_| report.count(900 * SECOND, counter))
        .count();
    assert_eq!(much_later, MAX_BURST_LINES as usize);
    assert_eq!(report.counts[&counter], 300);
    assert_eq!(
        report.suppressed_lines,
        300 - 2 * u64::from(MAX_BURST_LINES) - 3
    );
}

#[test]
fn violations_are_counted_by_rule() {
    let mut report = report();
    report.count(0, Counter::Violation(Rule::HeldState));
    report.count(0, Counter::Violation(Rule::Drain));
    report.count(0, Counter::Release(ReleaseReason::NoLongerNeeded));
    assert_eq!(report.violations(), 2);
    assert!(
        format_counts(&report.counts).contains("Violation(HeldState)=1"),
        "{}",
        format_counts(&report.counts)
    );
}

#[test]
fn a_summary_is_logged_once_a_minute_and_only_after_changes() {
    let mut report = report();
    report.count(0, Counter::ReleaseFailed);
    report.summarize_if_due(59 * SECOND, 0);
    assert!(report.has_changed);
    report.summarize_if_due(60 * SECOND, 0);
    assert!(!report.has_changed);
    assert_eq!(report.next_summary, 120 * SECOND);
}
