//! The router instances of this process. Each message becomes an event for one instance's router, and the router's
//! actions become replies. [`Host`] owns the instances, the endpoint lists and the current batch of messages.

use crate::error::HostError;
use crate::messages::{
    format_action, format_batch_end, parse_key, required, EndpointEntry, Message, MessageType,
};
use miniserde::json;
use quartzhall::config::{millis_to_micros, Deployment, NameTable, SettingsObject};
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use std::collections::HashMap;
use std::io::Write;

/// The `form` of an endpoint list update: the list has changes only.
const FORM_INCREMENTAL: u32 = 0;
/// The `form` of an update whose list is full; two codes mean this.
const FORMS_FULL: std::ops::RangeInclusive<u32> = 1..=2;
/// The `form` of an update that reports a failed request for the list; it has no list.
const FORM_FAILED: u32 = 3;

/// One instance: its router, and the names and settings that belong to it.
struct Instance {
    router: Router,
    endpoint_names: NameTable,
    deployment: Deployment,
}

impl Instance {
    fn new(seed: u64, settings: &SettingsObject, now: Time) -> Result<Self, HostError> {
        let deployment = Deployment::new(settings).map_err(settings_error)?;
        Ok(Instance {
            router: Router::new(deployment.settings.clone(), seed, now),
            endpoint_names: NameTable::default(),
            deployment,
        })
    }

    fn endpoint_record(&mut self, entry: &EndpointEntry) -> Result<EndpointRecord, HostError> {
        let endpoint = self.endpoint_names.intern(&entry.name);
        let record = self
            .deployment
            .endpoint_record(endpoint, &entry.name, entry.machine_type.as_deref())
            .map_err(settings_error)?;
        Ok(EndpointRecord {
            zone: self.deployment.zone_id(entry.zone.as_deref()),
            cell: entry.cell.unwrap_or(u32::MAX),
            status: entry.status()?,
            started_at: entry.started_at(),
            ..record
        })
    }

    fn request_arrived(&self, message: &Message) -> Result<Event, HostError> {
        let tenant = self.tenant(message)?;
        let class_name = required(message.class.as_ref(), "kind")?;
        let id = message.request()?;
        let class = self
            .deployment
            .classes
            .lookup(class_name)
            .ok_or_else(|| HostError::UnknownClass(class_name.clone()))?;
        Ok(Event::RequestArrived(RequestMetadata {
            id,
            class: class as usize,
            tenant,
            session: parse_key(message.session.as_deref(), "session")?,
            prefix: parse_key(message.prefix.as_deref(), "system_prompt")?,
            time_left: millis_to_micros(required(message.time_left_ms, "expires_in")?),
            prompt_tokens: message.prompt_tokens.unwrap_or(0.0),
            prefix_tokens: message.prefix_tokens.unwrap_or(0.0),
            max_output_tokens: message.max_output_tokens.unwrap_or(0.0),
            output_time_hint: message.output_time_hint_ms.map(millis_to_micros),
        }))
    }

    fn tenant(&self, message: &Message) -> Result<Option<usize>, HostError> {
        let Some(json::Value::String(name)) = &message.tenant else {
            return Ok(None);
        };
        match self.deployment.tenants.lookup(name) {
            Some(tenant) => Ok(Some(tenant as usize)),
            None => Err(HostError::UnknownTenant(name.clone())),
        }
    }

    /// Converts the message of an ended attempt. Attempts are not tracked here: of an unknown one, the router uses only
    /// the load report. An endpoint that was never listed gets the next number.
    fn attempt_ended(&mut self, message: &Message) -> Result<Event, HostError> {
        Ok(Event::AttemptEnded {
            id: message.request()?,
            attempt: message.attempt()?,
            endpoint: self.endpoint_names.intern(message.endpoint()?),
            status: message.attempt_status()?,
            request_closed: message.request_closed.unwrap_or(false),
            cached_tokens: message.cached_tokens.unwrap_or(0.0),
            load: message.load(),
        })
    }

    fn probe_completed(&mut self, message: &Message) -> Result<Event, HostError> {
        let is_healthy = message.is_probe_healthy()?;
        Ok(Event::ProbeCompleted {
            endpoint: self.endpoint_names.intern(message.endpoint()?),
            is_healthy,
            load: message.load(),
        })
    }
}

fn settings_error(error: impl std::fmt::Display) -> HostError {
    HostError::Settings(error.to_string())
}

/// All instances of this process, and the current batch.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    /// Endpoint lists by the number that the protocol gives them; instances share them.
    endpoint_lists: HashMap<u32, Vec<EndpointEntry>>,
    /// The time of the current batch, in microseconds.
    now: Time,
    /// The number of the current batch, which its last reply repeats.
    batch: u64,
    /// The replies of the current batch, not yet written.
    replies: String,
}

