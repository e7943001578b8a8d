//! Replicas that operators have taken out of use, by id. State only: no clock, no file, no socket.
//!
//! What was said last of an id counts, whoever said it and whatever discovery tells meanwhile. What is said here of
//! ids that are listed no more is bounded; a ban is never forgotten to make room.

use crate::routing::api::Time;
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
pub struct BanRecord {
    /// When, in Unix microseconds.
    pub at: Time,
    /// It is out of use; else its ban has ended.
    pub banned: bool,
}

/// Why a call was turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// The id was never listed.
    Unknown,
    /// As many replicas are out of use as may be.
    TooMany,
}

/// All marks.
pub type BanRecords = BTreeMap<Arc<str>, BanRecord>;

/// The bans of a dispatcher.
#[derive(Default)]
pub struct BanList {
    marks: BanRecords,
    ended_at: BTreeMap<Arc<str>, Time>, // when the ends among them were heard of here, by this process's own clock
    left: VecDeque<Arc<str>>,
    left_set: HashSet<Arc<str>>,
}

impl BanList {
    /// An id has left the list; it stays known.
    pub fn on_endpoint_removed(&mut self, id: Arc<str>) {
        if self.left_set.insert(id.clone()) {
            self.left.push_back(id);
        }
        if self.left.len() > MOST_LEFT {
            self.left
                .pop_front()
                .map(|oldest| self.left_set.remove(&oldest));
        }
    }

    /// Takes an id out of use, or back. `listed`: the list has it now. Tells whether anything changes: calls may
    /// come more than once.
    pub fn set(
        &mut self,
        now: Time,
        id: &Arc<str>,
        banned: bool,
        listed: bool,
    ) -> Result<bool, BanError> {
        self.forget_ended(now);
        let known = listed || self.left_set.contains(id) || self.marks.contains_key(id);
        if !known {
            return Err(BanError::Unknown);
        }
        if self.is_banned(id) == banned {
            return Ok(false);
        }
        if banned && self.marks.values().filter(|mark| mark.banned).count() >= MOST_BANS {
            return Err(BanError::TooMany);
        }
        // A word is newer than the one that it replaces, also where another process's clock ran ahead.
        let at = self.marks.get(id).map_or(now, |old| now.max(old.at + 1));
        self.store(now, id, BanRecord { at, banned });
        Ok(true)
    }

    /// Takes in what another process knows; the newest word on each id counts. Tells the ids whose state changed.
    pub fn merge(&mut self, now: Time, others: &BanRecords) -> Vec<Arc<str>> {
        self.forget_ended(now);
        let mut changed = Vec::new();
        for (id, mark) in others {
            // Other processes' clocks may be off: the end of a ban that holds here is news, whenever it was said.
            let is_old = mark.at.saturating_add(ENDED_KEPT) < now;
            let stale = !mark.banned && is_old && !self.is_banned(id);
            // At the same moment the ban counts: it can do no harm that the rules forbid.
            if stale || self.marks.get(id).is_some_and(|own| own >= mark) {
                continue;
            }
            if self.is_banned(id) != mark.banned {
                changed.push(id.clone());
            }
            self.store(now, id, *mark);
        }
        changed
    }

    fn store(&mut self, now: Time, id: &Arc<str>, mark: BanRecord) {
        match mark.banned {
            true => drop(self.ended_at.remove(id)),
            false => drop(self.ended_at.insert(id.clone(), now)),
        }
        self.marks.insert(id.clone(), mark);
    }

    fn forget_ended(&mut self, now: Time) {
        self.ended_at
            .retain(|_, at| at.saturating_add(ENDED_KEPT) >= now);
        self.marks
            .retain(|id, mark| mark.banned || self.ended_at.contains_key(id));
    }

    /// Whether an id is out of use.
    pub fn is_banned(&self, id: &str) -> bool {
        self.marks.get(id).is_some_and(|mark| mark.banned)
    }

    /// When the end of an id's ban was heard of here, where that is remembered: by this process's own clock, for that of who
    /// said it may be off.
    pub fn ended_at(&self, id: &str) -> Option<Time> {
        self.ended_at.get(id).copied()
    }

    /// What was said of each id.
    pub fn records(&self) -> &BanRecords {
        &self.marks
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/bans.rs"]
mod tests;
