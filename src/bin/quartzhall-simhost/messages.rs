//! The messages of the simulator's protocol: parsing of messages, formatting of replies, and the mapping of the
//! protocol's names to the terms of the router.

use crate::error::HostError;
use miniserde::{json, Deserialize};
use quartzhall::config::{millis_to_micros, SettingsObject};
use quartzhall::routing::api::*;

/// One line of input, with the fields of all message types. [`Message::message_type`] gives its type.
#[derive(Deserialize)]
pub(crate) struct Message {
    #[serde(rename = "type")]
    message_type: String,
    #[serde(rename = "who")]
    instance: Option<String>,
    /// The time of a batch, in milliseconds.
    #[serde(rename = "t")]
    pub time_ms: Option<f64>,
    /// The number of a batch.
    #[serde(rename = "n")]
    pub batch: Option<u64>,
    /// The seed of an instance's router.
    #[serde(rename = "init_seed")]
    pub seed: Option<u64>,
    #[serde(rename = "profile_data")]
    pub settings: Option<SettingsObject>,
    /// The number of an endpoint list.
    #[serde(rename = "sheet")]
    pub list_number: Option<u32>,
    /// The entries of an endpoint list.
    #[serde(rename = "lines")]
    pub endpoints: Option<Vec<EndpointEntry>>,
    /// The form of an endpoint list update: `host` has the codes.
    pub form: Option<u32>,
    #[serde(rename = "rid")]
    request: Option<u64>,
    #[serde(rename = "kind")]
    pub class: Option<String>,
    /// The tenant's name; any value other than a string means that the request has no tenant.
    #[serde(rename = "user_group")]
    pub tenant: Option<json::Value>,
    /// The session's key, in hexadecimal digits.
    pub session: Option<String>,
    /// The time left until the client's deadline, in milliseconds.
    #[serde(rename = "expires_in")]
    pub time_left_ms: Option<f64>,
    /// The key of the shared prefix, in hexadecimal digits.
    #[serde(rename = "system_prompt")]
    pub prefix: Option<String>,
    #[serde(rename = "prompt_len")]
    pub prompt_tokens: Option<f64>,
    #[serde(rename = "prefix_len")]
    pub prefix_tokens: Option<f64>,
    #[serde(rename = "max_out")]
    pub max_output_tokens: Option<f64>,
    /// The estimated duration of the response, in milliseconds; absent or 0: unknown.
    #[serde(rename = "cost")]
    pub output_time_hint_ms: Option<f64>,
    /// The index of the attempt within its request.
    #[serde(rename = "trial")]
    attempt: Option<u32>,
    #[serde(rename = "worker")]
    endpoint: Option<String>,
    status: Option<String>,
    /// Whether the client has its final response, from this attempt or an earlier one.
    #[serde(rename = "final")]
    pub request_closed: Option<bool>,
    /// The cached prompt tokens of an ended attempt. A positive number with an overload status means that the KV cache
    /// was missing.
    #[serde(rename = "remark")]
    pub cached_tokens: Option<f64>,
    metrics: Option<Metrics>,
}

/// One entry of an endpoint list.
#[derive(Clone, Deserialize)]
pub(crate) struct EndpointEntry {
    /// The time of the last start, in milliseconds; absent or 0: long ago.
    #[serde(rename = "born")]
    started_at_ms: Option<f64>,
    pub zone: Option<String>,
    #[serde(rename = "pack")]
    pub cell: Option<u32>,
    #[serde(rename = "sku")]
    pub machine_type: Option<String>,
    /// The status code: 0 is ready, 1 is draining, 2 is removed.
    readiness: u32,
    #[serde(rename = "worker")]
    pub name: String,
}