impl Host {
    /// Handles one line of input. On the line that ends a batch, writes the batch's replies to `output`.
    pub(crate) fn handle_line(
        &mut self,
        text: &str,
        output: &mut impl Write,
    ) -> Result<(), HostError> {
        let message = Message::parse(text)?;
        match message.message_type()? {
            MessageType::BatchStart => self.start_batch(&message),
            MessageType::BatchEnd => self.end_batch(output),
            MessageType::EndpointListDefinition => self.define_endpoint_list(message),
            MessageType::InstanceStart => self.start_instance(&message),
            MessageType::InstanceStop => {
                self.instances.remove(message.instance()?);
                Ok(())
            }
            MessageType::Ignored => {
                self.instance(message.instance()?)?;
                Ok(())
            }
            MessageType::EndpointListUpdate => self.update_endpoint_list(&message),
            MessageType::Request => {
                self.handle_event(&message, |instance| instance.request_arrived(&message))
            }
            MessageType::FirstEvent => {
                let id = message.request()?;
                let attempt = message.attempt()?;
                self.handle_event(&message, |_| Ok(Event::FirstEvent { id, attempt }))
            }
            MessageType::AttemptEnd => {
                self.handle_event(&message, |instance| instance.attempt_ended(&message))
            }
            MessageType::ClientDisconnect => {
                let id = message.request()?;
                self.handle_event(&message, |_| Ok(Event::ClientDisconnected { id }))
            }
            MessageType::Timer => self.handle_event(&message, |_| Ok(Event::TimerFired)),
            MessageType::ProbeEnd => {
                self.handle_event(&message, |instance| instance.probe_completed(&message))
            }
        }
    }

    fn start_batch(&mut self, message: &Message) -> Result<(), HostError> {
        let time_ms = message.time_ms.filter(|time_ms| time_ms.is_finite());
        self.now = millis_to_micros(required(time_ms, "t")?);
        self.batch = required(message.batch, "n")?;
        Ok(())
    }

    fn end_batch(&mut self, output: &mut impl Write) -> Result<(), HostError> {
        self.replies.push_str(&format_batch_end(self.batch));
        let written = output
            .write_all(self.replies.as_bytes())
            .and_then(|()| output.flush());
        self.replies.clear();
        written.map_err(HostError::Write)
    }

    fn define_endpoint_list(&mut self, message: Message) -> Result<(), HostError> {
        let list_number = required(message.list_number, "sheet")?;
        let endpoints = required(message.endpoints, "lines")?;
        self.endpoint_lists.insert(list_number, endpoints);
        Ok(())
    }

    /// Starts the instance that the message names, and fires its timer once. A running instance of this name is
    /// replaced.
    fn start_instance(&mut self, message: &Message) -> Result<(), HostError> {
        let settings = required(message.settings.as_ref(), "profile_data")?;
        let seed = required(message.seed, "init_seed")?;
        let instance = Instance::new(seed, settings, self.now)?;
        self.instances
            .insert(message.instance()?.to_owned(), instance);
        self.handle_event(message, |_| Ok(Event::TimerFired))
    }

    fn update_endpoint_list(&mut self, message: &Message) -> Result<(), HostError> {
        let is_full = match required(message.form, "form")? {
            FORM_INCREMENTAL => false,
            form if FORMS_FULL.contains(&form) => true,
            FORM_FAILED => {
                return self.handle_event(message, |_| Ok(Event::EndpointListFailed));
            }
            other => return Err(HostError::UnknownForm(other)),
        };
        let list_number = required(message.list_number, "sheet")?;
        let entries = self
            .endpoint_lists
            .get(&list_number)
            .ok_or(HostError::UnknownEndpointList(list_number))?
            .clone();
        self.handle_event(message, |instance| {
            let mut endpoints = Vec::with_capacity(entries.len());
            for entry in &entries {
                endpoints.push(instance.endpoint_record(entry)?);
            }
            Ok(Event::EndpointsChanged { is_full, endpoints })
        })
    }

    fn instance(&mut self, name: &str) -> Result<&mut Instance, HostError> {
        self.instances
            .get_mut(name)
            .ok_or_else(|| HostError::UnknownInstance(name.to_owned()))
    }

    /// Passes an event to the router of the message's instance and appends replies for its actions.
    fn handle_event(
        &mut self,
        message: &Message,
        event: impl FnOnce(&mut Instance) -> Result<Event, HostError>,
    ) -> Result<(), HostError> {
        let name = message.instance()?;
        let now = self.now;
        let instance = self.instance(name)?;
        let event = event(instance)?;
        let mut actions = Vec::new();
        instance.router.handle(now, event, &mut actions);
        let mut replies = String::new();
        for action in &actions {
            replies.push_str(&format_action(name, action, |endpoint| {
                instance.endpoint_names.name(endpoint)
            }));
        }
        self.replies.push_str(&replies);
        Ok(())
    }
}
