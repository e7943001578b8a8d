//! Speaks the simulator's wire on standard input and output and hosts one [`Router`] for each instance.
//!
//! It translates and decides nothing. Bad input ends it with one line on standard error.

use miniserde::{json, Deserialize};
use quartzhall::config::{micros, Deployment, NameTable, SettingsObject};
use quartzhall::routing::api::*;
use quartzhall::routing::Router;
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// One line of input: the fields of all its types. `field` says which one a line lacks.
#[derive(Deserialize)]
struct Input {
    #[serde(rename = "type")]
    kind_of: String,
    who: Option<String>,
    t: Option<f64>,
    n: Option<u64>,
    init_seed: Option<u64>,
    profile_data: Option<SettingsObject>,
    sheet: Option<u32>,
    lines: Option<Vec<Line>>,
    form: Option<u32>,
    rid: Option<u64>,
    kind: Option<String>,
    user_group: Option<json::Value>,
    session: Option<String>,
    expires_in: Option<f64>,
    system_prompt: Option<String>,
    prompt_len: Option<f64>,
    prefix_len: Option<f64>,
    max_out: Option<f64>,
    cost: Option<f64>,
    trial: Option<u32>,
    worker: Option<String>,
    status: Option<String>,
    #[serde(rename = "final")]
    closed: Option<bool>,
    remark: Option<f64>,
    metrics: Option<Metrics>,
}

/// One line of a list of servers.
#[derive(Clone, Deserialize)]
struct Line {
    born: Option<f64>,
    zone: Option<String>,
    pack: Option<u32>,
    sku: Option<String>,
    readiness: u32,
    worker: String,
}

/// A load report.
#[derive(Deserialize)]
struct Metrics {
    inflight: Option<f64>,
    queue: Option<f64>,
    x0: Option<f64>,
    x1: Option<f64>,
}

/// One instance: its router and its names.
struct Instance {
    router: Router,
    servers: NameTable,
    site: Deployment,
}

fn millis(time: Time) -> f64 {
    time as f64 / 1000.0
}

fn key(text: &Option<String>, what: &str) -> Result<Option<u64>, String> {
    let parse = |text: &String| u64::from_str_radix(text, 16);
    let bad = |_| format!("{what} {text:?} is not a hexadecimal key");
    text.as_ref().map(parse).transpose().map_err(bad)
}

fn status(word: &str, remark: f64) -> Result<AttemptStatus, String> {
    Ok(match word {
        "OK" => AttemptStatus::Served,
        "handover" => AttemptStatus::PrefillDone,
        "INTERNAL" => AttemptStatus::Error,
        "RESOURCE_EXHAUSTED" if remark > 0.0 => AttemptStatus::KvStateMissing,
        "RESOURCE_EXHAUSTED" => AttemptStatus::Overloaded,
        "DEADLINE_EXCEEDED" => AttemptStatus::Timeout,
        "UNAVAILABLE" => AttemptStatus::ConnectFailed,
        "ABORTED" => AttemptStatus::Reset,
        "CANCELLED" => AttemptStatus::Cancelled,
        "TOO_LATE" => AttemptStatus::NotSent,
        _ => return Err(format!("unknown status {word:?}")),
    })
}

fn load(metrics: Option<Metrics>) -> Option<LoadReport> {
    metrics.map(|told| LoadReport {
        in_flight: told.inflight,
        queued: told.queue,
        kv_memory_share: told.x0,
        pending_prefill_kilotokens: told.x1,
    })
}

fn given<T>(value: Option<T>, name: &str) -> Result<T, String> {
    value.ok_or_else(|| format!("missing field `{name}`"))
}

impl Instance {
    fn new(seed: u64, profile: &SettingsObject, now: Time) -> Result<Self, String> {
        let site = Deployment::new(profile).map_err(|error| error.to_string())?;
        Ok(Instance {
            router: Router::new(site.settings.clone(), seed, now),
            servers: NameTable::default(),
            site,
        })
    }

