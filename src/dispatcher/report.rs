//! What the core counts and logs of its requests: ends of attempts, closes, releases, broken rules.
//!
//! Each kind of line has a budget, so that a bad hour can't fill the log; what the budget holds back is counted, and a
//! summary of all counts is logged from time to time and at the end.

use super::reasons::{CloseReason, EndReason, ReleaseReason};
use super::rules::Rule;
use crate::routing::api::Time;
use slog::{info, Logger};
use std::collections::BTreeMap;
use std::fmt::Debug;

/// Lines of one kind that may be logged at once ...
const BURST: u32 = 10;
/// ... and after that one for each such span.
const LINE_EACH: Time = 1_000_000;
/// Between two summaries.
const SUMMARY_EACH: Time = 60_000_000;

/// What is counted, and whose lines share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Kind {
    /// An attempt ended.
    End(EndReason),
    /// A further attempt follows one that ended so.
    Retry(EndReason),
    /// A request was closed without a stream.
    Close(CloseReason),
    /// Servers are told to release what they hold.
    Release(ReleaseReason),
    /// No server took a release in time.
    ReleaseFailed,
    /// A rule was about to be broken, or was.
    Violation(Rule),
}

/// A token bucket for log lines.
struct Budget {
    lines: u32,
    refilled_at: Time,
}

impl Budget {
    /// Takes a line, if there is one.
    fn take(&mut self, now: Time) -> bool {
        let refills = now.saturating_sub(self.refilled_at) / LINE_EACH;
        if refills > 0 {
            self.lines = self
                .lines
                .saturating_add(refills.min(u64::from(BURST)) as u32)
                .min(BURST);
            self.refilled_at = now;
        }
        let has_one = self.lines > 0;
        self.lines -= u32::from(has_one);
        has_one
    }
}

/// Counters and budgets. Kinds are few, so that this is bounded.
pub(super) struct Report {
    counts: BTreeMap<Kind, u64>,
    budgets: BTreeMap<Kind, Budget>,
    held_back: u64,
    changed: bool,
    next_summary: Time,
}

impl Report {
    pub fn new(now: Time) -> Report {
        Report {
            counts: BTreeMap::new(),
            budgets: BTreeMap::new(),
            held_back: 0,
            changed: false,
            next_summary: now.saturating_add(SUMMARY_EACH),
        }
    }

    /// Counts one, and tells whether a line may be logged for it.
    pub fn count(&mut self, now: Time, kind: Kind) -> bool {
        *self.counts.entry(kind).or_default() += 1;
        self.changed = true;
        let budget = self.budgets.entry(kind).or_insert(Budget {
            lines: BURST,
            refilled_at: now,
        });
        let may_log = budget.take(now);
        self.held_back += u64::from(!may_log);
        may_log
    }

    /// Breaches of rules so far.
    pub fn violations(&self) -> u64 {
        let is_violation = |kind: &Kind| matches!(kind, Kind::Violation(_));
        self.counts
            .iter()
            .filter(|(kind, _)| is_violation(kind))
            .map(|(_, count)| count)
            .sum()
    }

    /// Logs all counts where it is time for it and something has changed.
    pub fn summarize_at(&mut self, now: Time, open: usize, log: &Logger) {
        if now >= self.next_summary {
            self.next_summary = now.saturating_add(SUMMARY_EACH);
            self.summarize(open, log);
        }
    }

    /// Logs all counts where something has changed since the last time.
    pub fn summarize(&mut self, open: usize, log: &Logger) {
        if std::mem::take(&mut self.changed) {
            info!(log, "summary"; "violations" => self.violations(), "lines_held_back" => self.held_back,
                "open" => open, "counts" => text(&self.counts));
        }
    }
}

fn text(counts: &BTreeMap<impl Debug, u64>) -> String {
    let pair = |(kind, count): (&_, &u64)| format!("{kind:?}={count}");
    counts.iter().map(pair).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/report.rs"]
mod tests;
