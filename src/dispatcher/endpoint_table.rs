//! The endpoint table: the listed properties of each endpoint, its ban and its resulting status.
//!
//! The table does no I/O: it returns the addresses to block or unblock as commands. The core owns the table, and the table
//! owns the bans. The number by which the router knows an endpoint is never used for another one.

mod contacts;
mod update;

use self::contacts::Contacts;
use super::endpoint_target::EndpointTarget;
use super::messages::Command;
use super::report::Report;
use crate::dispatcher::bans::{BanError, BanList, BanRecords};
use crate::gossip;
use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use crate::variants::{is_enabled, Variant};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Maximum number of addresses that a release names. Any endpoint accepts a release, so a large fleet need not be listed for
/// each one.
const MAX_RELEASE_ADDRESSES: usize = 64;
/// Maximum number of endpoints that a release names because of their latest contact.
const MAX_RECENT_CONTACTS: usize = 32;

/// An endpoint in the table.
pub(super) struct Endpoint {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub role: Role,
    /// The status in force: a ban overrides the listed status.
    pub status: EndpointStatus,
    /// The properties that discovery lists, with `started_at` corrected to this process's clock.
    pub listed: EndpointRecord,
    /// When it started, as discovery lists it: not corrected to this process's clock.
    reported_start: Option<Time>,
    /// When its latest ban ended, by this process's clock; `None` if no ban of it has ended.
    ban_ended_at: Option<Time>,
    /// Its previous address, if it has moved.
    previous_address: Option<Arc<str>>,
}

impl Endpoint {
    /// Returns the record for the router. A banned endpoint counts as draining, and one whose ban has ended counts as started
    /// at that time.
    pub(super) fn effective_record(&self) -> EndpointRecord {
        EndpointRecord {
            status: self.status,
            started_at: self.listed.started_at.max(self.ban_ended_at),
            ..self.listed.clone()
        }
    }
}

/// The records that the core must pass on after a change of the table.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// Records for the router, of all endpoints in the list or of those whose ban has changed.
    pub router_records: Vec<EndpointRecord>,
    /// Endpoint ids and records for the trace recording: the endpoints of the list whose status or address has changed, and
    /// those whose ban has changed. Endpoints that a complete list lacks are not among them.
    pub trace_records: Vec<(Arc<str>, EndpointRecord)>,
}

/// The endpoint table. The router knows endpoints by their numbers; a number is used once.
#[derive(Default)]
pub(super) struct EndpointTable {
    numbers: HashMap<Arc<str>, EndpointId>,
    next_number: EndpointId,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    by_gossip_hash: HashMap<u32, BTreeSet<EndpointId>>,
    /// Addresses that are blocked by the commands returned so far.
    blocked_addresses: HashSet<Arc<str>>,
    has_received_list: bool,
    bans: BanList,
    has_ban_changes: bool,
    contacts: Contacts,
}

