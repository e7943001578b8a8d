//! Which servers are looked at for a choice. Pure: no I/O, no clock, and all draws are hashes of what the caller gives.
//!
//! A choice that judges every server costs as much as the fleet is large. In a fleet of up to [`WHOLE`] servers all are
//! looked at. In a larger one a choice looks at a bounded number of candidates: the servers that are likely to be best
//! by what they keep or where they are, and some that are drawn at random, so that load is evened out by the best of
//! several. Where none of them will do the caller asks for a wider look, up to all servers.
//!
//! The index follows each change of the list of servers. `docs/candidates.md` has the reasons and the figures.

use crate::routing::api::{EndpointId, EndpointRecord, EndpointStatus, Role, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Up to so many servers that take work, all are looked at.
pub const WHOLE: usize = 128;
/// A wider look has so many times as many candidates.
const WIDEN: usize = 4;
/// Readers drawn from the dispatcher's own zone, and from all zones.
const READERS_NEAR: usize = 4;
const READERS_ANYWHERE: usize = 2;
/// Writers of the rack that holds a state, drawn from the own zone, and from all zones.
const WRITERS_IN_CELL: usize = 8;
const WRITERS_NEAR: usize = 8;
const WRITERS_ANYWHERE: usize = 4;
/// Cold servers of which one request may draw a lot.
const COLD: usize = 8;
/// Readers of a zone that are homes of a shared text ...
const HOMES_LEAST: f64 = 2.0;
/// ... and this many times its part of the traffic, of all readers.
const HOMES_SPREAD: f64 = 2.0;
/// A reader's rank falls with this power of the part of it that is warm.
const COLD_HOME: f64 = 1.5;
/// Readers that are ranked for the homes of a text: the more, the more evenly texts are spread over readers.
const HOME_WINDOW: usize = 16;
/// Homes of a shared text that one conversation looks at: one with very many homes has others for each conversation.
const HOMES_MOST: usize = 4;

/// The side of a server that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Reads prompts.
    Read,
    /// Writes answers.
    Write,
}

/// A server that takes work, as the index knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexedEndpoint {
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// The same number for this server at every dispatcher.
    pub key: u64,
    /// It is cold before this moment.
    pub warm_at: Time,
}

impl Side {
    /// The side that writes, or the one that reads.
    pub fn of(writes: bool) -> Side {
        match writes {
            true => Side::Write,
            false => Side::Read,
        }
    }
}

impl IndexedEndpoint {
    fn is_of(&self, side: Side) -> bool {
        self.role
            != if side == Side::Read {
                Role::Decode
            } else {
                Role::Prefill
            }
    }
}

/// Servers in an order that is the same at every dispatcher: by a hash of their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Ring(Vec<(u64, EndpointId)>);

impl Ring {
    fn set(&mut self, key: u64, server: EndpointId, listed: bool) {
        let place = (point(key), server);
        match (self.0.binary_search(&place), listed) {
            (Err(at), true) => self.0.insert(at, place),
            (Ok(at), false) => drop(self.0.remove(at)),
            _ => {}
        }
    }

    fn len(&self) -> usize {
        self.0.len()
    }

    /// So many servers in a row, from the first one behind a point on.
    fn window(&self, from: u64, count: usize) -> impl Iterator<Item = EndpointId> + '_ {
        let first = self.0.partition_point(|(at, _)| *at < from);
        self.run(first, count)
    }

    fn run(&self, first: usize, count: usize) -> impl Iterator<Item = EndpointId> + '_ {
        let count = count.min(self.len());
        (first..first + count).map(|at| self.0[at % self.len()].1)
    }

    /// About so many servers, drawn evenly; a larger sample of the same seed holds the smaller ones.
    fn sample(&self, seed: u64, count: usize) -> Vec<EndpointId> {
        if count >= self.len() {
            return self.run(0, count).collect();
        }
        let draw = |number: u64| (mix(seed, number) % self.len() as u64) as usize;
        (1..=count as u64)
            .map(|number| self.0[draw(number)].1)
            .collect()
    }
}

/// The servers of one side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RolePool {
    all: Ring,
    cold: Ring,
    zones: BTreeMap<u32, Ring>,
    cells: BTreeMap<u32, Ring>,
}

