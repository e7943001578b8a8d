//! The request table: what is known of each request from its arrival until all of it is over.

use super::messages::{Answer, Work};
use super::reasons::EndReason;
use crate::api::{Ask, RequestId, Role, ServerId, Status, Time};
use bytes::Bytes;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::sync::Arc;
use tokio::sync::oneshot;

/// A state that nobody asks for is let go after this part (in tenths) of the time in which it must be ...
const STRAY_TENTHS: Time = 4;
/// ... and one that the module knows of, which lets it go sooner by itself, after this part.
const KNOWN_TENTHS: Time = 9;

/// Names of requests that may have run are known for so long after their end, and so many of them.
const KNOWN_AFTER: Time = 30_000_000;
const MOST_KNOWN: usize = 8_192;

/// One attempt for a request.
pub(super) struct Attempt {
    pub server: ServerId,
    pub out: bool,
    pub reached: bool, // its node has answered
    pub sent: Time,
    pub ended: Option<EndReason>,
}

/// A request in the table: until it is answered, no attempt is out, and nothing is held for it.
pub(super) struct Held {
    pub class: usize,
    pub work: Work,
    pub once: bool, // it must not run twice
    pub answer: Option<oneshot::Sender<Answer>>,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub closed: bool,
    pub begun: Option<u32>,
    pub known: bool,      // the module knows of a state that waits
    pub stray: bool,      // a state may be left that the module does not know of
    pub idle_since: Time, // since the last attempt that reached a node was over
    pub releasing: bool,
    pub ran: bool, // it may have: something other than a read ended without proof that it never ran
    pub fate: Option<oneshot::Sender<bool>>,
}

/// An attempt that has ended: where it was, and whether it was the stream of a request not closed before.
pub(super) struct Ended {
    pub server: ServerId,
    pub streamed: bool,
}

impl Held {
    /// As it arrives.
    pub fn new(now: Time, ask: &Ask, work: Work, once: bool, answer: oneshot::Sender<Answer>) -> Self {
        Held {
            class: ask.class,
            work,
            once,
            answer: Some(answer),
            deadline: now.saturating_add(ask.expires_in),
            attempts: Vec::new(),
            closed: false,
            begun: None,
            known: false,
            stray: false,
            idle_since: now,
            releasing: false,
            ran: false,
            fate: None,
        }
    }

    pub fn out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    /// Servers of its attempts: first those that have answered, the last before the others.
    pub fn tried(&self) -> impl Iterator<Item = ServerId> + '_ {
        let by = |reached| self.attempts.iter().rev().filter(move |it| it.reached == reached);
        by(true).chain(by(false)).map(|it| it.server)
    }

    pub fn is_out(&self, attempt: u32) -> bool {
        self.attempts.get(attempt as usize).is_some_and(|it| it.out)
    }

    /// Nothing of its answer is settled yet.
    pub fn is_open(&self) -> bool {
        !self.closed && self.begun.is_none()
    }

    /// An attempt's first event has gone to the client: with it all else that nodes hold goes by itself.
    pub fn begin(&mut self, attempt: u32) {
        (self.begun, self.known, self.stray) = (Some(attempt), false, false);
        self.work.body = Bytes::new(); // nothing is sent for it any more
    }

    /// An attempt has ended: what may be held and what may have run by that. `None`: it was not out.
    pub fn ended(
        &mut self, now: Time, attempt: u32, reason: EndReason, note: f64,
        role: impl Fn(ServerId) -> Option<Role>,
    ) -> Option<Ended> {
        let ended = self.attempts.get_mut(attempt as usize).filter(|it| it.out)?;
        let status = reason.status();
        (ended.out, ended.ended) = (false, Some(reason));
        ended.reached = matches!(status, Status::Read | Status::Full | Status::Error | Status::Rejected);
        let server = ended.server;
        // While connections don't come up, the time in which a state is to be taken runs on.
        if !matches!(status, Status::ConnectFailed | Status::Moot) {
            self.idle_since = now;
        }
        let stream = self.begun == Some(attempt);
        let streamed = stream && !self.closed;
        self.closed |= stream;
        let role = role(server);
        let proven = matches!(
            status,
            Status::Full | Status::ConnectFailed | Status::Moot | Status::Read | Status::Rejected
        );
        self.ran |= !proven && role != Some(Role::Reader);
        match status {
            Status::Read => self.known = true,
            // The read may have ended well at the moment its connection broke or was closed.
            Status::Cancelled | Status::Reset | Status::Stale | Status::Timeout | Status::Error
                if role != Some(Role::Writer) =>
            {
                self.stray = true
            }
            Status::Full if note > 0.0 => self.known = false,
            _ => {}
        }
        Some(Ended { server, streamed })
    }

    /// Whether what is held is to be let go of now, where nothing needs it; if so that is under way from here on.
    pub fn lets_go(&mut self, now: Time, release_within: Time) -> bool {
        let idle = now.saturating_sub(self.idle_since);
        let limit = |tenths: Time| release_within * tenths / 10;
        let late = self.stray && !self.known && idle >= limit(STRAY_TENTHS) || idle >= limit(KNOWN_TENTHS);
        // While an attempt waits for the state, nothing may let go of it; a stream needs it no more.
        let free = self.begun.is_some() || !self.out();
        let unwanted = self.closed || self.begun.is_some() || late;
        let lets_go = (self.known || self.stray) && free && unwanted && !self.releasing;
        if lets_go {
            (self.known, self.stray, self.releasing) = (false, false, true);
        }
        lets_go
    }

    /// Nothing of it is left to be done.
    fn is_over(&self) -> bool {
        self.closed && !self.out() && !self.releasing
    }
}

