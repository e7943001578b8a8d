//! The nodes' table: what the list says of each, what operators say, and what holds. It does no I/O: what follows
//! for connections is returned as commands.

use super::guard::EndpointTarget;
use super::messages::{Command, DiscoveredEndpoint};
use crate::dispatcher::bans::{BanError, BanList, BanRecords};
use crate::gossip;
use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use crate::variants::{breaks, Variant};
use slog::{debug, info, Logger};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// Addresses that one call is passed on to at the most: any node takes it, and all of a large fleet are not to be listed
/// for each.
const MOST_ADDRESSES: usize = 64;
/// EndpointChanges of a start takes no longer than this, by the protocol.
const NEWS_TAKES: Time = 6_000_000;
/// Of these, so many are the servers that were heard of last.
const MOST_HEARD: usize = 32;

/// A node of the table.
pub(super) struct Endpoint {
    pub name: Arc<str>,
    pub address: Arc<str>,
    pub role: Role,
    pub state: EndpointStatus, // what holds: operators' word comes before the list's
    pub listed: EndpointRecord, // what the list says
    listed_start: Option<Time>, // when it started, as the list has it
    back_at: Option<Time>,     // when operators let it be used again
    past: Option<Arc<str>>,    // where it was before it moved
}

impl Endpoint {
    /// What the module is told: one that is out of use drains, and one that is back has started then.
    pub fn entry(&self) -> EndpointRecord {
        EndpointRecord {
            status: self.state,
            started_at: self.listed.started_at.max(self.back_at),
            ..self.listed.clone()
        }
    }
}

/// What a change of the table means for others.
#[derive(Default)]
pub(super) struct EndpointChanges {
    /// For the module.
    pub entries: Vec<EndpointRecord>,
    /// Those that are in another state or place than before, by name.
    pub noted: Vec<(Arc<str>, EndpointRecord)>,
}

/// The table. Numbers name nodes to the module; a number is used once.
#[derive(Default)]
pub(super) struct EndpointTable {
    numbers: HashMap<Arc<str>, EndpointId>,
    hashed: HashMap<u32, BTreeSet<EndpointId>>, // by what other dispatchers know them by
    next_number: EndpointId,
    nodes: BTreeMap<EndpointId, Endpoint>,
    barred: HashSet<Arc<str>>, // addresses to which nothing new may go, as was last commanded
    has_list: bool,
    bans: BanList,
    bans_changed: bool,
    heard: BTreeSet<(Time, EndpointId)>, // when each server was last heard of
    heard_at: HashMap<EndpointId, Time>,
}

impl EndpointTable {
    pub fn get(&self, server: EndpointId) -> Option<&Endpoint> {
        self.nodes.get(&server)
    }

    /// Those of the list, and those that are gone and still have attempts out.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether one that is not of this role could be used.
    pub fn any_ready(&self, spared: Role) -> bool {
        self.nodes
            .values()
            .any(|it| it.state == EndpointStatus::Ready && it.role != spared)
    }

    /// The one node that others know by this hash; none where two share it.
    pub fn by_hash(&self, hash: u32) -> Option<EndpointId> {
        let named = self.hashed.get(&hash).filter(|named| named.len() == 1)?;
        named.first().copied()
    }

    /// What the rules ask of a server; `None` where it is not known.
    pub fn target(&self, server: EndpointId) -> Option<EndpointTarget> {
        let node = self.nodes.get(&server)?;
        Some(EndpointTarget {
            role: node.role,
            zone: node.listed.zone,
            cell: node.listed.cell,
            state: node.state,
        })
    }

    /// A server has answered something: it runs.
    pub fn heard_from(&mut self, now: Time, server: EndpointId) {
        if !self.nodes.contains_key(&server) {
            return;
        }
        if let Some(before) = self.heard_at.insert(server, now) {
            self.heard.remove(&(before, server));
        }
        self.heard.insert((now, server));
    }

    /// Where something may be passed on for a request: the servers heard of last, for they are the likeliest to run; then those
    /// where it was tried, in that order; then some others.
    pub fn addresses(&self, tried: impl Iterator<Item = EndpointId>) -> Vec<Arc<str>> {
        let heard = self
            .heard
            .iter()
            .rev()
            .map(|(_, server)| *server)
            .take(MOST_HEARD);
        let known = heard
            .chain(tried)
            .filter_map(|server| self.nodes.get(&server));
        let rest = self
            .nodes
            .values()
            .filter(|node| node.state == EndpointStatus::Ready);
        let mut seen = HashSet::new();
        let known = known
            .chain(rest)
            .filter(|node| node.state != EndpointStatus::Removed);
        let addresses = known
            .map(|node| &node.address)
            .filter(|address| seen.insert(*address));
        addresses.take(MOST_ADDRESSES).cloned().collect()
    }

