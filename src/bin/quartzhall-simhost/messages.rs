//! The messages of the simulator's wire: its names beside the field's terms, parsing, and the text of
//! replies.

use crate::error::HostError;
use miniserde::{json, Deserialize};
use quartzhall::config::{millis_to_micros, SettingsObject};
use quartzhall::routing::api::*;

/// One line of input, with the fields of all message types. [`Message::kind`] tells the type.
#[derive(Deserialize)]
pub(crate) struct Message {
    #[serde(rename = "type")]
    kind: String,
    who: Option<String>,
    /// Milliseconds.
    #[serde(rename = "t")]
    pub time_ms: Option<f64>,
    #[serde(rename = "n")]
    pub batch: Option<u64>,
    #[serde(rename = "init_seed")]
    pub seed: Option<u64>,
    #[serde(rename = "profile_data")]
    pub settings: Option<SettingsObject>,
    pub sheet: Option<u32>,
    #[serde(rename = "lines")]
    pub endpoints: Option<Vec<EndpointLine>>,
    pub form: Option<u32>,
    #[serde(rename = "rid")]
    request: Option<u64>,
    #[serde(rename = "kind")]
    pub class: Option<String>,
    #[serde(rename = "user_group")]
    pub tenant: Option<json::Value>,
    pub session: Option<String>,
    #[serde(rename = "expires_in")]
    pub time_left_ms: Option<f64>,
    #[serde(rename = "system_prompt")]
    pub prefix: Option<String>,
    #[serde(rename = "prompt_len")]
    pub prompt_tokens: Option<f64>,
    #[serde(rename = "prefix_len")]
    pub prefix_tokens: Option<f64>,
    #[serde(rename = "max_out")]
    pub max_output_tokens: Option<f64>,
    #[serde(rename = "cost")]
    pub output_time_hint_ms: Option<f64>,
    #[serde(rename = "trial")]
    attempt: Option<u32>,
    #[serde(rename = "worker")]
    endpoint: Option<String>,
    status: Option<String>,
    #[serde(rename = "final")]
    pub request_closed: Option<bool>,
    /// With the end of an attempt: cached prompt tokens; over 0 with an overload, the KV cache was missing.
    #[serde(rename = "remark")]
    pub cached_tokens: Option<f64>,
    metrics: Option<Metrics>,
}

/// One line of a list of endpoints.
#[derive(Clone, Deserialize)]
pub(crate) struct EndpointLine {
    /// Milliseconds; absent or 0: long ago.
    #[serde(rename = "born")]
    started_at_ms: Option<f64>,
    pub zone: Option<String>,
    #[serde(rename = "pack")]
    pub cell: Option<u32>,
    #[serde(rename = "sku")]
    pub machine_type: Option<String>,
    readiness: u32,
    #[serde(rename = "worker")]
    pub name: String,
}

/// A load report.
#[derive(Deserialize)]
struct Metrics {
    #[serde(rename = "inflight")]
    in_flight: Option<f64>,
    #[serde(rename = "queue")]
    queued: Option<f64>,
    #[serde(rename = "x0")]
    kv_memory_share: Option<f64>,
    #[serde(rename = "x1")]
    pending_prefill_kilotokens: Option<f64>,
}

/// The type of a message.
#[derive(Clone, Copy)]
pub(crate) enum MessageKind {
    BatchStart,
    BatchEnd,
    EndpointSheet,
    InstanceStart,
    InstanceStop,
    /// A message between instances, which share nothing here.
    Ignored,
    EndpointList,
    Request,
    FirstEvent,
    AttemptEnd,
    ClientDisconnect,
    Timer,
    ProbeEnd,
}

/// Takes a field that the message's type needs; `name` is its name on the wire.
pub(crate) fn required<T>(value: Option<T>, name: &'static str) -> Result<T, HostError> {
    value.ok_or(HostError::MissingField(name))
}

/// Parses a hexadecimal key, where there is one.
pub(crate) fn parse_key(text: Option<&str>, field: &'static str) -> Result<Option<u64>, HostError> {
    let Some(text) = text else {
        return Ok(None);
    };
    match u64::from_str_radix(text, 16) {
        Ok(key) => Ok(Some(key)),
        Err(source) => Err(HostError::InvalidKey {
            field,
            text: text.to_owned(),
            source,
        }),
    }
}

impl Message {
    pub(crate) fn parse(text: &str) -> Result<Message, HostError> {
        json::from_str(text).map_err(|_| HostError::Malformed)
    }

    pub(crate) fn kind(&self) -> Result<MessageKind, HostError> {
        Ok(match self.kind.as_str() {
            "frame" => MessageKind::BatchStart,
            "commit" => MessageKind::BatchEnd,
            "catalog" => MessageKind::EndpointSheet,
            "born" => MessageKind::InstanceStart,
            "power_off" => MessageKind::InstanceStop,
            "from_peer" | "place_note" => MessageKind::Ignored,
            "view" => MessageKind::EndpointList,
            "request" => MessageKind::Request,
            "ack_first" => MessageKind::FirstEvent,
            "answer" => MessageKind::AttemptEnd,
            "cancelled_by_client" => MessageKind::ClientDisconnect,
            "tick_due" => MessageKind::Timer,
            "probe_result" => MessageKind::ProbeEnd,
            other => return Err(HostError::UnknownType(other.to_owned())),
        })
    }

