//! Speaks the simulator's wire on standard input and output and hosts one [`Router`] for each instance.
//!
//! It translates and decides nothing. Bad input ends it with one line on standard error.

use quartzhall::api::*;
use quartzhall::Router;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;
use std::io::{BufRead, Write};

/// One line of input.
#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Input {
    Frame {
        t: f64,
        n: u64,
    },
    Commit,
    Born {
        who: String,
        init_seed: u64,
        profile_data: Box<Profile>,
    },
    PowerOff {
        who: String,
    },
    Catalog {
        sheet: u32,
        lines: Vec<Line>,
    },
    View {
        who: String,
        form: u32,
        sheet: Option<u32>,
    },
    Request {
        who: String,
        rid: u64,
        kind: String,
        user_group: Option<Value>,
        session: Option<String>,
        expires_in: f64,
        system_prompt: Option<String>,
        prompt_len: Option<f64>,
        prefix_len: Option<f64>,
        max_out: Option<f64>,
        cost: Option<f64>,
    },
    AckFirst {
        who: String,
        rid: u64,
        trial: u32,
    },
    Answer {
        who: String,
        rid: u64,
        trial: u32,
        worker: String,
        status: String,
        #[serde(rename = "final")]
        closed: Option<bool>,
        remark: Option<f64>,
        metrics: Option<Metrics>,
    },
    CancelledByClient {
        who: String,
        rid: u64,
    },
    TickDue {
        who: String,
    },
    ProbeResult {
        who: String,
        worker: String,
        status: String,
        metrics: Option<Metrics>,
    },
    FromPeer {
        who: String,
    },
    PlaceNote {
        who: String,
    },
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

#[derive(Deserialize, Default)]
#[serde(default)]
struct Profile {
    balancers: Option<u32>,
    classes: Vec<ClassLine>,
    dcs: Vec<String>,
    deductions: Deductions,
    family_info: Family,
    limits: Limits,
    machine_types: Vec<String>,
    membership_mode: Option<String>,
    over_share_worth: Option<f64>,
    reporting: Reporting,
    rules: Rules,
    tenants: Vec<TenantLine>,
    tick: Option<f64>,
    zone: Option<String>,
}

#[derive(Deserialize)]
struct ClassLine {
    name: String,
    aim: Option<f64>,
    group: Option<String>,
    key_ttl: Option<f64>,
    repeat: Option<String>,
    worth: Option<f64>,
}