    /// Gives a member of which only the state could be read the rest, as it was told before; false where nothing was.
    fn complement(&self, member: &mut DiscoveredEndpoint) -> bool {
        let Some(node) = self
            .numbers
            .get(&member.id)
            .and_then(|it| self.nodes.get(it))
        else {
            return false;
        };
        member.address = node.address.clone();
        member.record = EndpointRecord {
            status: member.record.status,
            ..node.listed.clone()
        };
        true
    }

    /// When a server started, by this process's clock: it is told in Unix time, and a wall clock may have been stepped, there or
    /// here. A start of which a list tells that had another one before, or none, came at most so long before as news may take.
    fn started_at(&self, now: Time, before: Option<&Endpoint>, told: Option<Time>) -> Option<Time> {
        let told = told?;
        let same = before.filter(|node| node.listed_start == Some(told));
        if let Some(node) = same {
            return node.listed.started_at;
        }
        let earliest = if self.has_list {
            now.saturating_sub(NEWS_TAKES)
        } else {
            0
        };
        Some(told.clamp(earliest, now))
    }

    /// What the list says now: all of it, or what has changed.
    pub fn list(
        &mut self,
        now: Time,
        complete: bool,
        members: Vec<DiscoveredEndpoint>,
        log: &Logger,
    ) -> EndpointChanges {
        let mut news = EndpointChanges::default();
        let mut named = HashSet::new();
        for mut member in members {
            if member.is_partial && !self.complement(&mut member) {
                continue;
            }
            let DiscoveredEndpoint {
                id: name,
                address,
                record: mut entry,
                is_partial: partial,
            } = member;
            let server = *self.numbers.entry(name.clone()).or_insert_with(|| {
                self.next_number += 1;
                self.next_number - 1
            });
            named.insert(server);
            entry.endpoint = server;
            let before = self.nodes.remove(&server);
            let back_at = before
                .as_ref()
                .and_then(|it| it.back_at)
                .max(self.bans.ended_at(&name));
            let state = self.state_of(&name, entry.status);
            let role = entry.role;
            let moved = before
                .as_ref()
                .filter(|it| it.address != address)
                .map(|it| it.address.clone());
            if moved.is_some() {
                debug!(log, "a node has moved"; "server" => server, "address" => %address);
            }
            let past = moved.or_else(|| before.as_ref().and_then(|it| it.past.clone()));
            let told = entry.started_at;
            // Of one that leaves only that could be read: its start is as it was.
            let listed_start = if partial {
                before.as_ref().and_then(|it| it.listed_start)
            } else {
                told
            };
            if !partial {
                entry.started_at = self.started_at(now, before.as_ref(), told);
            }
            let address_here = address.clone();
            let node = Endpoint {
                name,
                address: address_here,
                role,
                state,
                listed: entry,
                listed_start,
                back_at,
                past,
            };
            let entry = node.entry();
            if before
                .as_ref()
                .is_none_or(|it| it.state != state || it.address != address)
            {
                debug!(log, "a node's state"; "server" => server, "name" => %node.name,
                    "address" => %address, "role" => ?role, "state" => ?state, "started" => ?node.listed.started_at);
                news.noted.push((node.name.clone(), entry.clone()));
            }
            self.hashed
                .entry(gossip::endpoint_hash(entry.key))
                .or_default()
                .insert(server);
            self.nodes.insert(server, node);
            news.entries.push(entry);
        }
        self.has_list = true;
        if complete {
            for (_, node) in self
                .nodes
                .iter_mut()
                .filter(|(server, _)| !named.contains(server))
            {
                (node.listed.status, node.state) =
                    (EndpointStatus::Removed, EndpointStatus::Removed);
            }
        }
        news
    }