impl RolePool {
    fn set(&mut self, server: EndpointId, listing: &IndexedEndpoint, listed: bool) {
        self.all.set(listing.key, server, listed);
        for (rings, at) in [
            (&mut self.zones, listing.zone),
            (&mut self.cells, listing.cell),
        ] {
            let ring = rings.entry(at).or_default();
            ring.set(listing.key, server, listed);
            if ring.len() == 0 {
                rings.remove(&at);
            }
        }
    }
}

/// What a look is for.
#[derive(Clone, Copy, Debug)]
pub struct CandidateQuery {
    /// The dispatcher's zone.
    pub zone: u32,
    /// Settles the draws: one number for each request.
    pub seed: u64,
    /// How often the look was widened.
    pub widened: u32,
}

impl CandidateQuery {
    fn of(&self, count: usize) -> usize {
        count.saturating_mul(WIDEN.saturating_pow(self.widened))
    }
}

/// The index. Two that were told the same list are equal, whatever came before.
#[derive(Clone, Debug)]
pub struct CandidateIndex {
    now: Time,
    whole: usize,
    listings: BTreeMap<EndpointId, IndexedEndpoint>,
    read: RolePool,
    write: RolePool,
    warming: BTreeSet<(Time, EndpointId)>,
}

impl Default for CandidateIndex {
    fn default() -> Self {
        CandidateIndex {
            now: 0,
            whole: WHOLE,
            listings: BTreeMap::new(),
            read: RolePool::default(),
            write: RolePool::default(),
            warming: BTreeSet::new(),
        }
    }
}

impl CandidateIndex {
    /// From now on all are looked at in fleets of up to so many servers.
    pub fn look_at_all_up_to(&mut self, servers: usize) {
        self.whole = servers;
    }

    fn group(&self, side: Side) -> &RolePool {
        match side {
            Side::Read => &self.read,
            Side::Write => &self.write,
        }
    }

    /// A server is as this line of the list says; it is warm so long after its start.
    pub fn update(&mut self, now: Time, entry: &EndpointRecord, warm_within: Time) {
        let EndpointRecord {
            endpoint: server,
            role,
            zone,
            cell,
            key,
            started_at: started,
            ..
        } = *entry;
        let warm_at = started.map_or(0, |it| it.saturating_add(warm_within.max(1)));
        let listing = IndexedEndpoint {
            role,
            zone,
            cell,
            key,
            warm_at,
        };
        self.set(
            now,
            server,
            (entry.status == EndpointStatus::Ready).then_some(listing),
        );
    }

    /// A server takes work and is as listed, or takes none.
    fn set(&mut self, now: Time, server: EndpointId, listing: Option<IndexedEndpoint>) {
        if self.listings.get(&server) == listing.as_ref() {
            return;
        }
        if let Some(old) = self.listings.remove(&server) {
            self.warming.remove(&(old.warm_at, server));
            self.set_in_groups(server, &old, false);
            self.set_cold(server, &old, false);
        }
        let Some(new) = listing else { return };
        self.set_in_groups(server, &new, true);
        if now < new.warm_at {
            self.warming.insert((new.warm_at, server));
            self.set_cold(server, &new, true);
        }
        self.listings.insert(server, new);
    }

    fn set_in_groups(&mut self, server: EndpointId, listing: &IndexedEndpoint, listed: bool) {
        for (side, group) in [(Side::Read, &mut self.read), (Side::Write, &mut self.write)] {
            if listing.is_of(side) {
                group.set(server, listing, listed);
            }
        }
    }

    fn set_cold(&mut self, server: EndpointId, listing: &IndexedEndpoint, cold: bool) {
        for (side, group) in [(Side::Read, &mut self.read), (Side::Write, &mut self.write)] {
            if listing.is_of(side) {
                group.cold.set(listing.key, server, cold);
            }
        }
    }

    /// Time has passed: servers have become warm.
    pub fn advance_to(&mut self, now: Time) {
        self.now = now;
        while let Some((warm_at, server)) =
            self.warming.first().copied().filter(|(at, _)| *at <= now)
        {
            self.warming.remove(&(warm_at, server));
            if let Some(listing) = self.listings.get(&server).cloned() {
                self.set_cold(server, &listing, false);
            }
        }
    }

