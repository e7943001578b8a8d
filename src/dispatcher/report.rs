//! The core's counters and log: ends of attempts, closed requests, releases, rule violations and changes of state.
//!
//! The log lines of each counter are rate-limited, so that a long period of failures can't fill the log. Suppressed lines are
//! counted, and a summary of all counters is logged periodically and at the end of a drain. [`Report`] owns the counters, the
//! rate limits and the core's logger; the log lines themselves are in [`log_lines`].

mod log_lines;

use super::reasons::{CloseReason, EndReason, ReleaseReason};
use super::rules::Rule;
use crate::routing::api::Time;
use slog::{info, Logger};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Maximum number of lines that one counter may log in a burst.
const MAX_BURST_LINES: u32 = 10;
/// After a burst, a counter may log one line per interval of this length (microseconds).
const LINE_INTERVAL: Time = 1_000_000;
/// Minimum time between two periodic summaries (microseconds).
const SUMMARY_INTERVAL: Time = 60_000_000;

/// A counter. Its log lines share one rate limit, and the summary prints its `Debug` form as its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Counter {
    /// An attempt ended for this reason, successfully or not.
    End(EndReason),
    /// An attempt was started after one that ended for this reason.
    Retry(EndReason),
    /// A request was closed other than by the end of its stream.
    Close(CloseReason),
    /// A stream was received from another process of this dispatcher.
    StreamReceived,
    /// Endpoints were requested to release what they reserve for a request.
    Release(ReleaseReason),
    /// No endpoint confirmed a release in time.
    ReleaseFailed,
    /// A rule was violated, or a violation was prevented.
    Violation(Rule),
}

/// A token bucket for log lines.
struct LogLineBudget {
    lines: u32,
    refilled_at: Time,
}

impl LogLineBudget {
    /// Takes one line from the budget; returns false if none is left.
    fn take(&mut self, now: Time) -> bool {
        let refills = now.saturating_sub(self.refilled_at) / LINE_INTERVAL;
        if refills > 0 {
            self.lines = self
                .lines
                .saturating_add(refills.min(u64::from(MAX_BURST_LINES)) as u32)
                .min(MAX_BURST_LINES);
            self.refilled_at = now;
        }
        let has_line = self.lines > 0;
        self.lines -= u32::from(has_line);
        has_line
    }
}

/// The counters, their budgets of log lines, and the log. Their number is bounded by the possible values of [`Counter`].
pub(super) struct Report {
    log: Logger,
    counts: BTreeMap<Counter, u64>,
    budgets: BTreeMap<Counter, LogLineBudget>,
    /// Counts without a line left in the budget, also of events that are never logged.
    suppressed_lines: u64,
    /// Whether a counter has changed since the last summary.
    has_changed: bool,
    next_summary: Time,
}

impl Report {
    /// Creates a report without counts. `now` is Unix time in microseconds.
    pub(super) fn new(now: Time, log: Logger) -> Report {
        Report {
            log,
            counts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            suppressed_lines: 0,
            has_changed: false,
            next_summary: now.saturating_add(SUMMARY_INTERVAL),
        }
    }

    /// Increments a counter, and returns whether a line may be logged for it.
    pub(super) fn count(&mut self, now: Time, counter: Counter) -> bool {
        *self.counts.entry(counter).or_default() += 1;
        self.has_changed = true;
        let budget = self.budgets.entry(counter).or_insert(LogLineBudget {
            lines: MAX_BURST_LINES,
            refilled_at: now,
        });
        let may_log = budget.take(now);
        self.suppressed_lines += u64::from(!may_log);
        may_log
    }

    /// Returns the number of rule violations so far.
    pub(super) fn violations(&self) -> u64 {
        let is_violation = |counter: &Counter| matches!(counter, Counter::Violation(_));
        self.counts
            .iter()
            .filter(|(counter, _)| is_violation(counter))
            .map(|(_, count)| count)
            .sum()
    }

    /// Logs all counters if a summary is due and one has changed since the last summary.
    pub(super) fn summarize_if_due(&mut self, now: Time, open_requests: usize) {
        if now >= self.next_summary {
            self.next_summary = now.saturating_add(SUMMARY_INTERVAL);
            self.summarize(open_requests);
        }
    }

    /// Logs all counters if one has changed since the last summary.
    pub(super) fn summarize(&mut self, open_requests: usize) {
        if std::mem::take(&mut self.has_changed) {
            info!(self.log, "summary"; "violations" => self.violations(), "suppressed_lines" => self.suppressed_lines,
                "open_requests" => open_requests, "counts" => format_counts(&self.counts));
        }
    }
}

fn format_counts(counts: &BTreeMap<impl Debug, u64>) -> String {
    let pair = |(counter, count): (&_, &u64)| format!("{counter:?}={count}");
    counts.iter().map(pair).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/report.rs"]
mod tests;
