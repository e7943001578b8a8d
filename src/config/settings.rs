//! The deployment's settings: from JSON to the module's [`RoutingSettings`] and to the numbers for its names.
//!
//! The adapter and the dispatcher share all of it. A field that is absent has its zero; a word that is not
//! known is an error, for a guess would decide something.

use super::validation;
use crate::routing::api::*;
use miniserde::json::{self, Value};
use miniserde::Deserialize;
use std::collections::{HashMap, HashSet};

/// The settings object, as it comes.
#[derive(Deserialize, Clone, Default)]
pub struct SettingsObject {
    balancers: Option<u32>,
    classes: Option<Vec<ClassLine>>,
    dcs: Option<Vec<String>>,
    deductions: Option<Deductions>,
    family_info: Option<Family>,
    limits: Option<Limits>,
    machine_types: Option<Vec<String>>,
    membership_mode: Option<String>,
    over_share_worth: Option<f64>,
    reporting: Option<Reporting>,
    rules: Option<Rules>,
    tenants: Option<Vec<TenantLine>>,
    tick: Option<f64>,
    zone: Option<String>,
    /// This dispatcher's number among its peers.
    pub me: Option<usize>,
}

#[derive(Deserialize, Clone)]
struct ClassLine {
    name: String,
    aim: Option<f64>,
    deadline: Option<f64>,
    group: Option<String>,
    key_ttl: Option<f64>,
    repeat: Option<String>,
    worth: Option<f64>,
}

#[derive(Deserialize, Clone)]
struct TenantLine {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Deserialize, Clone, Default)]
struct Deductions {
    cross_zone: Option<f64>,
    peer: Option<f64>,
}

#[derive(Deserialize, Clone, Default)]
struct Family {
    aim_us_per_1000_prompt_tokens: Option<Vec<f64>>,
    move_fee: Option<f64>,
    release_within: Option<f64>,
    role_by_kind: Option<Vec<String>>,
    token_aim: Option<Vec<f64>>,
    tokens_by_kind: Option<Vec<f64>>,
}

#[derive(Deserialize, Clone, Default)]
struct Limits {
    cancel: Option<bool>,
    conn_idle: Option<f64>,
    dial_timeout: Option<f64>,
    max_retry_after: Option<f64>,
    may_probe: Option<bool>,
    peers: Option<bool>,
    most_held: Option<u64>,
    most_tries: Option<u32>,
    retry_after: Option<bool>,
    second_copies: Option<bool>,
}

#[derive(Deserialize, Clone, Default)]
struct Reporting {
    via: Option<String>,
}

#[derive(Deserialize, Clone, Default)]
struct Rules {
    answer_slack: Option<f64>,
    cold_from: Option<f64>,
    drain_grace: Option<f64>,
    fall: Option<f64>,
    tip_multiple: Option<f64>,
    warm_within: Option<f64>,
}

/// NameTable and numbers of one sort, in the order in which they were met.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    by_name: HashMap<String, u32>,
    names: Vec<String>,
}

impl NameTable {
    fn new<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut all = NameTable::default();
        for name in names {
            all.number(name);
        }
        all
    }

    /// The number of a name, which is new where it was not known.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.by_name.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    /// NameTable with numbers of their own.
    fn numbered<'a>(pairs: impl Iterator<Item = (&'a String, u32)>) -> Self {
        let mut all = NameTable::default();
        for (name, number) in pairs {
            let at = number as usize;
            all.names.resize(all.names.len().max(at + 1), String::new());
            all.names[at] = name.clone();
            all.by_name.insert(name.clone(), number);
        }
        all
    }

    /// The number of a name that was met before.
    pub fn known(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// All names with their numbers, in their order.
    pub fn pairs(&self) -> impl Iterator<Item = (&String, u32)> {
        let number = |name: &String| self.known(name);
        self.names
            .iter()
            .filter_map(move |name| Some((name, number(name)?)))
    }

    /// The name with this number.
    pub fn name(&self, number: u32) -> &str {
        self.names.get(number as usize).map_or("", String::as_str)
    }
}

/// The FNV-1a hash of a name: the same at every dispatcher.
pub fn fnv1a_hash(name: &str) -> u64 {
    let next = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, next)
}

/// Microseconds of a time in milliseconds.
pub fn micros(ms: f64) -> Time {
    (ms * 1000.0).round().max(0.0) as Time
}

fn span(ms: Option<f64>) -> Time {
    micros(ms.unwrap_or(0.0))
}

