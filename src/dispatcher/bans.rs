//! The endpoints that operators have banned, by endpoint id. The module does no I/O and reads no clock.
//!
//! The latest record of an id counts, whichever process made it and whatever discovery reports in the meantime. The number of
//! remembered ids that have left the endpoint list is bounded, but a ban in force is never dropped to make room. The endpoint
//! table owns the [`BanList`].

use crate::routing::api::Time;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// Maximum number of remembered ids that have left the endpoint list; the oldest are dropped first.
const MAX_REMOVED_IDS: usize = 4096;
/// Maximum number of bans in force; a command to ban one more endpoint is rejected.
const MAX_BANS: usize = 4096;
/// How long the end of a ban is remembered (microseconds). By then every serving process has received it.
const BAN_END_RETENTION: Time = 60_000_000;

/// The latest change of the ban of an endpoint id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BanRecord {
    /// When the change was made, in Unix microseconds, by the clock of the process that made it. If that clock is behind the
    /// record that was replaced, the time is just after that record's.
    pub at: Time,
    /// True if the endpoint is banned, false if its ban has ended.
    pub banned: bool,
}

/// Why a command to ban an endpoint, or to end its ban, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// The id is not in the endpoint list, and is not remembered either.
    #[error("no replica of this id was listed")]
    Unknown,
    /// The maximum number of bans is in force.
    #[error("too many replicas are out of use")]
    TooMany,
}

/// The latest record of each id.
pub type BanRecords = BTreeMap<Arc<str>, BanRecord>;

/// The bans of a dispatcher.
#[derive(Default)]
pub struct BanList {
    records: BanRecords,
    /// When this process learned of the end of each remembered ban, by its own clock.
    ban_end_times: BTreeMap<Arc<str>, Time>,
    /// Ids that have left the endpoint list, even if they were listed again since.
    removed_ids: HashSet<Arc<str>>,
    /// The same ids, oldest first.
    removed_ids_by_age: VecDeque<Arc<str>>,
}

impl BanList {
    /// Remembers an id that has left the endpoint list, so that its ban can still be changed.
    pub fn on_endpoint_removed(&mut self, id: Arc<str>) {
        if self.removed_ids.insert(id.clone()) {
            self.removed_ids_by_age.push_back(id);
        }
        if self.removed_ids_by_age.len() > MAX_REMOVED_IDS {
            if let Some(oldest) = self.removed_ids_by_age.pop_front() {
                self.removed_ids.remove(&oldest);
            }
        }
    }

    /// Bans an id, or ends its ban. `is_listed` tells whether the endpoint list contains the id now. Returns whether anything
    /// has changed; a repeated call changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`BanError`] if the id is not known or there are too many bans. Nothing changes then.
    pub fn set(
        &mut self,
        now: Time,
        id: &Arc<str>,
        banned: bool,
        is_listed: bool,
    ) -> Result<bool, BanError> {
        self.remove_expired(now);
        let is_known = is_listed || self.removed_ids.contains(id) || self.records.contains_key(id);
        if !is_known {
            return Err(BanError::Unknown);
        }
        if self.is_banned(id) == banned {
            return Ok(false);
        }
        let bans = self.records.values().filter(|record| record.banned);
        if banned && bans.count() >= MAX_BANS {
            return Err(BanError::TooMany);
        }
        // A record is newer than the one that it replaces, even if that one was made by a process whose clock is ahead.
        let at = self
            .records
            .get(id)
            .map_or(now, |previous| now.max(previous.at + 1));
        self.store(now, id, BanRecord { at, banned });
        Ok(true)
    }

    /// Merges the records of another process. The newest record of each id counts. Returns the ids that are banned now and
    /// were not before, or the other way round.
    pub fn merge(&mut self, now: Time, others: &BanRecords) -> Vec<Arc<str>> {
        self.remove_expired(now);
        let mut changed_ids = Vec::new();
        for (id, record) in others {
            // Clocks of other processes may be wrong: the end of a ban that is in force here is accepted whatever its age.
            let is_old = record.at.saturating_add(BAN_END_RETENTION) < now;
            let is_stale = !record.banned && is_old && !self.is_banned(id);
            // Of two records with the same time, the ban counts (true > false): it can't cause a violation of the rules.
            if is_stale || self.records.get(id).is_some_and(|own| own >= record) {
                continue;
            }
            if self.is_banned(id) != record.banned {
                changed_ids.push(id.clone());
            }
            self.store(now, id, *record);
        }
        changed_ids
    }

    fn store(&mut self, now: Time, id: &Arc<str>, record: BanRecord) {
        if record.banned {
            self.ban_end_times.remove(id);
        } else {
            self.ban_end_times.insert(id.clone(), now);
        }
        self.records.insert(id.clone(), record);
    }

    fn remove_expired(&mut self, now: Time) {
        self.ban_end_times
            .retain(|_, ended_at| ended_at.saturating_add(BAN_END_RETENTION) >= now);
        self.records
            .retain(|id, record| record.banned || self.ban_end_times.contains_key(id));
    }

    /// Returns whether an id is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.banned)
    }

    /// Returns when this process learned of the end of an id's ban, while that is remembered. The time is by this process's
    /// clock, because the clock of the process that made the record may be wrong.
    pub fn ended_at(&self, id: &str) -> Option<Time> {
        self.ban_end_times.get(id).copied()
    }

    /// Returns the latest record of each id.
    pub fn records(&self) -> &BanRecords {
        &self.records
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/bans.rs"]
mod tests;