    /// What has changed for connections: nothing new goes to the address of a node that is to get nothing, nor to one
    /// that a node has left, unless one that may be used is there now.
    pub fn bars(&mut self) -> Vec<Command> {
        let ready = |node: &&Endpoint| node.state == EndpointStatus::Ready;
        let left = self
            .nodes
            .values()
            .filter(|it| !ready(it))
            .map(|it| &it.address);
        let past = self.nodes.values().filter_map(|it| it.past.as_ref());
        let mut barred: HashSet<Arc<str>> = left.chain(past).cloned().collect();
        for node in self.nodes.values().filter(ready) {
            barred.remove(&node.address);
        }
        let before = std::mem::replace(&mut self.barred, barred);
        let changed = |from: &HashSet<Arc<str>>, to: &HashSet<Arc<str>>, barred| {
            let mut changed: Vec<Arc<str>> = to.difference(from).cloned().collect();
            changed.sort();
            changed
                .into_iter()
                .map(move |address| Command::BlockAddress {
                    address,
                    is_blocked: barred,
                })
        };
        changed(&before, &self.barred, true)
            .chain(changed(&self.barred, &before, false))
            .collect()
    }

    /// The state that holds, by what the list says.
    fn state_of(&self, name: &str, listed: EndpointStatus) -> EndpointStatus {
        match listed {
            EndpointStatus::Draining if breaks(Variant::Drain) => EndpointStatus::Ready,
            EndpointStatus::Ready if self.bans.is_banned(name) => EndpointStatus::Draining,
            other => other,
        }
    }

    /// An operator takes a node out of use, or back; no news where that holds already.
    pub fn ban(
        &mut self,
        now: Time,
        name: Arc<str>,
        banned: bool,
        log: &Logger,
    ) -> Result<EndpointChanges, BanError> {
        let listed = self.numbers.contains_key(&name);
        if !self.bans.set(now, &name, banned, listed)? {
            return Ok(EndpointChanges::default());
        }
        self.bans_changed = true;
        Ok(self.banned(&[name], log))
    }

    /// What another process of this dispatcher knows of nodes that are out of use.
    pub fn merge(&mut self, now: Time, marks: &BanRecords, log: &Logger) -> EndpointChanges {
        let changed = self.bans.merge(now, marks);
        self.bans_changed |= !changed.is_empty();
        self.banned(&changed, log)
    }

    /// Operators have taken these out of use, or back.
    fn banned(&mut self, names: &[Arc<str>], log: &Logger) -> EndpointChanges {
        let mut news = EndpointChanges::default();
        for name in names {
            let banned = self.bans.is_banned(name);
            info!(log, "operators' word on a replica"; "name" => %name, "banned" => banned);
            let Some(server) = self.numbers.get(name) else {
                continue;
            };
            let state = self
                .nodes
                .get(server)
                .map(|node| self.state_of(name, node.listed.status));
            let (Some(node), Some(state)) = (self.nodes.get_mut(server), state) else {
                continue;
            };
            node.state = state;
            node.back_at = node.back_at.max(self.bans.ended_at(name));
            let entry = node.entry();
            news.noted.push((name.clone(), entry.clone()));
            news.entries.push(entry);
        }
        news
    }

    /// What operators have said, where that is new since the last call.
    pub fn new_marks(&mut self) -> Option<BanRecords> {
        std::mem::take(&mut self.bans_changed).then(|| self.bans.records().clone())
    }

    /// Lets go of nodes that are gone and have no attempt out: names and addresses are ever new, and the table
    /// must not grow with them. Their bars go too, for nothing can be sent to a node that is not in the table.
    pub fn forget_gone(&mut self, busy: &HashSet<EndpointId>) -> Vec<EndpointId> {
        let over = |(server, node): &(&EndpointId, &Endpoint)| {
            node.state == EndpointStatus::Removed && !busy.contains(server)
        };
        let over: Vec<EndpointId> = self
            .nodes
            .iter()
            .filter(over)
            .map(|(server, _)| *server)
            .collect();
        for server in &over {
            let Some(node) = self.nodes.remove(server) else {
                continue;
            };
            if let Some(at) = self.heard_at.remove(server) {
                self.heard.remove(&(at, *server));
            }
            self.numbers.remove(&node.name);
            let hash = gossip::endpoint_hash(node.listed.key);
            let named = self.hashed.get_mut(&hash).is_some_and(|named| {
                named.remove(server);
                !named.is_empty()
            });
            if !named {
                self.hashed.remove(&hash);
            }
            self.bans.on_endpoint_removed(node.name);
        }
        over
    }
}

#[cfg(test)]
#[path = "../../tests/unit/dispatcher/endpoint_table.rs"]
mod tests;
