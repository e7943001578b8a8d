//! Replicas that operators have taken out of use, by id. State only: no clock, no file, no socket.
//!
//! What was said last of an id counts, whoever said it and whatever discovery tells meanwhile. What is said here of
//! ids that are listed no more is bounded; a ban is never forgotten to make room.

use crate::api::Time;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// So many ids that have left the list are remembered, the latest ones.
const MOST_LEFT: usize = 4096;
/// So many bans may hold at once.
const MOST_BANS: usize = 4096;
/// The end of a ban is remembered so long: by then every process that serves has heard of it.
const ENDED_KEPT: Time = 60_000_000;

/// What was said last of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    /// When, in Unix microseconds.
    pub at: Time,
    /// It is out of use; else its ban has ended.
    pub banned: bool,
}

/// Why a call was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The id was never listed.
    Unknown,
    /// As many replicas are out of use as may be.
    TooMany,
}

/// All marks.
pub type Marks = BTreeMap<Arc<str>, Mark>;

/// The bans of a dispatcher.
#[derive(Default)]
pub struct Bans {
    marks: Marks,
    left: VecDeque<Arc<str>>,
    left_set: HashSet<Arc<str>>,
}

impl Bans {
    /// An id has left the list; it stays known.
    pub fn has_left(&mut self, id: Arc<str>) {
        if self.left_set.insert(id.clone()) {
            self.left.push_back(id);
        }
        if self.left.len() > MOST_LEFT {
            self.left.pop_front().map(|oldest| self.left_set.remove(&oldest));
        }
    }

    /// Takes an id out of use, or back. `listed`: the list has it now. Tells whether anything changes: calls may
    /// come more than once.
    pub fn call(&mut self, now: Time, id: &Arc<str>, banned: bool, listed: bool) -> Result<bool, Refusal> {
        self.forget_ended(now);
        let known = listed || self.left_set.contains(id) || self.marks.contains_key(id);
        if !known {
            return Err(Refusal::Unknown);
        }
        if self.is_banned(id) == banned {
            return Ok(false);
        }
        if banned && self.marks.values().filter(|mark| mark.banned).count() >= MOST_BANS {
            return Err(Refusal::TooMany);
        }
        // A word is newer than the one that it replaces, also where another process's clock ran ahead.
        let at = self.marks.get(id).map_or(now, |old| now.max(old.at + 1));
        self.marks.insert(id.clone(), Mark { at, banned });
        Ok(true)
    }

    /// Takes in what another process knows; the newest word on each id counts. Tells the ids whose state changed.
    pub fn merge(&mut self, now: Time, others: &Marks) -> Vec<Arc<str>> {
        self.forget_ended(now);
        let mut changed = Vec::new();
        for (id, mark) in others {
            let stale = !mark.banned && mark.at.saturating_add(ENDED_KEPT) < now;
            // At the same moment the ban counts: it can do no harm that the rules forbid.
            if stale || self.marks.get(id).is_some_and(|own| own >= mark) {
                continue;
            }
            if self.is_banned(id) != mark.banned {
                changed.push(id.clone());
            }
            self.marks.insert(id.clone(), *mark);
        }
        changed
    }

    fn forget_ended(&mut self, now: Time) {
        self.marks.retain(|_, mark| mark.banned || mark.at.saturating_add(ENDED_KEPT) >= now);
    }

    /// Whether an id is out of use.
    pub fn is_banned(&self, id: &str) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.banned)
    }

    /// When an id's ban ended, where that is remembered.
    pub fn ended(&self, id: &str) -> Option<Time> {
        self.marks.get(id).filter(|mark| !mark.banned).map(|mark| mark.at)
    }

    /// What was said of each id.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(name: &str) -> Arc<str> {
        name.into()
    }

    #[test]
    fn a_call_out_holds_until_one_call_back() {
        let mut bans = Bans::default();
        assert_eq!(bans.call(1, &id("a"), true, true), Ok(true));
        assert_eq!(bans.call(2, &id("a"), true, false), Ok(false));
        assert!(bans.is_banned("a"));
        assert_eq!(bans.call(3, &id("a"), false, false), Ok(true));
        assert_eq!((bans.is_banned("a"), bans.ended("a")), (false, Some(3)));
        assert_eq!(bans.call(4, &id("a"), false, true), Ok(false));
    }

    #[test]
    fn only_an_id_that_was_listed_is_known_and_what_is_remembered_is_bounded() {
        let mut bans = Bans::default();
        assert_eq!(bans.call(1, &id("never"), true, false), Err(Refusal::Unknown));
        assert_eq!(bans.call(1, &id("never"), false, false), Err(Refusal::Unknown));
        for number in 0..2 * MOST_LEFT {
            bans.has_left(id(&format!("r{number}")));
            bans.has_left(id(&format!("r{number}")));
        }
        assert_eq!((bans.left.len(), bans.left_set.len()), (MOST_LEFT, MOST_LEFT));
        assert_eq!(bans.call(1, &id("r0"), true, false), Err(Refusal::Unknown));
        assert_eq!(bans.call(1, &id(&format!("r{}", 2 * MOST_LEFT - 1)), true, false), Ok(true));
        for number in 1..MOST_BANS {
            assert_eq!(bans.call(2, &id(&format!("b{number}")), true, true), Ok(true));
        }
        assert_eq!(bans.call(3, &id("more"), true, true), Err(Refusal::TooMany));
        assert_eq!(bans.call(ENDED_KEPT * 9, &id("b1"), false, false), Ok(true), "no ban is ever forgotten");
    }

    #[test]
    fn ends_are_forgotten_in_time() {
        let mut bans = Bans::default();
        for number in 0..100 {
            let name = id(&format!("r{number}"));
            let at = number * ENDED_KEPT;
            bans.call(at, &name, true, true).unwrap();
            bans.call(at + 1, &name, false, true).unwrap();
        }
        assert!(bans.marks().len() <= 2);
    }

    #[test]
    fn two_processes_agree_whatever_the_order() {
        let (mut one, mut two) = (Bans::default(), Bans::default());
        one.call(10, &id("a"), true, true).unwrap();
        two.call(11, &id("b"), true, true).unwrap();
        assert_eq!(two.merge(12, one.marks()), [id("a")]);
        two.call(12, &id("a"), false, true).unwrap();
        // The other one's file is older than what is known here: it lifts and sets nothing.
        assert!(two.merge(13, &one.marks().clone()).is_empty());
        assert_eq!(one.merge(13, two.marks()), [id("a"), id("b")]);
        assert_eq!(one.marks(), two.marks());
        assert!(!one.is_banned("a") && one.is_banned("b"));
        // A call here after one over there is the newer one, even if this clock is behind.
        one.call(5, &id("b"), false, true).unwrap();
        assert_eq!(two.merge(14, one.marks()), [id("b")]);
    }
}
