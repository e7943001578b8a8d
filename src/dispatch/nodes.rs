//! The nodes' table: what the list says of each, what operators say, and what holds. It does no I/O: what follows
//! for connections is returned as commands.

use super::messages::{Command, Member};
use crate::api::{Entry, Role, ServerId, State, Time};
use crate::bans::{Bans, Marks, Refusal};
use crate::hearsay;
use slog::{debug, info, Logger};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

/// A node of the table.
pub(super) struct Node {
    pub name: Arc<str>,
    pub address: Arc<str>,
    pub role: Role,
    pub state: State,      // what holds: operators' word comes before the list's
    pub listed: Entry,     // what the list says
    back_at: Option<Time>, // when operators let it be used again
}

impl Node {
    /// What the module is told: one that is out of use drains, and one that is back has started then.
    pub fn entry(&self) -> Entry {
        Entry { state: self.state, started: self.listed.started.max(self.back_at), ..self.listed.clone() }
    }
}

/// What a change of the table means for others.
#[derive(Default)]
pub(super) struct News {
    /// For the module.
    pub entries: Vec<Entry>,
    /// Those that are in another state or place than before, by name.
    pub noted: Vec<(Arc<str>, Entry)>,
    /// For connections.
    pub commands: Vec<Command>,
}

impl News {
    fn bar(&mut self, address: &Arc<str>, barred: bool) {
        self.commands.push(Command::Bar { address: address.clone(), barred });
    }
}

/// The table. Numbers name nodes to the module; a number is used once.
#[derive(Default)]
pub(super) struct Nodes {
    numbers: HashMap<Arc<str>, ServerId>,
    next_number: ServerId,
    nodes: BTreeMap<ServerId, Node>,
    bans: Bans,
    bans_changed: bool,
}

impl Nodes {
    pub fn get(&self, server: ServerId) -> Option<&Node> {
        self.nodes.get(&server)
    }

    /// Those of the list, and those that are gone and still have attempts out.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether one that is not of this role could be used.
    pub fn any_ready(&self, spared: Role) -> bool {
        self.nodes.values().any(|it| it.state == State::Ready && it.role != spared)
    }

    /// The one node that others know by this hash; none where two share it.
    pub fn by_hash(&self, hash: u32) -> Option<ServerId> {
        let mut named = self.nodes.iter().filter(|(_, it)| hearsay::key(it.listed.key) == hash);
        match (named.next(), named.next()) {
            (Some((server, _)), None) => Some(*server),
            _ => None,
        }
    }

    /// Where something may be passed on for a request: where it was tried, in that order, then any other.
    pub fn addresses(&self, tried: impl Iterator<Item = ServerId>) -> Vec<Arc<str>> {
        let tried = tried.filter_map(|server| self.nodes.get(&server));
        let rest = self.nodes.values().filter(|node| node.state == State::Ready);
        let mut addresses: Vec<Arc<str>> = Vec::new();
        for node in tried.chain(rest).filter(|node| node.state != State::Gone) {
            if !addresses.contains(&node.address) {
                addresses.push(node.address.clone());
            }
        }
        addresses
    }

    /// Gives a member of which only the state could be read the rest, as it was told before; false where nothing was.
    fn complement(&self, member: &mut Member) -> bool {
        let Some(node) = self.numbers.get(&member.name).and_then(|it| self.nodes.get(it)) else {
            return false;
        };
        member.address = node.address.clone();
        member.entry = Entry { state: member.entry.state, ..node.listed.clone() };
        true
    }