#[derive(Deserialize)]
struct TenantLine {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Deductions {
    cross_zone: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Family {
    aim_us_per_1000_prompt_tokens: Vec<f64>,
    move_fee: Option<f64>,
    release_within: Option<f64>,
    role_by_kind: Vec<String>,
    token_aim: Vec<f64>,
    tokens_by_kind: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    cancel: Option<bool>,
    max_retry_after: Option<f64>,
    may_probe: Option<bool>,
    most_tries: Option<u32>,
    retry_after: Option<bool>,
    second_copies: Option<bool>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Reporting {
    via: Option<String>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Rules {
    answer_slack: Option<f64>,
    cold_from: Option<f64>,
    drain_grace: Option<f64>,
    fall: Option<f64>,
    tip_multiple: Option<f64>,
    warm_within: Option<f64>,
}

/// One line of output.
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Output<'a> {
    Relay { who: &'a str, rid: u64, limit: f64, worker: &'a str },
    DropAttempt { who: &'a str, rid: u64, trial: u32 },
    PushBack { who: &'a str, rid: u64, retry_in: f64 },
    Lose { who: &'a str, rid: u64 },
    Unhold { who: &'a str, rid: u64 },
    WakeAt { who: &'a str, key_back: &'a str, time: f64 },
    AskLoad { who: &'a str, worker: &'a str },
    StreamChanges { who: &'a str, enable: bool },
    Ok { n: u64 },
}

/// Names and numbers of one sort, in the order in which one instance met them.
#[derive(Default)]
struct Names {
    by_name: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    fn new<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut all = Names::default();
        for name in names {
            all.number(name);
        }
        all
    }

    fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.by_name.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    fn known(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("", String::as_str)
    }
}

/// One instance: its router and its names.
struct Instance {
    router: Router,
    servers: Names,
    zones: Names,
    kinds: Names,
    classes: Names,
    tenants: Names,
    roles: Vec<Role>,
    memory: Vec<f64>,
}

fn micros(ms: f64) -> Time {
    (ms * 1000.0).round().max(0.0) as Time
}

fn millis(time: Time) -> f64 {
    time as f64 / 1000.0
}

fn span(ms: Option<f64>) -> Time {
    micros(ms.unwrap_or(0.0))
}

fn key(text: Option<String>, what: &str) -> Result<Option<u64>, String> {
    text.map(|text| {
        u64::from_str_radix(&text, 16).map_err(|_| format!("{what} {text:?} is not a hexadecimal key"))
    })
    .transpose()
}

/// The FNV-1a hash of a name: the same at every instance.
fn hash(name: &str) -> u64 {
    let next = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, next)
}

fn role(word: &str) -> Result<Role, String> {
    match word {
        "read" => Ok(Role::Reader),
        "write" => Ok(Role::Writer),
        "both" => Ok(Role::Both),
        _ => Err(format!("unknown role {word:?}")),
    }
}

fn effect(class: &ClassLine) -> Result<Effect, String> {
    match class.repeat.as_deref() {
        Some("free") => Ok(Effect::Safe),
        None | Some("single_shot") => Ok(Effect::Unsafe),
        Some("guarded") => {
            let group = match class.group.as_deref() {
                Some("all") => Group::All,
                Some("zone") => Group::Zone,
                None | Some("cell") => Group::Cell,
                Some(word) => return Err(format!("unknown group {word:?}")),
            };
            Ok(Effect::Keyed { group, window: span(class.key_ttl) })
        }
        Some(word) => Err(format!("unknown kind of repeat {word:?}")),
    }
}

fn status(word: &str) -> Result<Status, String> {
    Ok(match word {
        "OK" => Status::Ok,
        "handover" => Status::Read,
        "INTERNAL" => Status::Error,
        "RESOURCE_EXHAUSTED" => Status::Full,
        "DEADLINE_EXCEEDED" => Status::Timeout,
        "UNAVAILABLE" => Status::ConnectFailed,
        "ABORTED" => Status::Reset,
        "CANCELLED" => Status::Cancelled,
        "TOO_LATE" => Status::Moot,
        _ => return Err(format!("unknown status {word:?}")),
    })
}

fn load(metrics: Option<Metrics>) -> Option<Load> {
    metrics.map(|told| Load {
        in_flight: told.inflight,
        queue: told.queue,
        memory: told.x0,
        to_read: told.x1,
    })
}

impl Instance {
    fn new(seed: u64, profile: &Profile, now: Time) -> Result<Self, String> {
        let mut zones = Names::new(profile.dcs.iter());
        let family = &profile.family_info;
        let classes = profile.classes.iter().enumerate();
        let classes = classes.map(|(at, class)| {
            Ok(Class {
                aim: span(class.aim),
                aim_per_1000_tokens: family
                    .aim_us_per_1000_prompt_tokens
                    .get(at)
                    .map_or(0, |us| us.max(0.0) as Time),
                token_aim: span(family.token_aim.get(at).copied()),
                worth: class.worth.unwrap_or(0.0),
                effect: effect(class)?,
            })
        });
        let tenants = profile.tenants.iter();
        let rules = &profile.rules;
        let limits = &profile.limits;
        let settings = Settings {
            balancers: profile.balancers.unwrap_or(0),
            zone: profile.zone.as_ref().map_or(u32::MAX, |zone| zones.number(zone)),
            classes: classes.collect::<Result<_, String>>()?,
            tenants: tenants
                .map(|tenant| Tenant { quota_per_s: tenant.quota_per_s.unwrap_or(0.0) })
                .collect(),
            over_share_worth: profile.over_share_worth.unwrap_or(0.0),
            reports: match profile.reporting.via.as_deref() {
                Some("answers") => Reports::WithAnswers,
                Some("probe") => Reports::WhenProbed,
                None | Some("none") => Reports::Never,
                Some(word) => return Err(format!("unknown way of reporting {word:?}")),
            },
            must_watch: profile.membership_mode.as_deref() == Some("subscribe"),
            may_probe: limits.may_probe.unwrap_or(false),
            may_cancel: limits.cancel.unwrap_or(false),
            second_copies: limits.second_copies.unwrap_or(false),
            max_retry_after: if limits.retry_after == Some(true) { span(limits.max_retry_after) } else { 0 },
            max_attempts: limits.most_tries.unwrap_or(0),
            tick: span(profile.tick),
            answer_slack: span(rules.answer_slack),
            drain_grace: span(rules.drain_grace),
            release_within: span(family.release_within),
            cold_from: rules.cold_from.unwrap_or(0.0),
            warm_within: span(rules.warm_within),
            fall_multiple: rules.tip_multiple.unwrap_or(0.0),
            fall: span(rules.fall),
            cross_zone_price: profile.deductions.cross_zone.unwrap_or(0.0),
            far_price: family.move_fee.unwrap_or(0.0),
        };
        Ok(Instance {
            router: Router::new(settings, seed, now),
            servers: Names::default(),
            zones,
            kinds: Names::new(profile.machine_types.iter()),
            classes: Names::new(profile.classes.iter().map(|class| &class.name)),
            tenants: Names::new(profile.tenants.iter().map(|tenant| &tenant.name)),
            roles: family.role_by_kind.iter().map(|word| role(word)).collect::<Result<_, String>>()?,
            memory: family.tokens_by_kind.clone(),
        })
    }

    fn entry(&mut self, line: &Line) -> Result<Entry, String> {
        let kind = line.sku.as_ref().map_or(Some(0), |name| self.kinds.known(name));
        let kind = kind.ok_or_else(|| format!("unknown kind {:?}", line.sku))? as usize;
        Ok(Entry {
            server: self.servers.number(&line.worker),
            key: hash(&line.worker),
            role: *self.roles.get(kind).ok_or("a kind without a role")?,
            memory: self.memory.get(kind).copied().unwrap_or(0.0),
            zone: line.zone.as_ref().map_or(u32::MAX, |zone| self.zones.number(zone)),
            cell: line.pack.unwrap_or(u32::MAX),
            state: match line.readiness {
                0 => State::Ready,
                1 => State::Draining,
                2 => State::Gone,
                other => return Err(format!("unknown readiness {other}")),
            },
            started: line.born.filter(|born| *born != 0.0).map(micros),
        })
    }

    fn request(&self, input: Input) -> Result<Event, String> {
        let Input::Request { rid, kind, user_group, session, expires_in, system_prompt, .. } = &input else {
            return Err("not a request".into());
        };
        let Input::Request { prompt_len, prefix_len, max_out, cost, .. } = &input else {
            return Err("not a request".into());
        };
        let tenant = match user_group.as_ref().and_then(Value::as_str) {
            Some(name) => {
                Some(self.tenants.known(name).ok_or(format!("unknown user_group {name:?}"))? as usize)
            }
            None => None,
        };
        Ok(Event::Request(Ask {
            id: *rid,
            class: self.classes.known(kind).ok_or_else(|| format!("unknown kind {kind:?}"))? as usize,
            tenant,
            session: key(session.clone(), "session")?,
            prefix: key(system_prompt.clone(), "system_prompt")?,
            expires_in: micros(*expires_in),
            prompt: prompt_len.unwrap_or(0.0),
            prefix_tokens: prefix_len.unwrap_or(0.0),
            max_tokens: max_out.unwrap_or(0.0),
            hint: cost.map(micros),
        }))
    }

    fn output<'a>(&'a self, who: &'a str, action: &Action) -> Output<'a> {
        match *action {
            Action::Send { id, server, timeout } => {
                Output::Relay { who, rid: id, limit: millis(timeout), worker: self.servers.name(server) }
            }
            Action::Cancel { id, attempt } => Output::DropAttempt { who, rid: id, trial: attempt },
            Action::Refuse { id, retry_after } => {
                Output::PushBack { who, rid: id, retry_in: millis(retry_after) }
            }
            Action::Fail { id } => Output::Lose { who, rid: id },
            Action::Release { id } => Output::Unhold { who, rid: id },
            Action::Wake { at } => Output::WakeAt { who, key_back: "wake", time: millis(at) },
            Action::Probe { server } => Output::AskLoad { who, worker: self.servers.name(server) },
            Action::Watch => Output::StreamChanges { who, enable: true },
        }
    }
}

/// All instances of this process, and the batch that is being read.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    sheets: HashMap<u32, Vec<Line>>,
    now: Time,
    batch: u64,
    replies: Vec<u8>,
}

impl Host {
    fn line(&mut self, text: &str, out: &mut impl Write) -> Result<(), String> {
        let input: Input = serde_json::from_str(text).map_err(|error| error.to_string())?;
        match input {
            Input::Frame { t, n } => {
                self.now = micros(t);
                self.batch = n;
                Ok(())
            }
            Input::Commit => {
                let n = self.batch;
                self.write(&Output::Ok { n })?;
                let sent = out.write_all(&self.replies).and_then(|()| out.flush());
                self.replies.clear();
                sent.map_err(|error| format!("cannot write the reply: {error}"))
            }
            Input::Catalog { sheet, lines } => {
                self.sheets.insert(sheet, lines);
                Ok(())
            }
            Input::Born { who, init_seed, profile_data } => {
                let instance = Instance::new(init_seed, &profile_data, self.now)?;
                self.instances.insert(who.clone(), instance);
                self.tell(&who, |_| Ok(Event::Wake))
            }
            Input::PowerOff { who } => {
                self.instances.remove(&who);
                Ok(())
            }
            Input::View { who, form: 3, .. } => self.tell(&who, |_| Ok(Event::ListFailed)),
            Input::View { who, form, sheet } => {
                let complete = match form {
                    0 => false,
                    1 | 2 => true,
                    other => return Err(format!("unknown form {other} of a view")),
                };
                let sheet = sheet.ok_or("missing field `sheet`")?;
                let lines = self.sheets.get(&sheet).ok_or_else(|| format!("unknown sheet {sheet}"))?.clone();
                self.tell(&who, |instance| {
                    let entries =
                        lines.iter().map(|line| instance.entry(line)).collect::<Result<_, String>>()?;
                    Ok(Event::Members { complete, entries })
                })
            }
            Input::Request { ref who, .. } => {
                let who = who.clone();
                self.tell(&who, |instance| instance.request(input))
            }
            Input::AckFirst { who, rid, trial } => {
                self.tell(&who, |_| Ok(Event::First { id: rid, attempt: trial }))
            }
            Input::Answer { who, rid, trial, worker, status: word, closed, remark, metrics } => {
                self.tell(&who, |instance| {
                    Ok(Event::Outcome {
                        id: rid,
                        attempt: trial,
                        server: instance.servers.number(&worker),
                        status: status(&word)?,
                        closed: closed.unwrap_or(false),
                        note: remark.unwrap_or(0.0),
                        load: load(metrics),
                    })
                })
            }
            Input::CancelledByClient { who, rid } => self.tell(&who, |_| Ok(Event::Gone { id: rid })),
            Input::TickDue { who } => self.tell(&who, |_| Ok(Event::Wake)),
            Input::ProbeResult { who, worker, status: word, metrics } => self.tell(&who, |instance| {
                let ok = status(&word)? == Status::Ok;
                Ok(Event::Probed { server: instance.servers.number(&worker), ok, load: load(metrics) })
            }),
            Input::FromPeer { who } | Input::PlaceNote { who } => self.known(&who).map(|_| ()),
        }
    }

    fn known(&mut self, who: &str) -> Result<&mut Instance, String> {
        self.instances.get_mut(who).ok_or_else(|| format!("unknown instance {who:?}"))
    }

    fn tell(
        &mut self, who: &str, event: impl FnOnce(&mut Instance) -> Result<Event, String>,
    ) -> Result<(), String> {
        let now = self.now;
        let mut actions = Vec::new();
        let instance = self.known(who)?;
        let event = event(instance)?;
        instance.router.handle(now, event, &mut actions);
        let mut replies = std::mem::take(&mut self.replies);
        let instance = self.known(who)?;
        for action in &actions {
            put(&mut replies, &instance.output(who, action))?;
        }
        self.replies = replies;
        Ok(())
    }

    fn write(&mut self, output: &Output) -> Result<(), String> {
        put(&mut self.replies, output)
    }
}

fn put(replies: &mut Vec<u8>, output: &Output) -> Result<(), String> {
    serde_json::to_writer(&mut *replies, output).map_err(|error| error.to_string())?;
    replies.push(b'\n');
    Ok(())
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut out = std::io::stdout().lock();
    for (at, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|error| format!("line {}: {error}", at + 1))?;
        if !line.trim().is_empty() {
            host.line(&line, &mut out).map_err(|error| format!("line {}: {error}", at + 1))?;
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