/// An endpoint's load; each value may be missing.
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
pub(crate) enum MessageType {
    BatchStart,
    BatchEnd,
    /// Defines an endpoint list, to which updates refer by its number.
    EndpointListDefinition,
    InstanceStart,
    InstanceStop,
    /// A message between instances, whose content the adapter ignores: its instances share no state.
    Ignored,
    /// Delivers an endpoint list to an instance.
    EndpointListUpdate,
    Request,
    FirstEvent,
    AttemptEnd,
    ClientDisconnect,
    Timer,
    ProbeEnd,
}

/// Returns the value of a field that the message's type requires. `name` is the field's name on the wire.
pub(crate) fn required<T>(value: Option<T>, name: &'static str) -> Result<T, HostError> {
    value.ok_or(HostError::MissingField(name))
}

/// Parses an optional hexadecimal key. `field` is its name on the wire.
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

    pub(crate) fn message_type(&self) -> Result<MessageType, HostError> {
        Ok(match self.message_type.as_str() {
            "frame" => MessageType::BatchStart,
            "commit" => MessageType::BatchEnd,
            "catalog" => MessageType::EndpointListDefinition,
            "born" => MessageType::InstanceStart,
            "power_off" => MessageType::InstanceStop,
            "from_peer" | "place_note" => MessageType::Ignored,
            "view" => MessageType::EndpointListUpdate,
            "request" => MessageType::Request,
            "ack_first" => MessageType::FirstEvent,
            "answer" => MessageType::AttemptEnd,
            "cancelled_by_client" => MessageType::ClientDisconnect,
            "tick_due" => MessageType::Timer,
            "probe_result" => MessageType::ProbeEnd,
            other => return Err(HostError::UnknownType(other.to_owned())),
        })
    }

    /// Returns the name of the instance to which the message belongs.
    pub(crate) fn instance(&self) -> Result<&str, HostError> {
        required(self.instance.as_deref(), "who")
    }

    pub(crate) fn request(&self) -> Result<RequestId, HostError> {
        required(self.request, "rid")
    }

    pub(crate) fn attempt(&self) -> Result<u32, HostError> {
        required(self.attempt, "trial")
    }

    /// Returns the name of the endpoint that the message concerns.
    pub(crate) fn endpoint(&self) -> Result<&str, HostError> {
        required(self.endpoint.as_deref(), "worker")
    }

    /// Returns the status of an ended attempt. An overload with a positive number of cached tokens means that the KV
    /// cache was missing.
    pub(crate) fn attempt_status(&self) -> Result<AttemptStatus, HostError> {
        let status = self.parse_status()?;
        let is_kv_missing = self.cached_tokens.unwrap_or(0.0) > 0.0;
        if status == AttemptStatus::Overloaded && is_kv_missing {
            return Ok(AttemptStatus::KvStateMissing);
        }
        Ok(status)
    }

    /// Returns whether a probe was successful.
    pub(crate) fn is_probe_healthy(&self) -> Result<bool, HostError> {
        Ok(self.parse_status()? == AttemptStatus::Served)
    }

    fn parse_status(&self) -> Result<AttemptStatus, HostError> {
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

impl EndpointEntry {
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

/// Formats the reply that ends a batch.
pub(crate) fn format_batch_end(batch: u64) -> String {
    format!("{{\"type\":\"ok\",\"n\":{batch}}}\n")
}

/// Formats the reply for an action of an instance. `endpoint_name` returns an endpoint's name on the wire.
pub(crate) fn format_action<'a>(
    instance: &str,
    action: &Action,
    endpoint_name: impl Fn(EndpointId) -> &'a str,
) -> String {
    let who = json::to_string(instance);
    let quoted_name = |endpoint| json::to_string(endpoint_name(endpoint));
    let body = match *action {
        Action::StartAttempt {
            id,
            endpoint,
            timeout,
        } => {
            let limit = to_millis(timeout);
            let worker = quoted_name(endpoint);
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
            let worker = quoted_name(endpoint);
            format!(r#""ask_load","who":{who},"worker":{worker}"#)
        }
        Action::WatchEndpoints => format!(r#""stream_changes","who":{who},"enable":true"#),
    };
    format!("{{\"type\":{body}}}\n")
}