    /// How many servers bear the load of a side: the warm ones, or where there are none all; and whether any is warm.
    pub fn bearing(&self, side: Side) -> (f64, bool) {
        let group = self.group(side);
        let warm = group.all.len() - group.cold.len();
        (
            if warm > 0 {
                warm
            } else {
                group.all.len().max(1)
            } as f64,
            warm > 0,
        )
    }

    /// Whether a look of this kind has all servers.
    pub fn covers_all(&self, side: Side, look: &CandidateQuery) -> bool {
        let drawn = look.of(READERS_NEAR.min(WRITERS_NEAR));
        self.listings.len() <= self.whole || drawn >= self.group(side).all.len()
    }

    /// Readers that are homes of a shared text, and the one that is home of a conversation: all dispatchers rank readers
    /// alike by a hash of the text, so that it comes back to the same ones. `share` is the text's part of the traffic,
    /// `warm` the part of a server's capacity that it has: a cold reader is home to what it can take. A zone with too few
    /// readers has further homes in the others.
    pub fn prefix_affinity(
        &self,
        look: &CandidateQuery,
        prefix: Option<u64>,
        session: Option<u64>,
        share: f64,
        warm: impl Fn(EndpointId) -> f64,
    ) -> (Vec<EndpointId>, Option<EndpointId>) {
        let rank = |text, server: &EndpointId| {
            let Some(listing) = self.listings.get(server) else {
                return 0;
            };
            let even = (mix(text, listing.key) >> 12) as f64 + 0.5;
            let warm = if listing.warm_at <= self.now {
                1.0
            } else {
                warm(*server)
            };
            let rank = warm.powf(COLD_HOME) / (((1u64 << 52) as f64).ln() - even.ln());
            rank.to_bits() // as a number it is in the same order, for it is never negative
        };
        let readers = self.read.zones.get(&look.zone).map_or(0, Ring::len);
        let wanted = (HOMES_LEAST + HOMES_SPREAD * share * readers as f64) as usize;
        let mut homes = self.home_pool(look, prefix.or(session), session, wanted);
        let mut far = Vec::new();
        if readers < HOMES_LEAST as usize {
            far = self.far_home_pool(look, prefix.or(session));
        }
        if let Some(prefix) = prefix {
            let best_first = |pool: &mut Vec<EndpointId>| {
                pool.sort_by_cached_key(|server| Reverse(rank(prefix, server)));
            };
            [&mut homes, &mut far].into_iter().for_each(best_first);
            homes.truncate(wanted);
            far.truncate((HOMES_LEAST as usize).saturating_sub(homes.len()));
        }
        let own = if homes.is_empty() { &far } else { &homes };
        let home =
            session.and_then(|session| own.iter().max_by_key(|it| rank(session, it)).copied());
        homes.extend(far);
        (homes, home)
    }

    /// Readers of the own zone among which homes are ranked, where `wanted` of them are to be homes. All dispatchers have
    /// the same ones, but for a text with very many homes: each conversation has its own part of those.
    fn home_pool(
        &self,
        look: &CandidateQuery,
        text: Option<u64>,
        session: Option<u64>,
        wanted: usize,
    ) -> Vec<EndpointId> {
        if self.listings.len() <= self.whole {
            return self.all(Side::Read, |it| it.zone == look.zone);
        }
        let (Some(ring), Some(text)) = (self.read.zones.get(&look.zone), text) else {
            return Vec::new();
        };
        if wanted <= HOMES_MOST {
            return ring.window(point(text), HOME_WINDOW).collect();
        }
        let homes: Vec<EndpointId> = ring.window(point(text), wanted).collect();
        let draw = |number| mix(session.unwrap_or(look.seed), number) % homes.len().max(1) as u64;
        let drawn: BTreeSet<u64> = (0..HOMES_MOST as u64).map(draw).collect();
        drawn
            .into_iter()
            .filter_map(|at| homes.get(at as usize).copied())
            .collect()
    }