    /// What the list says now: all of it, or what has changed.
    pub fn list(&mut self, complete: bool, members: Vec<Member>, log: &Logger) -> News {
        let mut news = News::default();
        let mut named = HashSet::new();
        for mut member in members {
            if member.partial && !self.complement(&mut member) {
                continue;
            }
            let Member { name, address, mut entry, .. } = member;
            let server = *self.numbers.entry(name.clone()).or_insert_with(|| {
                self.next_number += 1;
                self.next_number - 1
            });
            named.insert(server);
            entry.server = server;
            let before = self.nodes.remove(&server);
            let back_at = before.as_ref().and_then(|it| it.back_at).max(self.bans.ended(&name));
            let state = self.state_of(&name, entry.state);
            let role = entry.role;
            let node = Node { name, address: address.clone(), role, state, listed: entry, back_at };
            if before.as_ref().is_some_and(|it| it.address != address) {
                debug!(log, "a node has moved"; "server" => server, "address" => %address);
            }
            let entry = node.entry();
            if before.as_ref().is_none_or(|it| it.state != state || it.address != address) {
                debug!(log, "a node's state"; "server" => server, "name" => %node.name,
                    "address" => %address, "role" => ?role, "state" => ?state, "started" => ?node.listed.started);
                news.bar(&address, state != State::Ready);
                news.noted.push((node.name.clone(), entry.clone()));
            }
            self.nodes.insert(server, node);
            news.entries.push(entry);
        }
        if complete {
            for (_, node) in self.nodes.iter_mut().filter(|(server, _)| !named.contains(server)) {
                node.listed.state = State::Gone;
                if std::mem::replace(&mut node.state, State::Gone) != State::Gone {
                    news.bar(&node.address, true);
                }
            }
        }
        news
    }

    /// A node that took over an address must not inherit the bar of the one that left it.
    pub fn unbar_ready(&self) -> Vec<Command> {
        let ready = self.nodes.values().filter(|node| node.state == State::Ready);
        ready.map(|node| Command::Bar { address: node.address.clone(), barred: false }).collect()
    }

    /// The state that holds, by what the list says.
    fn state_of(&self, name: &str, listed: State) -> State {
        match listed {
            State::Ready if self.bans.is_banned(name) => State::Draining,
            other => other,
        }
    }

    /// An operator takes a node out of use, or back; no news where that holds already.
    pub fn ban(&mut self, now: Time, name: Arc<str>, banned: bool, log: &Logger) -> Result<News, Refusal> {
        let listed = self.numbers.contains_key(&name);
        if !self.bans.call(now, &name, banned, listed)? {
            return Ok(News::default());
        }
        self.bans_changed = true;
        Ok(self.banned(&[name], log))
    }

    /// What another process of this dispatcher knows of nodes that are out of use.
    pub fn merge(&mut self, now: Time, marks: &Marks, log: &Logger) -> News {
        let changed = self.bans.merge(now, marks);
        self.bans_changed |= !changed.is_empty();
        self.banned(&changed, log)
    }

    /// Operators have taken these out of use, or back.
    fn banned(&mut self, names: &[Arc<str>], log: &Logger) -> News {
        let mut news = News::default();
        for name in names {
            let banned = self.bans.is_banned(name);
            info!(log, "operators' word on a replica"; "name" => %name, "banned" => banned);
            let Some(server) = self.numbers.get(name) else { continue };
            let state = self.nodes.get(server).map(|node| self.state_of(name, node.listed.state));
            let (Some(node), Some(state)) = (self.nodes.get_mut(server), state) else { continue };
            node.state = state;
            node.back_at = node.back_at.max(self.bans.ended(name));
            let entry = node.entry();
            news.noted.push((name.clone(), entry.clone()));
            news.entries.push(entry);
            news.bar(&node.address, state != State::Ready);
        }
        news
    }

    /// What operators have said, where that is new since the last call.
    pub fn new_marks(&mut self) -> Option<Marks> {
        std::mem::take(&mut self.bans_changed).then(|| self.bans.marks().clone())
    }

    /// Lets go of nodes that are gone and have no attempt out: names and addresses are ever new, and the table
    /// must not grow with them. The bar goes too, for nothing can be sent to a node that is not in the table.
    pub fn forget_gone(&mut self, busy: &HashSet<ServerId>) -> (Vec<ServerId>, Vec<Command>) {
        let over = |(server, node): &(&ServerId, &Node)| node.state == State::Gone && !busy.contains(server);
        let over: Vec<ServerId> = self.nodes.iter().filter(over).map(|(server, _)| *server).collect();
        let mut commands = Vec::new();
        for server in &over {
            let Some(node) = self.nodes.remove(server) else { continue };
            self.numbers.remove(&node.name);
            self.bans.has_left(node.name);
            if self.nodes.values().all(|other| other.address != node.address) {
                commands.push(Command::Bar { address: node.address, barred: false });
            }
        }
        (over, commands)
    }
}