impl EndpointTable {
    pub(super) fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&endpoint)
    }

    /// Returns the endpoint at this address.
    pub(super) fn by_address(&self, address: &str) -> Option<EndpointId> {
        let mut endpoints = self.endpoints.iter();
        let (number, _) = endpoints.find(|(_, endpoint)| &*endpoint.address == address)?;
        Some(*number)
    }

    /// Returns the number of endpoints: those in the list, and removed ones with attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether any ready endpoint can prefill: one of any role but decode.
    pub(super) fn can_prefill(&self) -> bool {
        self.has_ready_endpoint_other_than(Role::Decode)
    }

    /// Returns whether any ready endpoint can decode: one of any role but prefill.
    pub(super) fn can_decode(&self) -> bool {
        self.has_ready_endpoint_other_than(Role::Prefill)
    }

    fn has_ready_endpoint_other_than(&self, role: Role) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.status == EndpointStatus::Ready && endpoint.role != role)
    }

    /// Returns the endpoint that other dispatchers know by this hash; `None` if there is none, or if several share the hash.
    pub(super) fn by_gossip_hash(&self, hash: u32) -> Option<EndpointId> {
        let endpoints = self.by_gossip_hash.get(&hash)?;
        if endpoints.len() == 1 {
            endpoints.first().copied()
        } else {
            None
        }
    }

    /// Returns the properties of an endpoint that the protocol rules depend on; `None` if it is not in the table.
    pub(super) fn target(&self, endpoint: EndpointId) -> Option<EndpointTarget> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(EndpointTarget {
            role: endpoint.role,
            zone: endpoint.listed.zone,
            cell: endpoint.listed.cell,
            status: endpoint.status,
        })
    }

    /// Records that an endpoint has responded, which shows that it is running. Releases are sent first to the endpoints with
    /// the latest contact. Has no effect for an endpoint that is not in the table.
    pub(super) fn record_contact(&mut self, now: Time, endpoint: EndpointId) {
        if self.endpoints.contains_key(&endpoint) {
            self.contacts.record(now, endpoint);
        }
    }

    /// Returns the addresses that a release may be sent to, best first. Endpoints with the latest contact come first, because
    /// they are the most likely to be running. Those where the request was attempted follow in the given order, and then other
    /// ready endpoints.
    pub(super) fn release_addresses(
        &self,
        attempted: impl Iterator<Item = EndpointId>,
    ) -> Vec<Arc<str>> {
        let preferred = self
            .contacts
            .latest_first()
            .take(MAX_RECENT_CONTACTS)
            .chain(attempted)
            .filter_map(|endpoint| self.endpoints.get(&endpoint));
        let ready = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.status == EndpointStatus::Ready);
        let mut seen = HashSet::new();
        let mut addresses = Vec::new();
        for endpoint in preferred.chain(ready) {
            if addresses.len() == MAX_RELEASE_ADDRESSES {
                break;
            }
            let is_removed = endpoint.status == EndpointStatus::Removed;
            if !is_removed && seen.insert(&endpoint.address) {
                addresses.push(endpoint.address.clone());
            }
        }
        addresses
    }

    /// Returns commands for the addresses that have become blocked or unblocked since the last call. An address is blocked if
    /// its endpoint is not ready or has moved away, unless a ready endpoint has the address now.
    pub(super) fn take_block_commands(&mut self) -> Vec<Command> {
        let mut blocked = HashSet::new();
        for endpoint in self.endpoints.values() {
            if endpoint.status != EndpointStatus::Ready {
                blocked.insert(endpoint.address.clone());
            }
            blocked.extend(endpoint.previous_address.clone());
        }
        for endpoint in self.endpoints.values() {
            if endpoint.status == EndpointStatus::Ready {
                blocked.remove(&endpoint.address);
            }
        }
        let previously_blocked = std::mem::replace(&mut self.blocked_addresses, blocked);
        let newly_blocked = sorted_difference(&self.blocked_addresses, &previously_blocked);
        let unblocked = sorted_difference(&previously_blocked, &self.blocked_addresses);
        let mut commands = Vec::new();
        for address in newly_blocked {
            commands.push(Command::BlockAddress {
                address,
                is_blocked: true,
            });
        }
        for address in unblocked {
            commands.push(Command::BlockAddress {
                address,
                is_blocked: false,
            });
        }
        commands
    }

    /// Forgets endpoints that have left the list and have no attempt in flight, and returns their numbers. New endpoints have
    /// new ids and addresses, so the table would grow without bound otherwise. The blocks of forgotten endpoints are lifted
    /// too, because nothing can be sent to an endpoint that is not in the table.
    pub(super) fn forget_removed(&mut self, in_use: &HashSet<EndpointId>) -> Vec<EndpointId> {
        let mut forgotten = Vec::new();
        for (number, endpoint) in &self.endpoints {
            if endpoint.status == EndpointStatus::Removed && !in_use.contains(number) {
                forgotten.push(*number);
            }
        }
        for number in &forgotten {
            self.forget(*number);
        }
        forgotten
    }

    fn forget(&mut self, number: EndpointId) {
        let Some(endpoint) = self.endpoints.remove(&number) else {
            return;
        };
        self.contacts.forget(number);
        self.numbers.remove(&endpoint.id);
        let hash = gossip::gossip_key(endpoint.listed.key);
        if let Some(endpoints) = self.by_gossip_hash.get_mut(&hash) {
            endpoints.remove(&number);
            if endpoints.is_empty() {
                self.by_gossip_hash.remove(&hash);
            }
        }
        self.bans.on_endpoint_removed(endpoint.id);
    }
}

/// Changes of bans.
impl EndpointTable {
    /// Bans an endpoint, or ends its ban. A repeated call changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`BanError`] if the id is not known or there are too many bans.
    pub(super) fn set_ban(
        &mut self,
        now: Time,
        id: Arc<str>,
        banned: bool,
        report: &Report,
    ) -> Result<EndpointChanges, BanError> {
        let is_listed = self.numbers.contains_key(&id);
        if !self.bans.set(now, &id, banned, is_listed)? {
            return Ok(EndpointChanges::default());
        }
        self.has_ban_changes = true;
        Ok(self.apply_bans(&[id], report))
    }

    /// Merges the ban records of another process of this dispatcher.
    pub(super) fn merge_bans(
        &mut self,
        now: Time,
        records: &BanRecords,
        report: &Report,
    ) -> EndpointChanges {
        let changed_ids = self.bans.merge(now, records);
        if !changed_ids.is_empty() {
            self.has_ban_changes = true;
        }
        self.apply_bans(&changed_ids, report)
    }

    /// Updates the endpoints whose ban has changed.
    fn apply_bans(&mut self, ids: &[Arc<str>], report: &Report) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        for id in ids {
            report.log_ban_changed(id, self.bans.is_banned(id));
            let Some(number) = self.numbers.get(id) else {
                continue;
            };
            let Some(endpoint) = self.endpoints.get_mut(number) else {
                continue;
            };
            endpoint.status = effective_status(&self.bans, id, endpoint.listed.status);
            endpoint.ban_ended_at = endpoint.ban_ended_at.max(self.bans.ended_at(id));
            let record = endpoint.effective_record();
            changes.trace_records.push((id.clone(), record.clone()));
            changes.router_records.push(record);
        }
        changes
    }

    /// Returns all ban records, if one has changed since the last call.
    pub(super) fn take_changed_bans(&mut self) -> Option<BanRecords> {
        if std::mem::take(&mut self.has_ban_changes) {
            Some(self.bans.records().clone())
        } else {
            None
        }
    }
}

/// Returns the status in force for an endpoint with this listed status.
fn effective_status(bans: &BanList, id: &str, listed: EndpointStatus) -> EndpointStatus {
    match listed {
        EndpointStatus::Draining if is_enabled(Variant::Drain) => EndpointStatus::Ready,
        EndpointStatus::Ready if bans.is_banned(id) => EndpointStatus::Draining,
        other => other,
    }
}

/// Returns the addresses of `set` that are not in `other`, sorted.
fn sorted_difference(set: &HashSet<Arc<str>>, other: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
    let mut addresses: Vec<Arc<str>> = set.difference(other).cloned().collect();
    addresses.sort();
    addresses
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/endpoint_table.rs"]
mod tests;