    /// The name of the instance that the message is for.
    pub(crate) fn instance(&self) -> Result<&str, HostError> {
        required(self.who.as_deref(), "who")
    }

    pub(crate) fn request(&self) -> Result<RequestId, HostError> {
        required(self.request, "rid")
    }

    pub(crate) fn attempt(&self) -> Result<u32, HostError> {
        required(self.attempt, "trial")
    }

    /// The name of the endpoint that the message is about.
    pub(crate) fn endpoint(&self) -> Result<&str, HostError> {
        required(self.endpoint.as_deref(), "worker")
    }

    /// How an attempt ended.
    pub(crate) fn attempt_status(&self) -> Result<AttemptStatus, HostError> {
        let status = self.plain_status()?;
        let is_kv_missing = self.cached_tokens.unwrap_or(0.0) > 0.0;
        if status == AttemptStatus::Overloaded && is_kv_missing {
            return Ok(AttemptStatus::KvStateMissing);
        }
        Ok(status)
    }

    /// Whether a probe was answered.
    pub(crate) fn is_probe_healthy(&self) -> Result<bool, HostError> {
        Ok(self.plain_status()? == AttemptStatus::Served)
    }

    fn plain_status(&self) -> Result<AttemptStatus, HostError> {
        Ok(match required(self.status.as_deref(), "status")? {
            "OK" => AttemptStatus::Served,
            "handover" => AttemptStatus::PrefillDone,
            "INTERNAL" => AttemptStatus::Error,
            "RESOURCE_EXHAUSTED" => AttemptStatus::Overloaded,
            "DEADLINE_EXCEEDED" => AttemptStatus::Timeout,
            "UNAVAILABLE" => AttemptStatus::ConnectFailed,
            "ABORTED" => AttemptStatus::Reset,
            "CANCELLED" => AttemptStatus::Cancelled,
            "TOO_LATE" => AttemptStatus::NotSent,
            other => return Err(HostError::UnknownStatus(other.to_owned())),
        })
    }

    pub(crate) fn load(&self) -> Option<LoadReport> {
        self.metrics.as_ref().map(|metrics| LoadReport {
            in_flight: metrics.in_flight,
            queued: metrics.queued,
            kv_memory_share: metrics.kv_memory_share,
            pending_prefill_kilotokens: metrics.pending_prefill_kilotokens,
        })
    }
}

impl EndpointLine {
    pub(crate) fn status(&self) -> Result<EndpointStatus, HostError> {
        match self.readiness {
            0 => Ok(EndpointStatus::Ready),
            1 => Ok(EndpointStatus::Draining),
            2 => Ok(EndpointStatus::Removed),
            other => Err(HostError::UnknownReadiness(other)),
        }
    }

    pub(crate) fn started_at(&self) -> Option<Time> {
        self.started_at_ms
            .filter(|started_at| *started_at != 0.0)
            .map(millis_to_micros)
    }
}

fn to_millis(time: Time) -> f64 {
    time as f64 / 1000.0
}

/// The reply that ends a batch.
pub(crate) fn format_batch_end(batch: u64) -> String {
    format!("{{\"type\":\"ok\",\"n\":{batch}}}\n")
}

/// The reply for an action of an instance. `endpoint_name` gives an endpoint's name on the wire.
pub(crate) fn format_action<'a>(
    instance: &str,
    action: &Action,
    endpoint_name: impl Fn(EndpointId) -> &'a str,
) -> String {
    let who = json::to_string(instance);
    let worker = |endpoint| json::to_string(endpoint_name(endpoint));
    let body = match *action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            let limit = to_millis(timeout);
            let worker = worker(endpoint);
            format!(r#""relay","who":{who},"rid":{id},"limit":{limit:?},"worker":{worker}"#)
        }
        Action::CancelAttempt { id, attempt } => {
            format!(r#""drop_attempt","who":{who},"rid":{id},"trial":{attempt}"#)
        }
        Action::Shed {
            id, retry_after, ..
        } => {
            let retry_in = to_millis(retry_after);
            format!(r#""push_back","who":{who},"rid":{id},"retry_in":{retry_in:?}"#)
        }
        Action::Fail { id, .. } => format!(r#""lose","who":{who},"rid":{id}"#),
        Action::ReleaseReservation { id } => format!(r#""unhold","who":{who},"rid":{id}"#),
        Action::SetTimer { at } => {
            let time = to_millis(at);
            format!(r#""wake_at","who":{who},"key_back":"wake","time":{time:?}"#)
        }
        Action::Probe { endpoint } => {
            let worker = worker(endpoint);
            format!(r#""ask_load","who":{who},"worker":{worker}"#)
        }
        Action::WatchEndpoints => format!(r#""stream_changes","who":{who},"enable":true"#),
    };
    format!("{{\"type\":{body}}}\n")
}
