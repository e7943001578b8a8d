//! The handlers for the endpoint list, bans and probes.
//!
//! Changes of the list or of the bans go to the trace recording, to the backend (as address blocks) and to the router (as
//! endpoint records).

use super::Core;
use crate::dispatcher::bans::{BanError, BanRecords};
use crate::dispatcher::endpoint_table::EndpointChanges;
use crate::dispatcher::messages::{Command, DiscoveredEndpoint};
use crate::routing::api::{self, EndpointId, EndpointRecord, LoadReport, Time};
use std::sync::Arc;
use tokio::sync::oneshot;

impl Core {
    /// Applies a complete endpoint list (`is_full`), or only the endpoints that have changed. Then forgets removed endpoints
    /// without attempts in flight, and passes the changes on.
    pub(super) fn update_endpoints(
        &mut self,
        now: Time,
        is_full: bool,
        list: Vec<DiscoveredEndpoint>,
    ) {
        let changes = if is_full {
            self.endpoints.replace_list(now, list, &self.report)
        } else {
            self.endpoints.update_list(now, list, &self.report)
        };
        self.record_endpoints(now, &changes.trace_records);
        let in_use = self.requests.endpoints_in_use();
        for endpoint in self.endpoints.forget_removed(&in_use) {
            if let Some(gossip) = &mut self.gossip {
                gossip.retain(|known| known != endpoint);
            }
            if let Some(recorder) = &mut self.recorder {
                recorder.forget_endpoint(endpoint);
            }
        }
        self.commands.extend(self.endpoints.take_block_commands());
        self.drive_router(
            now,
            api::Event::EndpointsChanged {
                is_full,
                endpoints: changes.router_records,
            },
        );
    }

    pub(super) fn on_ban_requested(
        &mut self,
        now: Time,
        endpoint_id: Arc<str>,
        banned: bool,
        reply: oneshot::Sender<Result<(), BanError>>,
    ) {
        let result = match self
            .endpoints
            .set_ban(now, endpoint_id, banned, &self.report)
        {
            Ok(changes) => {
                self.apply_bans(now, changes);
                Ok(())
            }
            Err(error) => Err(error),
        };
        let _ = reply.send(result);
    }

    pub(super) fn on_ban_records_received(&mut self, now: Time, records: &BanRecords) {
        let changes = self.endpoints.merge_bans(now, records, &self.report);
        self.apply_bans(now, changes);
    }

    /// Passes changed bans to the trace recording, to the backend as address blocks, and to the router.
    fn apply_bans(&mut self, now: Time, changes: EndpointChanges) {
        self.record_endpoints(now, &changes.trace_records);
        self.commands.extend(self.endpoints.take_block_commands());
        if !changes.router_records.is_empty() {
            self.drive_router(
                now,
                api::Event::EndpointsChanged {
                    is_full: false,
                    endpoints: changes.router_records,
                },
            );
        }
    }

    fn record_endpoints(&mut self, now: Time, endpoints: &[(Arc<str>, EndpointRecord)]) {
        let Some(recorder) = &mut self.recorder else {
            return;
        };
        for (endpoint_id, record) in endpoints {
            recorder.record_endpoint(now, endpoint_id, record);
        }
    }

    /// Takes all ban records if one has changed since the last call.
    pub fn take_changed_bans(&mut self) -> Option<BanRecords> {
        self.endpoints.take_changed_bans()
    }

    pub(super) fn probe_endpoint(&mut self, endpoint: EndpointId) {
        let Some(listed) = self.endpoints.get(endpoint) else {
            self.report.log_unknown_probe(endpoint);
            return;
        };
        let address = listed.address.clone();
        self.commands.push(Command::Probe { endpoint, address });
    }

    pub(super) fn on_probe_completed(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        is_healthy: bool,
        load: Option<LoadReport>,
    ) {
        if is_healthy {
            self.endpoints.record_contact(now, endpoint);
        }
        if let Some(load) = &load {
            self.share_load(now, endpoint, load);
        }
        self.drive_router(
            now,
            api::Event::ProbeCompleted {
                endpoint,
                is_healthy,
                load,
            },
        );
    }
}
