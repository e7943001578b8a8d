//! What the core notes for a recording, in the recording's terms. It holds no file: whoever owns the core takes the notes.

use crate::config::{Deployment, NameTable};
use crate::routing::api::{
    AttemptStatus, EndpointId, EndpointRecord, EndpointStatus, RequestMetadata, Role, Time,
};
use quartzhall_recording::{DigestKind, Key, Record, RecordedOutcome, Table};
use std::collections::HashSet;
use std::sync::Arc;

/// The notes that nobody has taken yet.
pub struct TraceRecorder {
    key: Key,
    notes: Vec<Record>,
    nodes: HashSet<EndpointId>,
}

fn tokens(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX)) as u32
}

fn role(role: Role) -> quartzhall_recording::RecordedRole {
    match role {
        Role::Prefill => quartzhall_recording::RecordedRole::Prefill,
        Role::Decode => quartzhall_recording::RecordedRole::Decode,
        Role::Mixed => quartzhall_recording::RecordedRole::Mixed,
    }
}

fn status(status: AttemptStatus) -> quartzhall_recording::RecordedStatus {
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
    /// TraceRecorder of a dispatcher, from now on.
    pub fn new(key: Key, at: Time, dispatcher: &str, site: &Deployment) -> TraceRecorder {
        let start = Record::Start {
            at,
            dispatcher: dispatcher.into(),
            dispatchers: site.settings.dispatchers,
        };
        let mut notes = TraceRecorder {
            key,
            notes: vec![start],
            nodes: HashSet::new(),
        };
        notes.record_names(site);
        notes
    }

    /// The numbers of classes and tenants mean this from now on.
    pub fn record_names(&mut self, site: &Deployment) {
        for (table, names) in [
            (Table::Class, &site.classes),
            (Table::Tenant, &site.tenants),
        ] {
            let named = |(name, number): (&String, u32)| Record::Name {
                table,
                number,
                name: name.clone(),
            };
            self.notes.extend(NameTable::iter(names).map(named));
        }
    }

    /// A node is as told here.
    pub fn record_endpoint(&mut self, at: Time, name: &Arc<str>, entry: &EndpointRecord) {
        let node = entry.endpoint;
        if self.nodes.insert(node) {
            self.notes.push(Record::Name {
                table: Table::Node,
                number: node,
                name: name.to_string(),
            });
        }
        let ready = entry.status == EndpointStatus::Ready;
        let started = entry.started_at.unwrap_or(0);
        self.notes.push(Record::Node {
            at,
            node,
            role: role(entry.role),
            cell: entry.cell,
            ready,
            started,
        });
    }

    /// A node is gone; its number is not used again.
    pub fn forget_endpoint(&mut self, node: EndpointId) {
        self.nodes.remove(&node);
    }

    /// A request has come.
    pub fn record_arrival(&mut self, at: Time, ask: &RequestMetadata) {
        let digest =
            |sort, name: Option<u64>| name.map(|name| self.key.digest(sort, &name.to_le_bytes()));
        self.notes.push(Record::Arrival {
            at,
            request: ask.id,
            class: ask.class as u32,
            tenant: ask.tenant.map(|tenant| tenant as u32),
            session: digest(DigestKind::Session, ask.session),
            opening: digest(DigestKind::Opening, ask.prefix),
            prompt: tokens(ask.prompt_tokens),
            prefix: tokens(ask.prefix_tokens),
            most: tokens(ask.max_output_tokens),
            expires_in: ask.time_left,
        });
    }

    /// An attempt has been sent.
    pub fn record_attempt(&mut self, at: Time, request: u64, attempt: u32, node: EndpointId) {
        self.notes.push(Record::Sent {
            at,
            request,
            attempt,
            node,
        });
    }

    /// An attempt's first event has come.
    pub fn record_first_event(&mut self, at: Time, request: u64, attempt: u32) {
        self.notes.push(Record::First {
            at,
            request,
            attempt,
        });
    }

    /// An attempt has ended.
    pub fn record_attempt_end(
        &mut self,
        at: Time,
        request: u64,
        attempt: u32,
        how: AttemptStatus,
        kept: f64,
        written: f64,
    ) {
        // The file has no status of its own for a missing KV state: it is the one for overload, with 1 in place of cached tokens.
        let kept = match how {
            AttemptStatus::KvStateMissing => 1,
            _ => tokens(kept),
        };
        let (status, written) = (status(how), tokens(written));
        self.notes.push(Record::Ended {
            at,
            request,
            attempt,
            status,
            kept,
            written,
        });
    }

    /// A request is over.
    pub fn record_outcome(&mut self, at: Time, request: u64, answer: RecordedOutcome) {
        self.notes.push(Record::Final {
            at,
            request,
            answer,
        });
    }

    /// Takes what was noted.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.notes)
    }
}
