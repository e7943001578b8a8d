//! The endpoints that operators have banned, by endpoint id. State only: no clock, no file, no socket.
//!
//! The latest record of an id counts, whichever process made it and whatever discovery reports meanwhile. What is
//! remembered of ids that have left the endpoint list is bounded; a ban is never forgotten to make room. The
//! [`BanList`] is owned by the endpoint table.

use crate::routing::api::Time;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;

/// How many ids that have left the list are remembered, the latest ones.
const MAX_REMOVED_IDS: usize = 4096;
/// How many bans may be in force at once.
const MAX_BANS: usize = 4096;
/// How long the end of a ban is remembered (microseconds): by then every process that serves has received it.
const BAN_END_RETENTION: Time = 60_000_000;

/// The latest change of an id's ban.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BanRecord {
    /// When it was made, in Unix microseconds.
    pub at: Time,
    /// The endpoint is banned; else its ban has ended.
    pub banned: bool,
}

/// Why a ban, or its end, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BanError {
    /// The id was never listed.
    #[error("no replica of this id was listed")]
    Unknown,
    /// As many bans are in force as may be.
    #[error("too many replicas are out of use")]
    TooMany,
}

/// The latest record of each id.
pub type BanRecords = BTreeMap<Arc<str>, BanRecord>;

/// The bans of a dispatcher.
#[derive(Default)]
pub struct BanList {
    records: BanRecords,
    /// When this process learned of the end of a ban, by its own clock.
    ban_ends: BTreeMap<Arc<str>, Time>,
    removed_ids: HashSet<Arc<str>>,
    removed_ids_by_age: VecDeque<Arc<str>>, // the same, oldest first
}

impl BanList {
    /// Remembers an id that has left the endpoint list, so that it stays known.
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

    /// Bans an id, or ends its ban. `is_listed`: the endpoint list has it now. Returns whether anything changes: the same
    /// call may be repeated.
    ///
    /// # Errors
    ///
    /// [`BanError`] where the id is not known or there are too many bans; nothing changes then.
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
        // A record is newer than the one that it replaces, also where another process's clock ran ahead.
        let at = self
            .records
            .get(id)
            .map_or(now, |previous| now.max(previous.at + 1));
        self.store(now, id, BanRecord { at, banned });
        Ok(true)
    }

    /// Merges the records of another process; the newest record of each id counts. Returns the ids whose ban changed.
    pub fn merge(&mut self, now: Time, others: &BanRecords) -> Vec<Arc<str>> {
        self.remove_expired(now);
        let mut changed_ids = Vec::new();
        for (id, record) in others {
            // Other processes' clocks may be off: the end of a ban that is in force here counts, whenever it was made.
            let is_old = record.at.saturating_add(BAN_END_RETENTION) < now;
            let is_stale = !record.banned && is_old && !self.is_banned(id);
            // At the same moment the ban counts: it can do no harm that the rules forbid.
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
            self.ban_ends.remove(id);
        } else {
            self.ban_ends.insert(id.clone(), now);
        }
        self.records.insert(id.clone(), record);
    }

    fn remove_expired(&mut self, now: Time) {
        self.ban_ends
            .retain(|_, ended_at| ended_at.saturating_add(BAN_END_RETENTION) >= now);
        self.records
            .retain(|id, record| record.banned || self.ban_ends.contains_key(id));
    }

    /// Whether an id is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.banned)
    }

    /// When this process learned of the end of an id's ban, while that is remembered: by this process's own clock, because
    /// that of the process that made the record may be off.
    pub fn ended_at(&self, id: &str) -> Option<Time> {
        self.ban_ends.get(id).copied()
    }

    /// The latest record of each id.
    pub fn records(&self) -> &BanRecords {
        &self.records
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/bans.rs"]
mod tests;