    /// The same among readers of other zones.
    fn far_home_pool(&self, look: &CandidateQuery, text: Option<u64>) -> Vec<EndpointId> {
        if self.listings.len() <= self.whole {
            return self.all(Side::Read, |it| it.zone != look.zone);
        }
        let Some(text) = text else { return Vec::new() };
        let is_far = |server: &EndpointId| {
            self.listings
                .get(server)
                .is_some_and(|it| it.zone != look.zone)
        };
        self.read
            .all
            .window(point(text), HOME_WINDOW)
            .filter(is_far)
            .collect()
    }

    /// What a lot of a request at a cold server is to be multiplied by, so that each cold server is sent as much as if
    /// every request drew a lot at every one: a request draws lots only at a few of them.
    pub fn slow_start_sampling_factor(
        &self,
        side: Side,
        look: &CandidateQuery,
        server: EndpointId,
    ) -> f64 {
        let group = self.group(side);
        let count = group.cold.len();
        if self.listings.len() <= self.whole || count <= COLD {
            return 1.0;
        }
        let Some(listing) = self.listings.get(&server) else {
            return f64::MAX;
        };
        let Ok(at) = group.cold.0.binary_search(&(point(listing.key), server)) else {
            return f64::MAX;
        };
        let behind = (at + count - cold_start(group, look.seed)) % count;
        if behind < COLD {
            COLD as f64 / count as f64
        } else {
            f64::MAX
        }
    }

    /// CandidateIndex for a read: those that are likely to keep its texts, and some that are drawn. In order, each once.
    pub fn readers(
        &self,
        look: &CandidateQuery,
        mut likely: BTreeSet<EndpointId>,
    ) -> Vec<EndpointId> {
        if self.covers_all(Side::Read, look) {
            return self.all(Side::Read, |_| true);
        }
        likely.extend(self.drawn(Side::Read, look, READERS_NEAR, READERS_ANYWHERE));
        likely.into_iter().collect()
    }

    /// CandidateIndex for a write where the state is in one of these cells. In order, each once.
    pub fn writers(&self, look: &CandidateQuery, cells: &BTreeSet<u32>) -> Vec<EndpointId> {
        if self.covers_all(Side::Write, look) {
            return self.all(Side::Write, |_| true);
        }
        let mut found = self.drawn(Side::Write, look, WRITERS_NEAR, WRITERS_ANYWHERE);
        let rings = cells.iter().filter_map(|cell| self.write.cells.get(cell));
        found.extend(rings.flat_map(|ring| ring.sample(look.seed, look.of(WRITERS_IN_CELL))));
        found.into_iter().collect()
    }

    /// Servers that are drawn: from the own zone, from all, and cold ones at which a lot may be drawn.
    fn drawn(
        &self,
        side: Side,
        look: &CandidateQuery,
        near: usize,
        anywhere: usize,
    ) -> BTreeSet<EndpointId> {
        let group = self.group(side);
        let near = group
            .zones
            .get(&look.zone)
            .map(|ring| ring.sample(look.seed, look.of(near)));
        let mut found: BTreeSet<EndpointId> = near.into_iter().flatten().collect();
        found.extend(group.all.sample(mix(look.seed, 0), look.of(anywhere)));
        found.extend(group.cold.run(cold_start(group, look.seed), COLD));
        found
    }

    /// All servers of a side of which this holds, in order.
    fn all(&self, side: Side, holds: impl Fn(&IndexedEndpoint) -> bool) -> Vec<EndpointId> {
        let all = self
            .listings
            .iter()
            .filter(|(_, it)| it.is_of(side) && holds(it));
        all.map(|(server, _)| *server).collect()
    }
}

/// The place in the order of cold servers at which a request's lots begin.
fn cold_start(group: &RolePool, seed: u64) -> usize {
    (mix(seed, u64::MAX) % group.cold.len().max(1) as u64) as usize
}

/// A point on the ring.
fn point(key: u64) -> u64 {
    mix(key, 0)
}

/// Scatters a pair of numbers evenly, such as a text's key and a server's.
pub fn mix(text: u64, server: u64) -> u64 {
    let mut mixed = text ^ server.rotate_left(32);
    for _ in 0..2 {
        mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    }
    mixed ^ (mixed >> 29)
}

#[cfg(test)]
#[path = "../../tests/unit/routing/candidate_index.rs"]
mod tests;
