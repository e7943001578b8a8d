//! The endpoint table: what the list reports of each endpoint, what operators have banned, and the status that results. It
//! does no I/O: what follows for connections is returned as commands. The core owns the table; the table owns the bans.

mod contacts;
mod update;

use self::contacts::Contacts;
use super::endpoint_target::EndpointTarget;
use super::messages::Command;
use super::report::Report;
use crate::dispatcher::bans::{BanError, BanList, BanRecords};
use crate::gossip;
use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use crate::variants::{breaks, Variant};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// How many addresses a release names at most: any endpoint accepts it, and a large fleet is not to be listed for each.
const MAX_RELEASE_ADDRESSES: usize = 64;
/// How many of these are the endpoints with the latest contact.
const MAX_RECENT_CONTACTS: usize = 32;

/// An endpoint of the table.
pub(super) struct Endpoint {
    pub id: Arc<str>,
    pub address: Arc<str>,
    pub role: Role,
    /// The status in force: bans come before the list.
    pub status: EndpointStatus,
    /// What the list reports.
    pub listed: EndpointRecord,
    /// When it started, as the list reports it: not corrected for the clocks of others.
    listed_start: Option<Time>,
    /// When its latest ban ended.
    ban_ended_at: Option<Time>,
    /// Its address before it moved.
    previous_address: Option<Arc<str>>,
}

impl Endpoint {
    /// What the router receives: an endpoint that is banned is draining, and one whose ban has ended started then.
    pub(super) fn effective_record(&self) -> EndpointRecord {
        EndpointRecord {
            status: self.status,
            started_at: self.listed.started_at.max(self.ban_ended_at),
            ..self.listed.clone()
        }
    }
}

/// What a change of the table means for others.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// For the router.
    pub router_records: Vec<EndpointRecord>,
    /// For the recording, with their ids: endpoints whose status or address has changed.
    pub trace_records: Vec<(Arc<str>, EndpointRecord)>,
}

/// The table. Numbers name endpoints to the router; a number is used once.
#[derive(Default)]
pub(super) struct EndpointTable {
    numbers: HashMap<Arc<str>, EndpointId>,
    next_number: EndpointId,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    by_gossip_hash: HashMap<u32, BTreeSet<EndpointId>>,
    /// Addresses that are blocked by the commands given so far.
    blocked_addresses: HashSet<Arc<str>>,
    has_list: bool,
    bans: BanList,
    has_ban_changes: bool,
    contacts: Contacts,
}

impl EndpointTable {
    pub(super) fn get(&self, endpoint: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&endpoint)
    }

    /// The endpoint at this address.
    pub(super) fn by_address(&self, address: &str) -> Option<EndpointId> {
        let mut endpoints = self.endpoints.iter();
        let (number, _) = endpoints.find(|(_, endpoint)| &*endpoint.address == address)?;
        Some(*number)
    }

    /// How many endpoints there are: those of the list, and removed ones with attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Whether an endpoint is ready that can process the prompt, alone or with others.
    pub(super) fn can_prefill(&self) -> bool {
        self.is_any_ready_besides(Role::Decode)
    }

    /// Whether an endpoint is ready that can generate the response, alone or with others.
    pub(super) fn can_decode(&self) -> bool {
        self.is_any_ready_besides(Role::Prefill)
    }

    fn is_any_ready_besides(&self, role: Role) -> bool {
        self.endpoints
            .values()
            .any(|endpoint| endpoint.status == EndpointStatus::Ready && endpoint.role != role)
    }

    /// The one endpoint that other dispatchers know by this hash; none where two share it.
    pub(super) fn by_gossip_hash(&self, hash: u32) -> Option<EndpointId> {
        let endpoints = self.by_gossip_hash.get(&hash)?;
        if endpoints.len() == 1 {
            endpoints.first().copied()
        } else {
            None
        }
    }

    /// What the rules depend on; `None` where the endpoint is not known.
    pub(super) fn target(&self, endpoint: EndpointId) -> Option<EndpointTarget> {
        let endpoint = self.endpoints.get(&endpoint)?;
        Some(EndpointTarget {
            role: endpoint.role,
            zone: endpoint.listed.zone,
            cell: endpoint.listed.cell,
            status: endpoint.status,
        })
    }

    /// Records that an endpoint has responded: it is running.
    pub(super) fn record_contact(&mut self, now: Time, endpoint: EndpointId) {
        if self.endpoints.contains_key(&endpoint) {
            self.contacts.record(now, endpoint);
        }
    }

    /// Addresses that may be told to release what is reserved for a request: the endpoints with the latest contact first,
    /// which are the most likely to run; then those where the request was attempted, in that order; then some others.
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

    /// Commands for what has changed for connections: nothing new goes to the address of an endpoint that is not ready,
    /// nor to one that an endpoint has left, unless a ready endpoint has that address now.
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

    /// Removes endpoints that have left the list and have no attempt in flight: ids and addresses are ever new, and the
    /// table must not grow with them. Their blocks go too, because nothing can be sent to an endpoint that is not in the
    /// table.
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
        let hash = gossip::endpoint_hash(endpoint.listed.key);
        if let Some(endpoints) = self.by_gossip_hash.get_mut(&hash) {
            endpoints.remove(&number);
            if endpoints.is_empty() {
                self.by_gossip_hash.remove(&hash);
            }
        }
        self.bans.on_endpoint_removed(endpoint.id);
    }
}

/// Bans.
impl EndpointTable {
    /// Bans an endpoint, or ends its ban. Nothing changes where that is in force already.
    ///
    /// # Errors
    ///
    /// [`BanError`] where the id is not known or there are too many bans.
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

    /// Updates the endpoints of ids whose ban has changed.
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

    /// All ban records, if one has changed since the last call.
    pub(super) fn take_changed_bans(&mut self) -> Option<BanRecords> {
        if std::mem::take(&mut self.has_ban_changes) {
            Some(self.bans.records().clone())
        } else {
            None
        }
    }
}

/// The status in force, by what the list reports.
fn effective_status(bans: &BanList, id: &str, listed: EndpointStatus) -> EndpointStatus {
    match listed {
        EndpointStatus::Draining if breaks(Variant::Drain) => EndpointStatus::Ready,
        EndpointStatus::Ready if bans.is_banned(id) => EndpointStatus::Draining,
        other => other,
    }
}

/// Addresses of `set` that are not in `other`, sorted.
fn sorted_difference(set: &HashSet<Arc<str>>, other: &HashSet<Arc<str>>) -> Vec<Arc<str>> {
    let mut addresses: Vec<Arc<str>> = set.difference(other).cloned().collect();
    addresses.sort();
    addresses
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/endpoint_table.rs"]
mod tests;