    fn entry(&mut self, line: &Line) -> Result<EndpointRecord, String> {
        let server = self.servers.intern(&line.worker);
        let entry = self
            .site
            .endpoint_record(server, &line.worker, line.sku.as_deref())
            .map_err(|error| error.to_string())?;
        Ok(EndpointRecord {
            zone: self.site.zone_id(line.zone.as_deref()),
            cell: line.pack.unwrap_or(u32::MAX),
            status: match line.readiness {
                0 => EndpointStatus::Ready,
                1 => EndpointStatus::Draining,
                2 => EndpointStatus::Removed,
                other => return Err(format!("unknown readiness {other}")),
            },
            started_at: line.born.filter(|born| *born != 0.0).map(micros),
            ..entry
        })
    }

    fn request(&self, input: Input) -> Result<Event, String> {
        let tenant = match &input.user_group {
            Some(json::Value::String(name)) => {
                let tenant = self.site.tenants.lookup(name);
                Some(tenant.ok_or_else(|| format!("unknown user_group {name:?}"))? as usize)
            }
            _ => None,
        };
        let kind = given(input.kind, "kind")?;
        Ok(Event::RequestArrived(RequestMetadata {
            id: given(input.rid, "rid")?,
            class: self
                .site
                .classes
                .lookup(&kind)
                .ok_or_else(|| format!("unknown kind {kind:?}"))? as usize,
            tenant,
            session: key(&input.session, "session")?,
            prefix: key(&input.system_prompt, "system_prompt")?,
            time_left: micros(given(input.expires_in, "expires_in")?),
            prompt_tokens: input.prompt_len.unwrap_or(0.0),
            prefix_tokens: input.prefix_len.unwrap_or(0.0),
            max_output_tokens: input.max_out.unwrap_or(0.0),
            output_time_hint: input.cost.map(micros),
        }))
    }

