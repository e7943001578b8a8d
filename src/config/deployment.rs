//! A deployment: the settings object resolved into the router's [`RoutingSettings`], the dispatcher's limits, and ids
//! for the names of classes, tenants, zones and machine types.
//!
//! The dispatcher and the simulator's adapter both use it. An absent number is 0 unless a default is named here. An
//! unknown keyword is an error, because a fallback would silently change how requests are routed.

use super::raw_settings::{
    ClassSettings, FamilySettings, LimitSettings, RuleSettings, SettingsObject, TenantSettings,
};
use super::{fnv1a_hash, ConfigError, NameTable};
use crate::routing::api::{
    DeduplicationScope, EndpointId, EndpointRecord, Idempotency, LoadReporting, RequestClass, Role,
    RoutingSettings, Tenant, Time,
};

/// The maximum number of class ids in use. Removed classes whose requests are still open count too.
const MAX_CLASSES: usize = 256;
/// The timeout for connecting to an endpoint if the settings have none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Time = 250_000;
/// The time after which endpoints close idle connections if the settings have none, in microseconds.
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Time = 30_000_000;

/// Limits of connections and requests. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatcherLimits {
    /// The timeout for connecting to an endpoint.
    pub connect_timeout: Time,
    /// The time after which an endpoint closes an idle connection.
    pub endpoint_idle_timeout: Time,
    /// The maximum number of open requests; `usize::MAX`: no limit.
    pub max_open_requests: usize,
    /// The longest deadline of any class, which bounds the drain at shutdown; `Time::MAX`: no class has one.
    pub max_deadline: Time,
}

/// A deployment: the router's settings, the limits, and the ids of its names.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The router's settings.
    pub settings: RoutingSettings,
    /// The dispatcher's limits.
    pub limits: DispatcherLimits,
    /// Ids of the request classes.
    pub classes: NameTable,
    /// Ids of the tenants.
    pub tenants: NameTable,
    /// The cost of a full gossip message for each receiver, as a share of a request's value; `None`: gossip is not
    /// allowed.
    pub gossip_cost: Option<f64>,
    zones: NameTable,
    machine_types: NameTable,
    /// Indexed by machine type.
    roles: Vec<Role>,
    /// Indexed by machine type, in tokens.
    kv_capacity_tokens: Vec<f64>,
}

impl Deployment {
    /// Resolves a settings object.
    ///
    /// # Errors
    ///
    /// A keyword is unknown: a class's `repeat` or `group`, `reporting.via`, or a role.
    pub fn new(object: &SettingsObject) -> Result<Self, ConfigError> {
        let family = object.family_info.clone().unwrap_or_default();
        let limits = object.limits.clone().unwrap_or_default();
        let rules = object.rules.clone().unwrap_or_default();
        let class_settings = object.classes.as_deref().unwrap_or_default();
        let tenant_settings = object.tenants.as_deref().unwrap_or_default();
        let deductions = object.deductions.clone().unwrap_or_default();
        let mut zones = NameTable::from_names(object.dcs.iter().flatten());
        let zone = match &object.zone {
            Some(name) => zones.intern(name),
            None => u32::MAX,
        };
        let settings = RoutingSettings {
            zone,
            classes: request_classes(class_settings, &family)?,
            tenants: tenant_settings.iter().map(tenant).collect(),
            load_reporting: load_reporting(object)?,
            cross_zone_cost: deductions.cross_zone.unwrap_or(0.0),
            ..routing_settings(object, &family, &limits, &rules)
        };
        let gossip_cost = if limits.peers == Some(true) {
            Some(deductions.peer.unwrap_or(0.0))
        } else {
            None
        };
        Ok(Deployment {
            settings,
            limits: dispatcher_limits(class_settings, &limits),
            classes: NameTable::from_names(class_settings.iter().map(|class| &class.name)),
            tenants: NameTable::from_names(tenant_settings.iter().map(|tenant| &tenant.name)),
            gossip_cost,
            zones,
            machine_types: NameTable::from_names(object.machine_types.iter().flatten()),
            roles: roles(&family)?,
            kv_capacity_tokens: family.tokens_by_kind.unwrap_or_default(),
        })
    }

