//! The calls by which discovery's list is followed, and when one that nobody answers is taken for silent. No I/O.
//!
//! A watch that has fallen silent is broken, and looks like one that has nothing to tell. What it misses counts as told
//! 6 s after it fell silent, which may be the moment after it was opened, or 2 s after its wait is over where that is
//! later. So a call is given up early enough for the next one to be answered by then.

use std::time::Duration;

/// How long a watch waits for something new.
const HOLD: Duration = Duration::from_secs(3);
/// An agent that has not answered so long after it should have is silent: the call is made again. Where discovery
/// has much to do a call waits its turn, and one that is given up has cost as much as one that was answered.
const LATE: Duration = Duration::from_millis(2500);
/// Between a call that nobody answered and the next: nobody is worse off for it.
pub const RETRY: Duration = Duration::from_millis(100);

/// A call to discovery.
pub struct Call {
    /// Path and query.
    pub target: String,
    /// It is silent where nothing has come for so long.
    pub patience: Duration,
}

/// Where the watch stands.
pub struct Watch {
    revision: Option<u64>,
}

impl Watch {
    /// A watch from a revision that is known on, or from a full list.
    pub fn from(revision: Option<u64>) -> Self {
        Watch { revision }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        match self.revision {
            None => Call { target: "/v1/endpoints".to_owned(), patience: LATE },
            Some(from) => Call {
                target: format!("/v1/endpoints?from={from}&hold_ms={}", HOLD.as_millis()),
                patience: HOLD + LATE,
            },
        }
    }

    /// A list of this revision has come; true where it is another than the last.
    pub fn answered(&mut self, revision: u64) -> bool {
        self.revision.replace(revision) != Some(revision)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// When what a watch misses counts as told, for one that was opened at 0 and fell silent at `silent`.
    fn told(silent: Duration, hold: Duration) -> Duration {
        (silent + Duration::from_secs(6)).max(hold + Duration::from_secs(2))
    }

    fn hold(call: &Call) -> Duration {
        let hold = call.target.rsplit_once("hold_ms=").map_or("0", |it| it.1);
        Duration::from_millis(hold.parse().unwrap())
    }

    /// Guards against patience that outlasts the rule: after 6.5 s a watch that had fallen silent as it was opened was
    /// half a second late, and requests went to nodes that drained.
    #[test]
    fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
        for revision in [None, Some(41)] {
            let call = Watch::from(revision).call();
            for silent in (0..3_000).step_by(50).map(Duration::from_millis) {
                // The new call may find nobody at first, and is on its way for a while.
                let noticed = call.patience + RETRY * 2;
                assert!(
                    noticed <= told(silent, hold(&call)),
                    "{revision:?}: {noticed:?}, silent at {silent:?}"
                );
            }
        }
    }

    #[test]
    fn a_watch_goes_on_from_the_list_that_has_come() {
        let mut watch = Watch::from(None);
        assert_eq!(watch.call().target, "/v1/endpoints");
        assert!(watch.answered(7) && !watch.answered(7) && watch.answered(8));
        assert!(watch.call().target.starts_with("/v1/endpoints?from=8&hold_ms="));
    }
}
