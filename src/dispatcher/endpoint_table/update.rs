//! Updates of the endpoint table from the lists that discovery reports.
//!
//! An update keeps an endpoint's number and the end of its last ban, and corrects the reported start time to this process's
//! clock. Endpoints that have left the list stay in the table as removed until no attempt uses them.

use super::{effective_status, Endpoint, EndpointChanges, EndpointTable};
use crate::dispatcher::messages::DiscoveredEndpoint;
use crate::dispatcher::report::Report;
use crate::gossip;
use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Time};
use std::collections::HashSet;
use std::sync::Arc;

/// Maximum time from the start of an endpoint to its report by discovery, as set by the protocol (microseconds).
const MAX_START_REPORT_DELAY: Time = 6_000_000;

impl EndpointTable {
    /// Applies a complete list: endpoints that are absent from it have been removed.
    pub(crate) fn replace_list(
        &mut self,
        now: Time,
        list: Vec<DiscoveredEndpoint>,
        report: &Report,
    ) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        let listed = self.update_all(now, list, &mut changes, report);
        for (number, endpoint) in &mut self.endpoints {
            if !listed.contains(number) {
                endpoint.listed.status = EndpointStatus::Removed;
                endpoint.status = EndpointStatus::Removed;
            }
        }
        changes
    }

    /// Applies a list of changed endpoints; all others stay as they are. Removed ones are listed with the status
    /// [`EndpointStatus::Removed`].
    pub(crate) fn update_list(
        &mut self,
        now: Time,
        changed: Vec<DiscoveredEndpoint>,
        report: &Report,
    ) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        self.update_all(now, changed, &mut changes, report);
        changes
    }

    /// Updates the endpoints of a list, and returns their numbers.
    fn update_all(
        &mut self,
        now: Time,
        list: Vec<DiscoveredEndpoint>,
        changes: &mut EndpointChanges,
        report: &Report,
    ) -> HashSet<EndpointId> {
        let mut listed = HashSet::new();
        for mut discovered in list {
            if discovered.is_partial && !self.complete_partial(&mut discovered) {
                continue;
            }
            listed.insert(self.update_endpoint(now, discovered, changes, report));
        }
        self.has_received_list = true;
        listed
    }

    /// Fills in an endpoint of which only the status could be read, with what was reported before. Returns false if it was not
    /// reported before.
    fn complete_partial(&self, discovered: &mut DiscoveredEndpoint) -> bool {
        let Some(number) = self.numbers.get(&discovered.id) else {
            return false;
        };
        let Some(endpoint) = self.endpoints.get(number) else {
            return false;
        };
        discovered.address = endpoint.address.clone();
        discovered.record = EndpointRecord {
            status: discovered.record.status,
            ..endpoint.listed.clone()
        };
        true
    }

    fn update_endpoint(
        &mut self,
        now: Time,
        discovered: DiscoveredEndpoint,
        changes: &mut EndpointChanges,
        report: &Report,
    ) -> EndpointId {
        let number = self.get_or_assign_number(&discovered.id);
        let previous = self.endpoints.remove(&number);
        let endpoint = self.merge_discovered(now, number, discovered, previous.as_ref());
        let previous_status = previous.as_ref().map(|previous| previous.status);
        let previous_address = previous.as_ref().map(|previous| &previous.address);
        let has_moved = previous_address.is_some_and(|previous| *previous != endpoint.address);
        if has_moved {
            report.log_endpoint_moved(number, &endpoint.address);
        }
        let record = endpoint.effective_record();
        if has_moved || previous_status != Some(endpoint.status) {
            report.log_endpoint_updated(&endpoint);
            changes
                .trace_records
                .push((endpoint.id.clone(), record.clone()));
        }
        self.by_gossip_hash
            .entry(gossip::gossip_key(record.key))
            .or_default()
            .insert(number);
        self.endpoints.insert(number, endpoint);
        changes.router_records.push(record);
        number
    }

    fn get_or_assign_number(&mut self, id: &Arc<str>) -> EndpointId {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(id.clone(), number);
        number
    }

    /// Returns the endpoint's new entry, from what discovery reports, its bans and its previous entry.
    fn merge_discovered(
        &self,
        now: Time,
        number: EndpointId,
        discovered: DiscoveredEndpoint,
        previous: Option<&Endpoint>,
    ) -> Endpoint {
        let DiscoveredEndpoint {
            id,
            address,
            mut record,
            is_partial,
        } = discovered;
        record.endpoint = number;
        let mut reported_start = record.started_at;
        if is_partial {
            // Only the status could be read, so the start time doesn't change.
            reported_start = previous.and_then(|previous| previous.reported_start);
        } else {
            record.started_at = self.clamp_reported_start(now, previous, record.started_at);
        }
        let known_ban_end = previous.and_then(|previous| previous.ban_ended_at);
        Endpoint {
            role: record.role,
            status: effective_status(&self.bans, &id, record.status),
            reported_start,
            ban_ended_at: known_ban_end.max(self.bans.ended_at(&id)),
            previous_address: previous_address(previous, &address),
            listed: record,
            id,
            address,
        }
    }

    /// Returns when an endpoint started, by this process's clock. Discovery reports Unix time, and the wall clock of either
    /// machine may have been stepped. A start that is new since the previous list happened at most
    /// [`MAX_START_REPORT_DELAY`] ago; in the first list, any start in the past is accepted.
    fn clamp_reported_start(
        &self,
        now: Time,
        previous: Option<&Endpoint>,
        reported: Option<Time>,
    ) -> Option<Time> {
        let reported = reported?;
        if let Some(previous) = previous {
            if previous.reported_start == Some(reported) {
                return previous.listed.started_at;
            }
        }
        let earliest = if self.has_received_list {
            now.saturating_sub(MAX_START_REPORT_DELAY)
        } else {
            0
        };
        Some(reported.clamp(earliest, now))
    }
}

/// Returns the address from which the endpoint last moved, now or earlier; `None` if it has not moved.
fn previous_address(previous: Option<&Endpoint>, address: &Arc<str>) -> Option<Arc<str>> {
    let previous = previous?;
    if previous.address == *address {
        previous.previous_address.clone()
    } else {
        Some(previous.address.clone())
    }
}