    fn put(&self, who: &str, action: &Action, replies: &mut String) {
        let who = json::to_string(who);
        let worker = |server| json::to_string(self.servers.name(server));
        let rest = match *action {
            Action::StartAttempt {
                id,
                endpoint: server,
                timeout,
            } => {
                let (limit, worker) = (millis(timeout), worker(server));
                format!(r#""relay","who":{who},"rid":{id},"limit":{limit:?},"worker":{worker}"#)
            }
            Action::CancelAttempt { id, attempt } => {
                format!(r#""drop_attempt","who":{who},"rid":{id},"trial":{attempt}"#)
            }
            Action::Shed {
                id, retry_after, ..
            } => {
                format!(
                    r#""push_back","who":{who},"rid":{id},"retry_in":{:?}"#,
                    millis(retry_after)
                )
            }
            Action::Fail { id, .. } => format!(r#""lose","who":{who},"rid":{id}"#),
            Action::ReleaseReservation { id } => format!(r#""unhold","who":{who},"rid":{id}"#),
            Action::SetTimer { at } => {
                format!(
                    r#""wake_at","who":{who},"key_back":"wake","time":{:?}"#,
                    millis(at)
                )
            }
            Action::Probe { endpoint: server } => {
                format!(r#""ask_load","who":{who},"worker":{}"#, worker(server))
            }
            Action::WatchEndpoints => format!(r#""stream_changes","who":{who},"enable":true"#),
        };
        replies.push_str(&format!("{{\"type\":{rest}}}\n"));
    }
}

/// All instances of this process, and the batch that is being read.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    sheets: HashMap<u32, Vec<Line>>,
    now: Time,
    batch: u64,
    replies: String,
}

impl Host {
    fn line(&mut self, text: &str, out: &mut impl Write) -> Result<(), String> {
        let mut input: Input = json::from_str(text).map_err(|_| "not a message of the wire")?;
        let who = input.who.take();
        let who = || given(who, "who");
        let event = match input.kind_of.as_str() {
            "frame" => {
                self.now = micros(given(input.t.filter(|t| t.is_finite()), "t")?);
                self.batch = given(input.n, "n")?;
                return Ok(());
            }
            "commit" => {
                self.replies
                    .push_str(&format!("{{\"type\":\"ok\",\"n\":{}}}\n", self.batch));
                let sent = out
                    .write_all(self.replies.as_bytes())
                    .and_then(|()| out.flush());
                self.replies.clear();
                return sent.map_err(|error| format!("cannot write the reply: {error}"));
            }
            "catalog" => {
                self.sheets
                    .insert(given(input.sheet, "sheet")?, given(input.lines, "lines")?);
                return Ok(());
            }
            "born" => {
                let profile = given(input.profile_data, "profile_data")?;
                let instance =
                    Instance::new(given(input.init_seed, "init_seed")?, &profile, self.now)?;
                let who = who()?;
                self.instances.insert(who.clone(), instance);
                return self.tell(&who, |_| Ok(Event::TimerFired));
            }
            "power_off" => {
                self.instances.remove(&who()?);
                return Ok(());
            }
            "from_peer" | "place_note" => return self.known(&who()?).map(|_| ()),
            "view" if input.form == Some(3) => Event::EndpointListFailed,
            "view" => {
                let complete = match given(input.form, "form")? {
                    0 => false,
                    1 | 2 => true,
                    other => return Err(format!("unknown form {other} of a view")),
                };
                let sheet = given(input.sheet, "sheet")?;
                let lines = self
                    .sheets
                    .get(&sheet)
                    .ok_or_else(|| format!("unknown sheet {sheet}"))?
                    .clone();
                return self.tell(&who()?, |instance| {
                    let entries = lines.iter().map(|line| instance.entry(line));
                    Ok(Event::EndpointsChanged {
                        is_full: complete,
                        endpoints: entries.collect::<Result<_, String>>()?,
                    })
                });
            }
            "request" => return self.tell(&who()?, |instance| instance.request(input)),
            "ack_first" => Event::FirstEvent {
                id: given(input.rid, "rid")?,
                attempt: given(input.trial, "trial")?,
            },
            "answer" => {
                return self.tell(&who()?, |instance| {
                    let remark = input.remark.unwrap_or(0.0);
                    Ok(Event::AttemptEnded {
                        id: given(input.rid, "rid")?,
                        attempt: given(input.trial, "trial")?,
                        endpoint: instance.servers.intern(&given(input.worker, "worker")?),
                        status: status(&given(input.status, "status")?, remark)?,
                        request_closed: input.closed.unwrap_or(false),
                        cached_tokens: remark,
                        load: load(input.metrics),
                    })
                })
            }
            "cancelled_by_client" => Event::ClientDisconnected {
                id: given(input.rid, "rid")?,
            },
            "tick_due" => Event::TimerFired,
            "probe_result" => {
                return self.tell(&who()?, |instance| {
                    let ok = status(&given(input.status, "status")?, 0.0)? == AttemptStatus::Served;
                    let server = instance.servers.intern(&given(input.worker, "worker")?);
                    Ok(Event::ProbeCompleted {
                        endpoint: server,
                        is_healthy: ok,
                        load: load(input.metrics),
                    })
                })
            }
            word => return Err(format!("unknown type {word:?}")),
        };
        self.tell(&who()?, |_| Ok(event))
    }

    fn known(&mut self, who: &str) -> Result<&mut Instance, String> {
        self.instances
            .get_mut(who)
            .ok_or_else(|| format!("unknown instance {who:?}"))
    }

    fn tell(
        &mut self,
        who: &str,
        event: impl FnOnce(&mut Instance) -> Result<Event, String>,
    ) -> Result<(), String> {
        let now = self.now;
        let mut actions = Vec::new();
        let instance = self
            .instances
            .get_mut(who)
            .ok_or_else(|| format!("unknown instance {who:?}"))?;
        let event = event(instance)?;
        instance.router.handle(now, event, &mut actions);
        for action in &actions {
            instance.put(who, action, &mut self.replies);
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = std::io::stdout().lock();
    for (at, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|error| format!("line {}: {error}", at + 1))?;
        if !line.trim().is_empty() {
            host.line(&line, &mut out)
                .map_err(|error| format!("line {}: {error}", at + 1))?;
        }
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quartzhall-simhost: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