/// The table: requests by number, and the names that are in flight.
#[derive(Default)]
pub(super) struct Table {
    requests: BTreeMap<RequestId, Held>,
    names: HashSet<Arc<str>>,
    may_have_run: HashSet<Arc<str>>,   // names of some that are over
    ended: VecDeque<(Time, Arc<str>)>, // the same, oldest first
}

impl Table {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn is_in_flight(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Whether a request of this name is over of late and may have run.
    pub fn may_have_run(&self, name: &str) -> bool {
        self.may_have_run.contains(name)
    }

    fn note_end(&mut self, now: Time, name: Arc<str>) {
        if self.may_have_run.insert(name.clone()) {
            self.ended.push_back((now, name));
        }
        let is_old = |at: Time| at.saturating_add(KNOWN_AFTER) < now;
        while self.ended.front().is_some_and(|(at, _)| is_old(*at)) || self.ended.len() > MOST_KNOWN {
            let Some((_, name)) = self.ended.pop_front() else { break };
            self.may_have_run.remove(&name);
        }
    }

    pub fn enter(&mut self, id: RequestId, held: Held) {
        self.names.insert(held.work.name.clone());
        self.requests.insert(id, held);
    }

    pub fn get(&self, id: RequestId) -> Option<&Held> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Held> {
        self.requests.get_mut(&id)
    }

    /// Requests that have to be looked after: all but those of which nothing is left but a stream that goes on.
    pub fn ids_to_look_after(&self) -> Vec<RequestId> {
        let waits = |held: &Held| held.is_open() || held.closed || held.known || held.stray;
        self.requests.iter().filter(|(_, held)| waits(held)).map(|(id, _)| *id).collect()
    }

    /// Classes of which some request is in the table.
    pub fn classes(&self) -> HashSet<usize> {
        self.requests.values().map(|held| held.class).collect()
    }

    /// Nodes at which an attempt is out.
    pub fn busy(&self) -> HashSet<ServerId> {
        let attempts = self.requests.values().flat_map(|held| &held.attempts);
        attempts.filter(|it| it.out).map(|it| it.server).collect()
    }

    /// Forgets a request when all of it is over, and tells who wants to know whether it may have run.
    pub fn forget_if_over(&mut self, now: Time, id: RequestId) {
        if !self.requests.get(&id).is_some_and(Held::is_over) {
            return;
        }
        let Some(held) = self.requests.remove(&id) else { return };
        self.names.remove(&held.work.name);
        if held.ran {
            self.note_end(now, held.work.name.clone());
        }
        if let Some(fate) = held.fate {
            let _ = fate.send(held.ran);
        }
    }
}