fn role(word: &String) -> Result<Role, String> {
    match word.as_str() {
        "read" => Ok(Role::Prefill),
        "write" => Ok(Role::Decode),
        "both" => Ok(Role::Mixed),
        _ => Err(format!("unknown role {word:?}")),
    }
}

fn effect(class: &ClassLine) -> Result<Idempotency, String> {
    match class.repeat.as_deref() {
        Some("free") => Ok(Idempotency::Idempotent),
        None | Some("single_shot") => Ok(Idempotency::NonIdempotent),
        Some("guarded") => {
            let group = match class.group.as_deref() {
                Some("all") => DeduplicationScope::AllEndpoints,
                Some("zone") => DeduplicationScope::Zone,
                None | Some("cell") => DeduplicationScope::Cell,
                Some(word) => return Err(format!("unknown group {word:?}")),
            };
            Ok(Idempotency::IdempotencyKey {
                scope: group,
                window: span(class.key_ttl),
            })
        }
        Some(word) => Err(format!("unknown kind of repeat {word:?}")),
    }
}

/// What connections and tables are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// A connection that is not up by then has failed.
    pub connect_timeout: Time,
    /// A node closes connections that were idle so long.
    pub endpoint_idle_timeout: Time,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// The longest that a client waits.
    pub max_deadline: Time,
}

/// So many classes may be known at once, those that are gone and have requests open among them.
const MOST_CLASSES: usize = 256;

/// A deployment: the module's settings, its bounds, and the numbers for its names.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// What the module is told.
    pub settings: RoutingSettings,
    /// What the dispatcher keeps to.
    pub bounds: Bounds,
    /// NameTable of classes.
    pub classes: NameTable,
    /// NameTable of tenants.
    pub tenants: NameTable,
    /// What a full message costs for each receiver and request, where dispatchers may tell each other things.
    pub gossip_cost: Option<f64>,
    zones: NameTable,
    kinds: NameTable,
    roles: Vec<Role>,
    memory: Vec<f64>,
}

impl Deployment {
    /// A deployment from its settings object.
    pub fn new(profile: &SettingsObject) -> Result<Self, String> {
        let none: (Family, Limits, Rules) = Default::default();
        let family = profile.family_info.as_ref().unwrap_or(&none.0);
        let limits = profile.limits.as_ref().unwrap_or(&none.1);
        let rules = profile.rules.as_ref().unwrap_or(&none.2);
        let class_lines = profile.classes.as_deref().unwrap_or_default();
        let tenant_lines = profile.tenants.as_deref().unwrap_or_default();
        let mut zones = NameTable::new(profile.dcs.iter().flatten());
        let at = |list: &Option<Vec<f64>>, at: usize| {
            list.as_ref().and_then(|list| list.get(at)).copied()
        };
        let class = |(number, class): (usize, &ClassLine)| {
            Ok(RequestClass {
                ttft_objective: span(class.aim),
                ttft_objective_per_1000_tokens: at(&family.aim_us_per_1000_prompt_tokens, number)
                    .map_or(0, |us| us.max(0.0) as Time),
                inter_token_objective: span(at(&family.token_aim, number)),
                priority_weight: class.worth.unwrap_or(0.0),
                idempotency: effect(class)?,
                is_active: true,
            })
        };
        let tenant = |tenant: &TenantLine| Tenant {
            requests_per_second: tenant.quota_per_s.unwrap_or(0.0),
        };
        let settings = RoutingSettings {
            dispatchers: profile.balancers.unwrap_or(0),
            zone: profile
                .zone
                .as_ref()
                .map_or(u32::MAX, |zone| zones.number(zone)),
            classes: class_lines
                .iter()
                .enumerate()
                .map(class)
                .collect::<Result<_, String>>()?,
            tenants: tenant_lines.iter().map(tenant).collect(),
            over_quota_weight: profile.over_share_worth.unwrap_or(0.0),
            load_reporting: match profile
                .reporting
                .as_ref()
                .and_then(|reporting| reporting.via.as_deref())
            {
                Some("answers") => LoadReporting::WithResponses,
                Some("probe") => LoadReporting::WithProbes,
                None | Some("none") => LoadReporting::Never,
                Some(word) => return Err(format!("unknown way of reporting {word:?}")),
            },
            must_poll_endpoints: profile.membership_mode.as_deref() == Some("subscribe"),
            probes_allowed: limits.may_probe.unwrap_or(false),
            cancellation_allowed: limits.cancel.unwrap_or(false),
            hedging_allowed: limits.second_copies.unwrap_or(false),
            max_retry_after: if limits.retry_after == Some(true) {
                span(limits.max_retry_after)
            } else {
                0
            },
            max_attempts: limits.most_tries.unwrap_or(0),
            tick: span(profile.tick),
            response_slack: span(rules.answer_slack),
            drain_grace: span(rules.drain_grace),
            reservation_ttl: span(family.release_within),
            slow_start_initial_share: rules.cold_from.unwrap_or(0.0),
            slow_start_duration: span(rules.warm_within),
            overload_threshold: rules.tip_multiple.unwrap_or(0.0),
            overload_window: span(rules.fall),
            cross_zone_cost: profile
                .deductions
                .as_ref()
                .and_then(|it| it.cross_zone)
                .unwrap_or(0.0),
            kv_transfer_cost: family.move_fee.unwrap_or(0.0),
        };
        Ok(Deployment {
            settings,
            bounds: Bounds {
                connect_timeout: limits.dial_timeout.map_or(250_000, micros),
                endpoint_idle_timeout: limits.conn_idle.map_or(30_000_000, micros),
                max_open_requests: limits.most_held.map_or(usize::MAX, |most| most as usize),
                max_deadline: class_lines
                    .iter()
                    .filter_map(|it| it.deadline)
                    .map(micros)
                    .max()
                    .unwrap_or(Time::MAX),
            },
            classes: NameTable::new(class_lines.iter().map(|class| &class.name)),
            gossip_cost: limits.peers.filter(|may| *may).map(|_| {
                profile
                    .deductions
                    .as_ref()
                    .and_then(|it| it.peer)
                    .unwrap_or(0.0)
            }),
            tenants: NameTable::new(tenant_lines.iter().map(|tenant| &tenant.name)),
            zones,
            kinds: NameTable::new(profile.machine_types.iter().flatten()),
            roles: family
                .role_by_kind
                .iter()
                .flatten()
                .map(role)
                .collect::<Result<_, String>>()?,
            memory: family.tokens_by_kind.clone().unwrap_or_default(),
        })
    }

