//! The calls by which discovery's list is followed, and when one that nobody answers is taken for silent. No I/O.
//!
//! A watch that has fallen silent is broken, and looks like one that has nothing to tell. What it misses counts as told
//! 6 s after it fell silent, which may be the moment after it was opened, or 2 s after its wait is over where that is
//! later. And whatever came of a call, a change counts as told 6 s after discovery had it. So a call is given up, and a
//! failed one made again, early enough for the next one to be answered by then.
//!
//! Where lists are pushed, they come from an agent on this machine that answers at once and at no cost, and is silent
//! while discovery is down. What it has when that is over counts as told in that moment: it is asked in short turns.

use std::time::Duration;

/// How long a watch waits for something new: where lists must be asked for, ...
const HOLD: Duration = Duration::from_millis(1800);
/// ... and where they come to this machine.
const HOLD_HERE: Duration = Duration::from_secs(1);
/// An agent that has not answered so long after it should have is silent: the call is made again. Where discovery
/// has much to do a call waits its turn, and one that is given up has cost as much as one that was answered.
const LATE: Duration = Duration::from_secs(2);
/// Between a call that nobody answered and the next: nobody is worse off for it.
const RETRY: Duration = Duration::from_millis(100);
/// Between a call that was turned away, or answered with what is no list, and the next, at most: that one may have to
/// wait its turn, and be answered in the time in which news counts as told.
pub const PAUSE_MOST: Duration = Duration::from_millis(3800);
/// What was turned away only after this had waited its turn: discovery has more calls than it can answer, and all that
/// call it have to leave it more time.
const QUEUED: Duration = Duration::from_secs(1);
/// An agent on this machine is silent after this, ...
const LATE_HERE: Duration = Duration::from_millis(100);
/// ... is called again after this, or where it answered with what is no list, ...
const RETRY_HERE: Duration = Duration::from_millis(20);
/// ... and may be slow where it has not answered so many calls in turn: one in so many is then given more time.
const TURNS: u32 = 100;

/// A call to discovery.
#[derive(Debug)]
pub struct PollRequest {
    /// Path and query.
    pub target: String,
    /// It is silent where nothing has come for so long.
    pub patience: Duration,
}

/// Where the watch stands.
pub struct WatchState {
    revision: Option<u64>,
    pushed: bool,
    silent: u32, // calls in turn that nobody answered
}

impl WatchState {
    /// A watch from a revision that is known on, or from a full list. `pushed`: lists come to an agent on this machine.
    pub fn starting_at(revision: Option<u64>, pushed: bool) -> Self {
        WatchState {
            revision,
            pushed,
            silent: 0,
        }
    }

    /// The next call.
    pub fn next_poll(&self) -> PollRequest {
        let patient = self.silent > 0 && self.silent.is_multiple_of(TURNS);
        let late = if self.pushed && !patient {
            LATE_HERE
        } else {
            LATE
        };
        let hold = match self.pushed {
            // One that was silent is asked for what it has, without a wait in which it may fall silent again unseen.
            true if self.silent > 0 => Duration::ZERO,
            true => HOLD_HERE,
            false => HOLD,
        };
        match self.revision {
            None => PollRequest {
                target: "/v1/endpoints".to_owned(),
                patience: late,
            },
            Some(from) => PollRequest {
                target: format!("/v1/endpoints?from={from}&hold_ms={}", hold.as_millis()),
                patience: hold + late,
            },
        }
    }

    /// A list of this revision has come; true where it is another than the last.
    pub fn on_response(&mut self, revision: u64) -> bool {
        self.silent = 0;
        self.revision.replace(revision) != Some(revision)
    }

    /// Whether the last call was answered.
    pub fn is_synced(&self) -> bool {
        self.silent == 0
    }

    /// Nobody has answered. When to call again.
    pub fn on_timeout(&mut self) -> Duration {
        self.silent = self.silent.saturating_add(1);
        if self.pushed && !self.silent.is_multiple_of(TURNS) {
            RETRY_HERE
        } else {
            RETRY
        }
    }

    /// What was answered, so long after the call, is no list. The longest pause before the next call.
    pub fn max_backoff(&self, after: Duration) -> Duration {
        match self.pushed {
            true => RETRY_HERE,
            false if after < QUEUED => PAUSE_MOST,
            false => Duration::MAX,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery/watch_state.rs"]
mod tests;
