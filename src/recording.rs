//! Conversion of the core's events to records of a recording file. [`TraceRecorder`] collects records in memory and
//! does no I/O: the task that owns the core takes the records and has them written.

use crate::config::{Deployment, NameTable};
use crate::routing::api::{
    AttemptStatus, EndpointId, EndpointRecord, EndpointStatus, RequestMetadata, Role, Time,
};
use quartzhall_recording::{DigestKind, Key, Record, RecordedOutcome, Table};
use std::collections::HashSet;
use std::sync::Arc;

/// Collects records until they are taken. All times are Unix time in microseconds.
pub struct TraceRecorder {
    key: Key,
    records: Vec<Record>,
    /// The endpoints whose names were recorded already.
    named_endpoints: HashSet<EndpointId>,
}

fn token_count(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn recorded_role(role: Role) -> quartzhall_recording::RecordedRole {
    match role {
        Role::Prefill => quartzhall_recording::RecordedRole::Prefill,
        Role::Decode => quartzhall_recording::RecordedRole::Decode,
        Role::Mixed => quartzhall_recording::RecordedRole::Mixed,
    }
}

fn recorded_status(status: AttemptStatus) -> quartzhall_recording::RecordedStatus {
    use quartzhall_recording::RecordedStatus;
    match status {
        AttemptStatus::Served => RecordedStatus::Served,
        AttemptStatus::PrefillDone => RecordedStatus::PrefillDone,
        AttemptStatus::Error => RecordedStatus::Error,
        AttemptStatus::Overloaded | AttemptStatus::KvStateMissing => RecordedStatus::Overloaded,
        AttemptStatus::Timeout => RecordedStatus::Timeout,
        AttemptStatus::ConnectFailed => RecordedStatus::ConnectFailed,
        AttemptStatus::Reset => RecordedStatus::Reset,
        AttemptStatus::StaleConnection => RecordedStatus::StaleConnection,
        AttemptStatus::Cancelled => RecordedStatus::Cancelled,
        AttemptStatus::NotSent => RecordedStatus::NotSent,
        AttemptStatus::InvalidRequest => RecordedStatus::InvalidRequest,
    }
}

impl TraceRecorder {
    /// Creates a recorder for a dispatcher, whose recording starts at `now`. Sessions and prefixes are recorded only as
    /// digests with the secret `key`.
    pub fn new(key: Key, now: Time, dispatcher: &str, deployment: &Deployment) -> TraceRecorder {
        let start = Record::Start {
            at: now,
            dispatcher: dispatcher.into(),
            dispatchers: deployment.settings.dispatchers,
        };
        let mut recorder = TraceRecorder {
            key,
            records: vec![start],
            named_endpoints: HashSet::new(),
        };
        recorder.record_names(deployment);
        recorder
    }

    /// Records the names of the class and tenant numbers in the records that follow. Called at the start and after each
    /// change of the settings.
    pub fn record_names(&mut self, deployment: &Deployment) {
        for (table, names) in [
            (Table::Class, &deployment.classes),
            (Table::Tenant, &deployment.tenants),
        ] {
            for (name, number) in NameTable::iter(names) {
                self.records.push(Record::Name {
                    table,
                    number,
                    name: name.clone(),
                });
            }
        }
    }

    /// Records an endpoint's status, and its name if it wasn't recorded before.
    pub fn record_endpoint(&mut self, now: Time, endpoint_id: &Arc<str>, record: &EndpointRecord) {
        let endpoint = record.endpoint;
        if self.named_endpoints.insert(endpoint) {
            self.records.push(Record::Name {
                table: Table::Endpoint,
                number: endpoint,
                name: endpoint_id.to_string(),
            });
        }
        self.records.push(Record::Endpoint {
            at: now,
            endpoint,
            role: recorded_role(record.role),
            cell: record.cell,
            ready: record.status == EndpointStatus::Ready,
            started: record.started_at.unwrap_or(0),
        });
    }

    /// Removes an endpoint that is no longer listed. Its number is not reused.
    pub fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.named_endpoints.remove(&endpoint);
    }

    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Time, metadata: &RequestMetadata) {
        let digest = |kind, hash: Option<u64>| {
            let hash = hash?;
            Some(self.key.digest(kind, &hash.to_le_bytes()))
        };
        self.records.push(Record::Arrival {
            at: now,
            request: metadata.id,
            class: metadata.class as u32,
            tenant: metadata.tenant.map(|tenant| tenant as u32),
            session: digest(DigestKind::Session, metadata.session),
            shared_prefix: digest(DigestKind::SharedPrefix, metadata.prefix),
            prompt_tokens: token_count(metadata.prompt_tokens),
            prefix_tokens: token_count(metadata.prefix_tokens),
            max_output_tokens: token_count(metadata.max_output_tokens),
            expires_in: metadata.time_left,
        });
    }

    /// Records the start of an attempt.
    pub fn record_attempt(&mut self, now: Time, request: u64, attempt: u32, endpoint: EndpointId) {
        self.records.push(Record::AttemptSent {
            at: now,
            request,
            attempt,
            endpoint,
        });
    }

    /// Records the first event of an attempt.
    pub fn record_first_event(&mut self, now: Time, request: u64, attempt: u32) {
        self.records.push(Record::FirstEvent {
            at: now,
            request,
            attempt,
        });
    }

    /// Records the end of an attempt.
    pub fn record_attempt_end(
        &mut self,
        now: Time,
        request: u64,
        attempt: u32,
        status: AttemptStatus,
        cached_tokens: f64,
        completion_tokens: f64,
    ) {
        // The file format has no status for a missing KV cache. It is recorded as overloaded with 1 cached token.
        let cached_tokens = match status {
            AttemptStatus::KvStateMissing => 1,
            _ => token_count(cached_tokens),
        };
        self.records.push(Record::AttemptEnded {
            at: now,
            request,
            attempt,
            status: recorded_status(status),
            cached_tokens,
            completion_tokens: token_count(completion_tokens),
        });
    }

    /// Records a request's outcome.
    pub fn record_outcome(&mut self, now: Time, request: u64, outcome: RecordedOutcome) {
        self.records.push(Record::RequestEnded {
            at: now,
            request,
            outcome,
        });
    }

    /// Returns the records that were collected since the last call.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }
}

#[cfg(test)]
#[path = "../tests/unit/recording.rs"]
mod tests;