    /// What holds after this one was read while `old` held. A class that means the same keeps its number; any other one
    /// gets a number that is not `used`. Zone, kinds, roles and memory hold until a restart.
    pub fn following(
        mut self,
        old: &Deployment,
        used: impl Fn(usize) -> bool,
    ) -> Result<Deployment, String> {
        let mut classes: Vec<RequestClass> = old.settings.classes.clone();
        classes.iter_mut().for_each(|class| class.is_active = false);
        let mut numbers = Vec::new();
        for (name, class) in self.classes.names.iter().zip(&self.settings.classes) {
            let same = old
                .classes
                .known(name)
                .filter(|at| old.settings.classes[*at as usize] == *class);
            let number = match same {
                Some(number) => number as usize,
                None => {
                    let free = |at: &usize| {
                        !classes[*at].is_active
                            && !used(*at)
                            && !old.settings.classes[*at].is_active
                    };
                    (0..old.settings.classes.len())
                        .find(free)
                        .unwrap_or(classes.len())
                }
            };
            if number >= MOST_CLASSES {
                return Err(
                    "too many classes have come and gone while requests of theirs are open".into(),
                );
            }
            match classes.get_mut(number) {
                Some(there) => *there = class.clone(),
                None => classes.push(class.clone()),
            }
            numbers.push(number as u32);
        }
        self.classes = NameTable::numbered(self.classes.names.iter().zip(numbers));
        self.settings.classes = classes;
        self.settings.zone = old.settings.zone;
        (self.zones, self.kinds) = (old.zones.clone(), old.kinds.clone());
        (self.roles, self.memory) = (old.roles.clone(), old.memory.clone());
        Ok(self)
    }

    /// One server of a list, by the names of its kind and zone. The caller numbers servers.
    pub fn entry(
        &mut self,
        server: EndpointId,
        name: &str,
        kind: Option<&str>,
    ) -> Result<EndpointRecord, String> {
        let number = kind.map_or(Some(0), |kind| self.kinds.known(kind));
        let number = number.ok_or_else(|| format!("unknown kind {kind:?}"))? as usize;
        Ok(EndpointRecord {
            endpoint: server,
            key: fnv1a_hash(name),
            role: *self.roles.get(number).ok_or("a kind without a role")?,
            kv_capacity_tokens: self.memory.get(number).copied().unwrap_or(0.0),
            ..EndpointRecord::default()
        })
    }