    /// Returns this deployment adapted to replace the running one. A class whose settings are unchanged keeps its id;
    /// any other class gets an id that no class and no open request uses. Zones, machine types, roles and KV cache
    /// capacities remain those of `running` until a restart. `has_open_requests` returns whether a class id has open
    /// requests.
    ///
    /// # Errors
    ///
    /// All class ids are in use.
    pub fn replacing(
        mut self,
        running: &Deployment,
        has_open_requests: impl Fn(usize) -> bool,
    ) -> Result<Deployment, ConfigError> {
        let running_classes = &running.settings.classes;
        let mut classes: Vec<RequestClass> = running_classes.clone();
        for class in &mut classes {
            class.is_active = false;
        }
        let mut ids = Vec::new();
        for (name, class) in self.classes.names().iter().zip(&self.settings.classes) {
            let unchanged = running
                .classes
                .lookup(name)
                .filter(|id| running_classes[*id as usize] == *class);
            let id = match unchanged {
                Some(id) => id as usize,
                None => {
                    let is_free = |id: &usize| {
                        !classes[*id].is_active
                            && !has_open_requests(*id)
                            && !running_classes[*id].is_active
                    };
                    (0..running_classes.len())
                        .find(is_free)
                        .unwrap_or(classes.len())
                }
            };
            if id >= MAX_CLASSES {
                return Err(ConfigError::TooManyClasses);
            }
            match classes.get_mut(id) {
                Some(replaced) => *replaced = class.clone(),
                None => classes.push(class.clone()),
            }
            ids.push(id as u32);
        }
        self.classes = NameTable::from_ids(self.classes.names().iter().zip(ids));
        self.settings.classes = classes;
        self.settings.zone = running.settings.zone;
        self.zones = running.zones.clone();
        self.machine_types = running.machine_types.clone();
        self.roles = running.roles.clone();
        self.kv_capacity_tokens = running.kv_capacity_tokens.clone();
        Ok(self)
    }

    /// Returns the record of an endpoint with this id and machine type; without a name it has the first type. Its KV
    /// cache capacity is 0 if the settings have none. The caller assigns the number `endpoint`, and sets zone, cell,
    /// status and start time.
    ///
    /// # Errors
    ///
    /// The machine type is unknown or has no role.
    pub fn endpoint_record(
        &self,
        endpoint: EndpointId,
        id: &str,
        machine_type: Option<&str>,
    ) -> Result<EndpointRecord, ConfigError> {
        let machine_type = match machine_type {
            None => 0,
            Some(name) => match self.machine_types.lookup(name) {
                Some(index) => index as usize,
                None => {
                    return Err(ConfigError::UnknownMachineType {
                        machine_type: name.to_owned(),
                    })
                }
            },
        };
        let role = *self
            .roles
            .get(machine_type)
            .ok_or(ConfigError::MissingRole { machine_type })?;
        let kv_capacity_tokens = self.kv_capacity_tokens.get(machine_type);
        Ok(EndpointRecord {
            endpoint,
            key: fnv1a_hash(id),
            role,
            kv_capacity_tokens: kv_capacity_tokens.copied().unwrap_or(0.0),
            ..EndpointRecord::default()
        })
    }

    /// Returns the id of a zone. A new name gets the next id; `None` gives `u32::MAX`.
    pub fn zone_id(&mut self, name: Option<&str>) -> u32 {
        match name {
            Some(name) => self.zones.intern(name),
            None => u32::MAX,
        }
    }
}

/// Converts milliseconds to microseconds, rounded; a negative time becomes 0.
pub fn millis_to_micros(milliseconds: f64) -> Time {
    (milliseconds * 1000.0).round().max(0.0) as Time
}

fn millis_to_micros_or_zero(milliseconds: Option<f64>) -> Time {
    millis_to_micros(milliseconds.unwrap_or(0.0))
}

fn value_at(values: &Option<Vec<f64>>, index: usize) -> Option<f64> {
    values.as_ref()?.get(index).copied()
}

fn tenant(settings: &TenantSettings) -> Tenant {
    Tenant {
        requests_per_second: settings.quota_per_s.unwrap_or(0.0),
    }
}

/// Resolves the settings that are numbers or flags, which can't fail after validation. The fields that the caller must
/// fill in are left empty: zone, classes, tenants, load reporting and the cross-zone cost.
fn routing_settings(
    object: &SettingsObject,
    family: &FamilySettings,
    limits: &LimitSettings,
    rules: &RuleSettings,
) -> RoutingSettings {
    let max_retry_after = if limits.retry_after == Some(true) {
        millis_to_micros_or_zero(limits.max_retry_after)
    } else {
        0
    };
    RoutingSettings {
        dispatchers: object.balancers.unwrap_or(0),
        zone: u32::MAX,
        classes: Vec::new(),
        tenants: Vec::new(),
        over_quota_weight: object.over_share_worth.unwrap_or(0.0),
        load_reporting: LoadReporting::Never,
        must_poll_endpoints: object.membership_mode.as_deref() == Some("subscribe"),
        probes_allowed: limits.may_probe.unwrap_or(false),
        cancellation_allowed: limits.cancel.unwrap_or(false),
        hedging_allowed: limits.second_copies.unwrap_or(false),
        max_retry_after,
        max_attempts: limits.most_tries.unwrap_or(0),
        tick: millis_to_micros_or_zero(object.tick),
        response_slack: millis_to_micros_or_zero(rules.answer_slack),
        drain_grace: millis_to_micros_or_zero(rules.drain_grace),
        reservation_ttl: millis_to_micros_or_zero(family.release_within),
        slow_start_initial_share: rules.cold_from.unwrap_or(0.0),
        slow_start_duration: millis_to_micros_or_zero(rules.warm_within),
        overload_threshold: rules.tip_multiple.unwrap_or(0.0),
        overload_window: millis_to_micros_or_zero(rules.fall),
        cross_zone_cost: 0.0,
        kv_transfer_cost: family.move_fee.unwrap_or(0.0),
    }
}

