//! Updates of the endpoint table from the list that discovery reports.

use super::{effective_status, Endpoint, EndpointChanges, EndpointTable};
use crate::dispatcher::messages::DiscoveredEndpoint;
use crate::dispatcher::report::Report;
use crate::gossip;
use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Time};
use std::collections::HashSet;
use std::sync::Arc;

/// How long the report of a start takes at most, by the protocol (microseconds).
const MAX_START_REPORT_DELAY: Time = 6_000_000;

impl EndpointTable {
    /// Applies a complete list: endpoints that are absent have been removed.
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

    /// Applies what has changed in the list.
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
        self.has_list = true;
        listed
    }

    /// Fills in an endpoint of which only the status could be read, as it was reported before; false where it was not.
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
        let number = self.number_of(&discovered.id);
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
            .entry(gossip::endpoint_hash(record.key))
            .or_default()
            .insert(number);
        self.endpoints.insert(number, endpoint);
        changes.router_records.push(record);
        number
    }

    fn number_of(&mut self, id: &Arc<str>) -> EndpointId {
        if let Some(number) = self.numbers.get(id) {
            return *number;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(id.clone(), number);
        number
    }

    /// The endpoint as it is now, by what was discovered, by its bans and by what was known before.
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
        let mut listed_start = record.started_at;
        if is_partial {
            // Only the status could be read: the start is as it was.
            listed_start = previous.and_then(|previous| previous.listed_start);
        } else {
            record.started_at = self.bound_start(now, previous, record.started_at);
        }
        let known_ban_end = previous.and_then(|previous| previous.ban_ended_at);
        Endpoint {
            role: record.role,
            status: effective_status(&self.bans, &id, record.status),
            listed_start,
            ban_ended_at: known_ban_end.max(self.bans.ended_at(&id)),
            previous_address: previous_address(previous, &address),
            listed: record,
            id,
            address,
        }
    }

    /// When an endpoint started, by this process's clock: the list reports Unix time, and a wall clock may have been stepped,
    /// there or here. A start that a list reports for an endpoint that had another one before, or none, happened at most as
    /// long ago as its report may take.
    fn bound_start(
        &self,
        now: Time,
        previous: Option<&Endpoint>,
        reported: Option<Time>,
    ) -> Option<Time> {
        let reported = reported?;
        if let Some(previous) = previous {
            if previous.listed_start == Some(reported) {
                return previous.listed.started_at;
            }
        }
        let earliest = if self.has_list {
            now.saturating_sub(MAX_START_REPORT_DELAY)
        } else {
            0
        };
        Some(reported.clamp(earliest, now))
    }
}

/// Where an endpoint was before it moved, also where that was an earlier move.
fn previous_address(previous: Option<&Endpoint>, address: &Arc<str>) -> Option<Arc<str>> {
    let previous = previous?;
    if previous.address == *address {
        previous.previous_address.clone()
    } else {
        Some(previous.address.clone())
    }
}