    /// The number of a zone.
    pub fn zone(&mut self, name: Option<&str>) -> u32 {
        name.map_or(u32::MAX, |name| self.zones.number(name))
    }
}

/// One line of a list of members, as discovery writes it. Each field is read by itself: what makes no sense is absent,
/// and takes no other field with it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLine {
    /// The same at every dispatcher.
    pub id: Option<String>,
    /// Where it listens.
    pub host_port: Option<String>,
    /// Its zone.
    pub locality: Option<String>,
    /// Its kind.
    pub flavor: Option<String>,
    /// Its cell.
    pub cell: Option<u32>,
    /// Whether it takes work.
    pub phase: Option<String>,
    /// Its last start, in Unix milliseconds; 0: long ago.
    pub up_since_ms: Option<f64>,
}

impl From<&Value> for EndpointLine {
    fn from(line: &Value) -> Self {
        let Value::Object(line) = line else {
            return EndpointLine::default();
        };
        let text = |field: &str| match line.get(field) {
            Some(Value::String(text)) => Some(text.clone()),
            _ => None,
        };
        let number = |field: &str| match line.get(field) {
            Some(Value::Number(number)) => Some(validation::number(number)),
            _ => None,
        };
        EndpointLine {
            id: text("id"),
            host_port: text("host_port"),
            locality: text("locality"),
            flavor: text("flavor"),
            cell: number("cell")
                .filter(|cell| (0.0..u32::MAX.into()).contains(cell))
                .map(|cell| cell as u32),
            phase: text("phase"),
            up_since_ms: number("up_since_ms"),
        }
    }
}

/// A list of members, whole or what changed.
#[derive(Deserialize, Clone)]
pub struct EndpointList {
    /// Its version.
    pub revision: u64,
    /// Members that are absent are gone.
    pub complete: bool,
    /// Its lines, each as it comes: see [`EndpointLine`].
    pub members: Vec<Value>,
}

/// What the dispatcher may use.
#[derive(Deserialize, Clone)]
pub struct MachineLimits {
    /// Memory, in MB.
    pub memory_mb: Option<u64>,
    /// File descriptors.
    pub sockets: Option<u64>,
}

/// Descriptors that neither clients nor nodes get: listeners, discovery, the log, the runtime's own.
const SPARE_SOCKETS: u64 = 32;

impl MachineLimits {
    /// Descriptors for clients' connections, and for those to nodes. Clients get five eighths: beside an open
    /// request, which needs one on either side, there are those that stand idle or mute until they may be closed.
    pub fn socket_budgets(&self) -> (usize, usize) {
        let sockets = self
            .sockets
            .unwrap_or(1024)
            .saturating_sub(SPARE_SOCKETS)
            .max(16) as usize;
        (sockets * 5 / 8, sockets - sockets * 5 / 8)
    }
}

/// The configuration file of a real dispatcher.
#[derive(Deserialize, Clone)]
pub struct Config {
    /// The dispatcher's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery listens.
    pub discovery: String,
    /// Where operators call; absent: nowhere.
    pub management: Option<String>,
    /// For random numbers, in hexadecimal digits.
    pub seed: String,
    /// What the dispatcher may use.
    pub limits: MachineLimits,
    /// Where other dispatchers tell this one things.
    pub peer_listen: Option<String>,
    /// The dispatchers, by their numbers.
    pub peers: Option<Vec<String>>,
    /// Where all of them are told at once.
    pub peers_all: Option<String>,
    /// The list of members as it was last held.
    pub known: Option<EndpointList>,
    /// The settings object.
    pub settings: SettingsObject,
}

impl Config {
    /// Reads a configuration; the error is one line.
    pub fn parse(text: &str) -> Result<Config, String> {
        let wrong = |_| "the configuration is not the JSON object that is expected".to_owned();
        let config: Config = json::from_str(text).map_err(wrong)?;
        let value: Value = json::from_str(text).map_err(wrong)?;
        validation::check_values("the configuration", &value)?;
        let classes = config.settings.classes.as_deref().unwrap_or_default();
        let limits = config.settings.limits.as_ref();
        if classes.is_empty() || classes.iter().any(|class| class.aim.is_none()) {
            return Err("the settings name no classes, or one without an aim".into());
        }
        if limits.is_none_or(|limits| limits.most_tries.is_none()) {
            return Err("the settings lack limits.most_tries".into());
        }
        let names: HashSet<&String> = classes.iter().map(|class| &class.name).collect();
        if names.len() < classes.len() {
            return Err("the settings name a class twice".into());
        }
        let address = config.discovery.parse::<std::net::SocketAddr>();
        address.map_err(|_| format!("discovery is no address: {:?}", config.discovery))?;
        Ok(config)
    }