fn dispatcher_limits(classes: &[ClassSettings], limits: &LimitSettings) -> DispatcherLimits {
    let deadlines = classes.iter().filter_map(|class| class.deadline);
    DispatcherLimits {
        connect_timeout: limits
            .dial_timeout
            .map_or(DEFAULT_CONNECT_TIMEOUT, millis_to_micros),
        endpoint_idle_timeout: limits
            .conn_idle
            .map_or(DEFAULT_ENDPOINT_IDLE_TIMEOUT, millis_to_micros),
        max_open_requests: limits.most_held.map_or(usize::MAX, |max| max as usize),
        max_deadline: deadlines.map(millis_to_micros).max().unwrap_or(Time::MAX),
    }
}

fn request_classes(
    classes: &[ClassSettings],
    family: &FamilySettings,
) -> Result<Vec<RequestClass>, ConfigError> {
    let mut resolved = Vec::with_capacity(classes.len());
    for (index, class) in classes.iter().enumerate() {
        let objective_per_1000_tokens_us = value_at(&family.aim_us_per_1000_prompt_tokens, index);
        resolved.push(RequestClass {
            ttft_objective: millis_to_micros_or_zero(class.aim),
            ttft_objective_per_1000_tokens: objective_per_1000_tokens_us
                .map_or(0, |us| us.max(0.0) as Time),
            inter_token_objective: millis_to_micros_or_zero(value_at(&family.token_aim, index)),
            priority_weight: class.worth.unwrap_or(0.0),
            idempotency: idempotency(index, class)?,
            is_active: true,
        });
    }
    Ok(resolved)
}

fn idempotency(index: usize, class: &ClassSettings) -> Result<Idempotency, ConfigError> {
    match class.repeat.as_deref() {
        Some("free") => Ok(Idempotency::Idempotent),
        None | Some("single_shot") => Ok(Idempotency::NonIdempotent),
        Some("guarded") => Ok(Idempotency::IdempotencyKey {
            scope: deduplication_scope(index, class)?,
            window: millis_to_micros_or_zero(class.key_ttl),
        }),
        Some(value) => Err(ConfigError::UnknownIdempotency {
            setting: format!("settings.classes[{index}].repeat"),
            value: value.to_owned(),
        }),
    }
}

/// Returns the scope that the class's `group` names. Without `group`, it is the narrowest one: the cell. `index` is the
/// class's position in the settings, for the error.
fn deduplication_scope(
    index: usize,
    class: &ClassSettings,
) -> Result<DeduplicationScope, ConfigError> {
    match class.group.as_deref() {
        Some("all") => Ok(DeduplicationScope::AllEndpoints),
        Some("zone") => Ok(DeduplicationScope::Zone),
        None | Some("cell") => Ok(DeduplicationScope::Cell),
        Some(value) => Err(ConfigError::UnknownDeduplicationScope {
            setting: format!("settings.classes[{index}].group"),
            value: value.to_owned(),
        }),
    }
}

fn load_reporting(object: &SettingsObject) -> Result<LoadReporting, ConfigError> {
    let reporting = object.reporting.as_ref();
    match reporting.and_then(|reporting| reporting.via.as_deref()) {
        Some("answers") => Ok(LoadReporting::WithResponses),
        Some("probe") => Ok(LoadReporting::WithProbes),
        None | Some("none") => Ok(LoadReporting::Never),
        Some(value) => Err(ConfigError::UnknownLoadReporting {
            value: value.to_owned(),
        }),
    }
}

fn roles(family: &FamilySettings) -> Result<Vec<Role>, ConfigError> {
    let names = family.role_by_kind.iter().flatten();
    names
        .enumerate()
        .map(|(index, name)| role(index, name))
        .collect()
}

fn role(machine_type: usize, name: &str) -> Result<Role, ConfigError> {
    match name {
        "read" => Ok(Role::Prefill),
        "write" => Ok(Role::Decode),
        "both" => Ok(Role::Mixed),
        _ => Err(ConfigError::UnknownRole {
            setting: format!("settings.family_info.role_by_kind[{machine_type}]"),
            value: name.to_owned(),
        }),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/config/deployment.rs"]
mod tests;