    /// Reads what is to follow the running configuration, and is taken whole or not at all.
    pub fn parse_next(running: &str, text: &str) -> Result<Config, String> {
        let config = Config::parse(text)?;
        let value = |text| json::from_str::<Value>(text).map_err(|_| "not JSON".to_owned());
        validation::complete("the configuration", &value(running)?, &value(text)?)?;
        Ok(config)
    }
}

/// The session file, as it comes: `deploy/websocket.json`.
#[derive(Deserialize)]
struct SessionFile {
    listen: Option<String>,
    agent_check: Option<String>,
    nodes: Option<Vec<String>>,
    most_sessions: Option<usize>,
    most_requests: Option<usize>,
    most_message: Option<usize>,
    ping_ms: Option<u64>,
    silent_ms: Option<u64>,
    reattach_ms: Option<u64>,
    record_entries: Option<usize>,
    record_text: Option<usize>,
    record_bytes: Option<usize>,
}

/// Where WebSocket sessions are taken and opened, and their bounds.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Where terminals connect, and balancers ask for health; `None`: off.
    pub listen: Option<String>,
    /// Where balancers ask for an agent check; `None`: off.
    pub agent_check: Option<String>,
    /// Addresses of nodes that speak WebSocket.
    pub websocket_endpoints: Vec<String>,
    /// SessionConfig at once.
    pub max_sessions: usize,
    /// Requests of one session at once.
    pub max_requests: usize,
    /// Bytes of a message.
    pub max_message_bytes: usize,
    /// Between two pings.
    pub ping_interval_ms: u64,
    /// A session that was not heard for so long is over.
    pub session_timeout_ms: u64,
    /// A request outlives its socket so long.
    pub reattach_window_ms: u64,
    /// Requests that are remembered after their end ...
    pub max_cached_responses: usize,
    /// ... with their answers where they are no longer than this ...
    pub max_cached_response_bytes: usize,
    /// ... and this in all.
    pub max_cache_bytes: usize,
}

impl SessionConfig {
    /// Reads the session file; the error is one line.
    pub fn parse(text: &str) -> Result<SessionConfig, String> {
        let wrong = |what: &str| format!("the session file: {what}");
        let file: SessionFile =
            json::from_str(text).map_err(|_| wrong("not the JSON object expected"))?;
        let sessions = SessionConfig {
            listen: file.listen,
            agent_check: file.agent_check,
            websocket_endpoints: file.nodes.unwrap_or_default(),
            max_sessions: file.most_sessions.unwrap_or(128),
            max_requests: file.most_requests.unwrap_or(32),
            max_message_bytes: file.most_message.unwrap_or(300 * 1024),
            ping_interval_ms: file.ping_ms.unwrap_or(15_000),
            session_timeout_ms: file.silent_ms.unwrap_or(40_000),
            reattach_window_ms: file.reattach_ms.unwrap_or(400),
            max_cached_responses: file.record_entries.unwrap_or(4096),
            max_cached_response_bytes: file.record_text.unwrap_or(16 * 1024),
            max_cache_bytes: file.record_bytes.unwrap_or(8 * 1024 * 1024),
        };
        let counts = [
            sessions.max_sessions,
            sessions.max_requests,
            sessions.max_message_bytes,
        ];
        if counts.contains(&0)
            || counts.iter().any(|count| *count > 1 << 24)
            || sessions.ping_interval_ms == 0
        {
            return Err(wrong("a bound that bounds nothing"));
        }
        Ok(sessions)
    }

    /// The same within a machine's limits: three eighths of the clients' descriptors, a quarter of the memory for
    /// messages on their way, an eighth for the record. Told beside it: descriptors for connections that are no
    /// session yet.
    pub fn within(self, sockets: usize, memory: usize) -> (SessionConfig, usize) {
        let most = self
            .max_sessions
            .min(sockets * 3 / 8)
            .min(memory / 4 / self.max_message_bytes);
        let record_bytes = self.max_cache_bytes.min(memory / 8);
        (
            SessionConfig {
                max_sessions: most.max(1),
                max_cache_bytes: record_bytes,
                ..self
            },
            (sockets / 8).max(1),
        )
    }
}
