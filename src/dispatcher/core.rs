//! The state machine: it joins the module, the request table and the nodes' table, and keeps the rules.

use super::endpoint_table::{EndpointChanges, EndpointTable};
use super::guard::Guard;
use super::messages::{
    Command, DiscoveredEndpoint, Event, Outcome, Readiness, StreamChunk, UpstreamRequest,
};
use super::reasons::{CloseReason, EndReason, ReleaseReason};
use super::report::{Kind, Report};
use super::request::{Attempt, Ended, Request};
use super::request_table::RequestTable;
use super::rules::Rule;
use crate::config::Deployment;
use crate::dispatcher::bans::BanRecords;
use crate::gossip::Gossip;
use crate::net::connection_limit::SHARE_UNITS;
use crate::recording::TraceRecorder;
use crate::routing::api::{
    self, Action, AttemptStatus, EndpointId, FailureReason, Idempotency, LoadReport, RequestId,
    RequestMetadata, Role, RoutingSettings, Time,
};
use crate::routing::Router;
use crate::variants::{breaks, Variant};
use bytes::Bytes;
use quartzhall_recording::{Record, RecordedOutcome};
use slog::{debug, info, warn, Logger};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The core looks over its table this often while there are requests in it.
const SWEEP: Time = 20_000;
/// From a send's command to its last byte's arrival, but for the wait for a place and a connection.
const ON_THE_WAY: Time = 100_000;
/// The number of a class that is gone is used again after this at the earliest.
const CLASS_QUIET: Time = 60_000_000;

/// The settings for the module. A repeat is dropped if its last byte comes within the window, and it may be on its way for
/// as long as a place and then a connection are waited for: the module is told of a window that is shorter by that.
fn in_time(mut settings: RoutingSettings, dial: Time) -> RoutingSettings {
    for class in &mut settings.classes {
        if let Idempotency::IdempotencyKey { window, .. } = &mut class.idempotency {
            *window = window.saturating_sub(2 * dial + ON_THE_WAY);
        }
    }
    settings
}

/// The state machine. Its caller gives it the time with each event and does what it commands.
pub struct Core {
    router: Router,
    site: Arc<Deployment>,
    rules: RoutingSettings, // as the module is told them
    site_changed: bool,
    retired: Vec<Time>, // when each class was last open
    part: u32,
    most_held: usize,
    most_places: usize,
    processes: u32,
    held_back: bool,
    nodes: EndpointTable,
    requests: RequestTable,
    timers: BinaryHeap<Reverse<Time>>,
    next_sweep: Time,
    draining: bool,
    commands: Vec<Command>,
    notes: Option<TraceRecorder>,
    gossip: Option<Gossip>,
    report: Report,
    pub(super) log: Logger,
}

impl Core {
    /// A core as it starts. `now` is Unix time in microseconds, as are all its times.
    /// `most_places`: so many requests can be open at once.
    pub fn new(
        site: Arc<Deployment>,
        most_places: usize,
        seed: u64,
        now: Time,
        log: Logger,
    ) -> Self {
        let rules = in_time(site.settings.clone(), site.bounds.connect_timeout);
        let mut core = Core {
            router: Router::new(rules.clone(), seed, now),
            rules,
            most_held: site.bounds.max_open_requests.min(most_places),
            retired: vec![now; site.settings.classes.len()],
            site,
            site_changed: true,
            part: SHARE_UNITS,
            most_places,
            processes: 1,
            held_back: false,
            nodes: EndpointTable::default(),
            requests: RequestTable::default(),
            timers: BinaryHeap::new(),
            next_sweep: now,
            draining: false,
            commands: Vec::new(),
            notes: None,
            gossip: None,
            report: Report::new(now),
            log,
        };
        core.step(now, api::Event::TimerFired);
        core
    }

    /// TraceRecorder from now on what it hears and does.
    pub fn set_trace_recorder(&mut self, notes: TraceRecorder) {
        self.notes = Some(notes);
    }

    /// Tells other dispatchers things from now on, and hears them.
    pub fn set_gossip(&mut self, gossip: Gossip) {
        self.gossip = Some(gossip);
    }

    /// What other dispatchers are to be told now.
    pub fn next_gossip_message(&mut self, now: Time) -> Option<Bytes> {
        self.gossip.as_mut()?.next_message(now).map(Bytes::from)
    }

    /// A message from another dispatcher. Servers that are not listed here, and keys that two have, tell nothing.
    fn peer(&mut self, now: Time, from: usize, message: &[u8]) {
        let Some(read) = self
            .gossip
            .as_mut()
            .map(|gossip| gossip.receive(now, from, message))
        else {
            return;
        };
        let observations = read.unwrap_or_else(|why| {
            debug!(self.log, "a message was dropped"; "from" => from, "why" => ?why);
            Vec::new()
        });
        for observation in observations {
            let Some(server) = self.nodes.by_hash(observation.key) else {
                continue;
            };
            let load = observation.load;
            self.gossip
                .iter_mut()
                .for_each(|gossip| gossip.accept(now, server, &observation));
            self.step(
                now,
                api::Event::PeerLoadReport {
                    endpoint: server,
                    load,
                },
            );
        }
    }

    /// What an attempt or a probe has shown of a server, for the others.
    fn tell(&mut self, now: Time, server: EndpointId, failed: bool, load: Option<&LoadReport>) {
        let node = self.nodes.get(server).map(|node| node.listed.key);
        let (Some(hash), Some(gossip)) = (node, &mut self.gossip) else {
            return;
        };
        load.into_iter()
            .for_each(|load| gossip.record_load(now, server, hash, load));
        if failed {
            gossip.record_failure(hash);
        }
    }

    /// What was noted since the last call.
    pub fn take_records(&mut self) -> Vec<Record> {
        self.notes
            .as_mut()
            .map(TraceRecorder::take_records)
            .unwrap_or_default()
    }

    fn note(&mut self, note: impl FnOnce(&mut TraceRecorder)) {
        if let Some(notes) = &mut self.notes {
            note(notes);
        }
    }

    /// Is not ready until it hears [`Event::AcceptClients`].
    pub fn start_in_standby(&mut self) {
        self.held_back = true;
    }

    /// Hears one event.
    pub fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::RequestArrived {
                metadata: ask,
                upstream: work,
                outcome: answer,
            } => self.request(now, ask, work, answer),
            Event::ClientDisconnected {
                id,
                may_have_run: fate,
            } => self.gone(now, id, fate),
            Event::FirstEvent {
                id,
                attempt,
                stream,
            } => self.first(now, id, attempt, stream),
            Event::AttemptEnded {
                id,
                attempt,
                reason,
                cached_tokens,
                completion_tokens,
                load,
            } => {
                self.note(|notes| {
                    notes.record_attempt_end(
                        now,
                        id,
                        attempt,
                        reason.status(),
                        cached_tokens,
                        completion_tokens,
                    )
                });
                self.ended(now, id, attempt, reason, cached_tokens, load)
            }
            Event::ReleaseCompleted {
                id,
                confirmed: done,
            } => {
                if !done {
                    self.report.count(now, Kind::ReleaseFailed);
                    self.violation(now, Rule::HeldState, id);
                }
                if let Some(held) = self.requests.get_mut(id) {
                    held.lease.release_ended(now);
                }
                self.settle(now, id);
            }
            Event::ProbeCompleted {
                endpoint: server,
                is_healthy: ok,
                load,
            } => {
                if ok {
                    self.nodes.heard_from(now, server);
                }
                self.tell(now, server, false, load.as_ref());
                self.step(
                    now,
                    api::Event::ProbeCompleted {
                        endpoint: server,
                        is_healthy: ok,
                        load,
                    },
                );
            }
            Event::GossipReceived { from, message } => self.peer(now, from, &message),
            Event::EndpointsChanged {
                is_full: complete,
                endpoints: members,
            } => self.members(now, complete, members),
            Event::EndpointListFailed => self.step(now, api::Event::EndpointListFailed),
            Event::BanRequested {
                endpoint_id: name,
                banned,
                reply: answer,
            } => {
                let called = self.nodes.ban(now, name, banned, &self.log);
                let _ = answer.send(called.map(|news| self.banned(now, news)));
            }
            Event::BanRecordsReceived(marks) => {
                let news = self.nodes.merge(now, &marks, &self.log);
                self.banned(now, news);
            }
            Event::SettingsChanged {
                deployment: site,
                reply: answer,
            } => {
                let taken = self.settings(now, *site);
                let _ = answer.send(taken);
            }
            Event::AcceptClients => self.held_back = false,
            Event::ResourceShareChanged {
                share: part,
                processes,
            } => {
                (self.part, self.processes) = (part, processes);
                self.follow(now);
            }
            Event::Drain(within) => {
                self.draining = true;
                let at = now.saturating_add(within.as_micros() as Time);
                self.step(now, api::Event::ShutdownDeadline(at));
            }
        }
    }

    /// Does what is due: the module's timers, and what the table says.
    pub fn on_timer(&mut self, now: Time) {
        while self.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.timers.pop();
            self.step(now, api::Event::TimerFired);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP;
            self.report
                .summarize_at(now, self.requests.len(), &self.log);
            for id in self.requests.ids_to_look_after() {
                self.sweep(now, id);
            }
        }
    }

    /// When [`Core::wake`] is to be called next.
    pub fn next_wakeup(&self) -> Option<Time> {
        let timer = self.timers.peek().map(|Reverse(at)| *at);
        let sweep = (self.requests.len() > 0).then_some(self.next_sweep);
        timer.into_iter().chain(sweep).min()
    }

    /// What is to be done, in order; bars come first, so that nothing goes to a node that has been told to leave.
    pub fn take_commands(&mut self) -> Vec<Command> {
        Command::blocks_first(&mut self.commands);
        std::mem::take(&mut self.commands)
    }

    /// Logs all counts that are not logged yet.
    pub fn log_summary(&mut self) {
        self.report.summarize(self.requests.len(), &self.log);
    }

    /// Requests in the table.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// EndpointTable in the table: those of the list, and those that are gone and still have attempts out.
    pub fn endpoint_count(&self) -> usize {
        self.nodes.len()
    }

    /// The state for balancers in front.
    pub fn readiness(&self) -> Readiness {
        let able = self.nodes.any_ready(Role::Decode) && self.nodes.any_ready(Role::Prefill);
        match (self.draining, able) {
            (true, _) => Readiness::Draining,
            (false, true) if self.held_back => Readiness::Standby,
            (false, true) => Readiness::Ready,
            (false, false) => Readiness::Starting,
        }
    }

    /// New settings: what follows from them is told to the module and to the fronts.
    fn settings(&mut self, now: Time, site: Deployment) -> Result<(), String> {
        let open = self.requests.classes();
        for (class, at) in self.site.settings.classes.iter().zip(&mut self.retired) {
            *at = if class.is_active { now } else { *at };
        }
        // What a front read by the old names may still be on its way.
        let used =
            |at: usize| open.contains(&at) || now < self.retired[at].saturating_add(CLASS_QUIET);
        let site = site
            .replacing(&self.site, used)
            .map_err(|error| error.to_string())?;
        self.retired.resize(site.settings.classes.len(), now);
        let names = site
            .settings
            .classes
            .iter()
            .filter(|class| class.is_active)
            .count();
        info!(self.log, "new settings"; "classes" => names, "most_tries" => site.settings.max_attempts);
        (self.site, self.site_changed) = (Arc::new(site), true);
        let site = self.site.clone();
        self.note(|notes| notes.record_names(&site));
        self.follow(now);
        Ok(())
    }

    /// The module's settings and the bound on what is held: another process is one more dispatcher to the servers.
    fn follow(&mut self, now: Time) {
        let whole = self.site.bounds.max_open_requests.min(self.most_places) as u128;
        self.most_held =
            ((whole * u128::from(self.part) / u128::from(SHARE_UNITS)) as usize).max(1);
        let mut settings = in_time(self.site.settings.clone(), self.site.bounds.connect_timeout);
        settings.dispatchers = settings.dispatchers.saturating_mul(self.processes.max(1));
        self.rules = settings.clone();
        self.step(now, api::Event::SettingsChanged(settings));
    }

    /// The settings, where they are new since the last call.
    pub fn take_changed_deployment(&mut self) -> Option<Arc<Deployment>> {
        std::mem::take(&mut self.site_changed).then(|| self.site.clone())
    }

    fn request(
        &mut self,
        now: Time,
        ask: RequestMetadata,
        work: UpstreamRequest,
        answer: oneshot::Sender<Outcome>,
    ) {
        let id = ask.id;
        // An id that is in flight is never a second request: nodes know requests by it alone.
        if self.requests.is_in_flight(&work.client_request_id) {
            return self.turn_away(
                now,
                &work.client_request_id,
                CloseReason::DuplicateId,
                answer,
                Outcome::DuplicateId,
            );
        }
        // A client that comes again with an id of which something may have run is never told that it may try again.
        let class = self.site.settings.classes.get(ask.class);
        let is_safe = class.is_some_and(|class| class.idempotency == Idempotency::Idempotent);
        if !is_safe && self.requests.may_have_run(&work.client_request_id) {
            return self.turn_away(
                now,
                &work.client_request_id,
                CloseReason::MayHaveRun,
                answer,
                Outcome::DuplicateId,
            );
        }
        // More than may be held never reaches the module. Nothing was sent, so a refusal is true.
        if self.requests.len() >= self.most_held {
            let refused = Outcome::Shed(Duration::from_micros(self.site.settings.max_retry_after));
            return self.turn_away(
                now,
                &work.client_request_id,
                CloseReason::TableFull,
                answer,
                refused,
            );
        }
        self.gossip.iter_mut().for_each(Gossip::on_request);
        debug!(self.log, "request"; "id" => id, "name" => %work.client_request_id, "class" => ask.class,
            "expires_in" => ask.time_left, "prompt" => ask.prompt_tokens, "shared" => ask.prefix_tokens);
        let once = class.is_none_or(|class| class.idempotency == Idempotency::NonIdempotent);
        self.note(|notes| notes.record_arrival(now, &ask));
        self.requests
            .enter(id, Request::new(now, &ask, work, once, answer));
        self.step(now, api::Event::RequestArrived(ask));
    }

    /// Counts and logs that a rule was about to be broken.
    fn violation(&mut self, now: Time, rule: Rule, id: RequestId) {
        if self.report.count(now, Kind::Violation(rule)) {
            let name = self
                .requests
                .get(id)
                .map(|held| held.work.client_request_id.to_string());
            warn!(self.log, "violation"; "rule" => ?rule, "id" => id, "name" => name);
        }
    }

    /// Answers a request that does not enter the table.
    fn turn_away(
        &mut self,
        now: Time,
        name: &str,
        reason: CloseReason,
        to: oneshot::Sender<Outcome>,
        answer: Outcome,
    ) {
        if self.report.count(now, Kind::Close(reason)) {
            info!(self.log, "request turned away"; "name" => name, "reason" => ?reason,
                "open" => self.requests.len());
        }
        let _ = to.send(answer);
    }

    fn gone(&mut self, now: Time, id: RequestId, fate: Option<oneshot::Sender<bool>>) {
        if breaks(Variant::ClientGone) && self.requests.get(id).is_some_and(Request::is_waiting) {
            return;
        }
        let Some(held) = self.requests.get_mut(id) else {
            return;
        };
        held.fate = fate;
        // A stream that has begun ends at its node when its receiver is dropped, as the client's side does.
        if held.close() {
            held.answer = None;
            self.report
                .count(now, Kind::Close(CloseReason::ClientDisconnected));
            debug!(self.log, "client left"; "id" => id);
            self.note(|notes| notes.record_outcome(now, id, RecordedOutcome::ClientDisconnected));
            self.step(now, api::Event::ClientDisconnected { id });
        }
        self.settle(now, id);
    }

    fn first(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        stream: mpsc::Receiver<StreamChunk>,
    ) {
        let guard = Guard {
            settings: &self.rules,
            target: |server| self.nodes.target(server),
            now,
        };
        let Some(held) = self.requests.get_mut(id) else {
            return;
        };
        // Dropping the stream of an attempt that came too late ends it at its node.
        if guard.check_stream(held, attempt).is_err() {
            return;
        }
        let Some(answer) = held.answer.take() else {
            return;
        };
        if answer.send(Outcome::Stream(stream)).is_err() {
            // The client left at this moment; its ticket tells so.
            return;
        }
        held.begin_stream(attempt);
        if let Some(server) = held.attempts.get(attempt as usize).map(|it| it.server) {
            self.nodes.heard_from(now, server);
        }
        debug!(self.log, "first event"; "id" => id, "attempt" => attempt);
        self.note(|notes| notes.record_first_event(now, id, attempt));
        self.step(now, api::Event::FirstEvent { id, attempt });
    }

    fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        reason: EndReason,
        cached_tokens: f64,
        load: Option<LoadReport>,
    ) {
        let status = reason.status();
        let Some(held) = self.requests.get_mut(id) else {
            return;
        };
        let role = |server| self.nodes.get(server).map(|node| node.role);
        let Some(Ended { server, streamed }) = held.attempt_ended(now, attempt, reason, role)
        else {
            return;
        };
        if reason.is_answer() {
            self.nodes.heard_from(now, server);
        }
        if let Some(notes) = self.notes.as_mut().filter(|_| streamed) {
            // By its good end, or by its break; its client may have left before.
            notes.record_outcome(
                now,
                id,
                if status == AttemptStatus::Served {
                    RecordedOutcome::Served
                } else {
                    RecordedOutcome::StreamBroken
                },
            );
        }
        if let Some(held) = self
            .requests
            .get(id)
            .filter(|_| streamed && status != AttemptStatus::Served)
        {
            info!(self.log, "a stream broke"; "id" => id, "name" => %held.work.client_request_id, "server" => server,
                "status" => ?status);
        }
        // While sends reach nobody, the module may send again at once, each time: what a broken read may have left is let
        // go of in between.
        if self.requests.get(id).is_some_and(Request::is_waiting) {
            self.settle(now, id);
        }
        // What one node finds bad the others would too: it would go round the whole fleet, and they be blamed.
        if status == AttemptStatus::InvalidRequest {
            self.close(
                now,
                id,
                CloseReason::InvalidRequest,
                Outcome::InvalidRequest,
            );
        }
        let closed = self.requests.get(id).is_some_and(Request::is_closed);
        self.log_end(now, id, attempt, reason);
        debug!(self.log, "attempt ended"; "id" => id, "attempt" => attempt, "server" => server,
            "status" => ?status, "cached_tokens" => cached_tokens, "closed" => closed);
        let failed = matches!(
            status,
            AttemptStatus::Reset | AttemptStatus::Error | AttemptStatus::ConnectFailed
        );
        self.tell(now, server, failed, load.as_ref());
        self.step(
            now,
            api::Event::AttemptEnded {
                id,
                attempt,
                endpoint: server,
                status,
                request_closed: closed,
                cached_tokens,
                load,
            },
        );
        self.settle(now, id);
    }

    /// Logs why an attempt ended, within its budget; the ordinary reasons are only counted.
    fn log_end(&mut self, now: Time, id: RequestId, attempt: u32, reason: EndReason) {
        let may_log = self.report.count(now, Kind::End(reason));
        let held = self
            .requests
            .get(id)
            .filter(|_| may_log && !reason.is_ordinary());
        let Some((held, ended)) =
            held.and_then(|held| Some((held, held.attempts.get(attempt as usize)?)))
        else {
            return;
        };
        let server = self
            .nodes
            .get(ended.server)
            .map(|node| node.name.to_string());
        info!(self.log, "attempt ended early"; "id" => id, "name" => %held.work.client_request_id, "attempt" => attempt,
            "server" => server, "reason" => ?reason, "after_ms" => now.saturating_sub(ended.sent) / 1000);
    }

    fn members(&mut self, now: Time, complete: bool, members: Vec<DiscoveredEndpoint>) {
        let news = self.nodes.list(now, complete, members, &self.log);
        self.note_nodes(now, &news);
        for server in self.nodes.forget_gone(&self.requests.busy()) {
            self.gossip
                .iter_mut()
                .for_each(|gossip| gossip.retain(|it| it != server));
            self.note(|notes| notes.forget_endpoint(server));
        }
        self.commands.extend(self.nodes.bars());
        self.step(
            now,
            api::Event::EndpointsChanged {
                is_full: complete,
                endpoints: news.entries,
            },
        );
    }

    /// Operators have taken nodes out of use, or back.
    fn banned(&mut self, now: Time, news: EndpointChanges) {
        self.note_nodes(now, &news);
        self.commands.extend(self.nodes.bars());
        if !news.entries.is_empty() {
            self.step(
                now,
                api::Event::EndpointsChanged {
                    is_full: false,
                    endpoints: news.entries,
                },
            );
        }
    }

    fn note_nodes(&mut self, now: Time, news: &EndpointChanges) {
        if let Some(notes) = &mut self.notes {
            news.noted
                .iter()
                .for_each(|(name, entry)| notes.record_endpoint(now, name, entry));
        }
    }

    /// What operators have said, where that is new since the last call.
    pub fn take_changed_bans(&mut self) -> Option<BanRecords> {
        self.nodes.new_marks()
    }

    /// Tells the module one event and does what it says.
    fn step(&mut self, now: Time, event: api::Event) {
        let mut actions = Vec::new();
        self.router.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt {
                    id,
                    endpoint: server,
                    timeout,
                } => self.send(now, id, server, timeout),
                Action::CancelAttempt { id, attempt } => {
                    let held = self.requests.get(id);
                    // A stream that has begun belongs to the client and is not withdrawn.
                    if held
                        .is_some_and(|held| held.stream() != Some(attempt) && held.is_out(attempt))
                    {
                        self.commands.push(Command::CancelAttempt { id, attempt });
                    }
                }
                Action::Shed {
                    id,
                    retry_after,
                    reason: why,
                } => {
                    self.refuse(now, id, why, Duration::from_micros(retry_after));
                    self.settle(now, id);
                }
                Action::Fail { id, reason: why } => {
                    let answer = match breaks(Variant::Duplicate) {
                        true => Outcome::Shed(Duration::ZERO),
                        false => Outcome::Failed,
                    };
                    self.close(now, id, CloseReason::Failed(why), answer);
                    self.settle(now, id);
                }
                Action::ReleaseReservation { id } => {
                    if let Some(held) = self.requests.get_mut(id) {
                        held.lease.give_up(now);
                    }
                    self.settle(now, id);
                }
                Action::SetTimer { at } => self.timers.push(Reverse(at)),
                Action::Probe { endpoint: server } => {
                    let address = self.nodes.get(server).map(|node| node.address.clone());
                    match address {
                        Some(address) => self.commands.push(Command::Probe {
                            endpoint: server,
                            address,
                        }),
                        None => warn!(self.log, "a probe of an unknown node"; "server" => server),
                    }
                }
                // Discovery is always watched.
                Action::WatchEndpoints => {}
            }
        }
    }

    /// The one place for attempts.
    fn send(&mut self, now: Time, id: RequestId, server: EndpointId, timeout: Time) {
        let guard = Guard {
            settings: &self.rules,
            target: |server| self.nodes.target(server),
            now,
        };
        let Some(held) = self.requests.get_mut(id) else {
            return;
        };
        let checked = guard.check_send(held, server);
        let attempt = held.attempts.len() as u32;
        let before = held.attempts.last().map(|it| it.ended);
        let target = checked.as_ref().ok().copied();
        held.attempts.push(Attempt {
            server,
            target,
            sent: now,
            ended: None,
            ended_at: now,
        });
        let (target, node) = match (checked, self.nodes.get(server)) {
            (Ok(target), Some(node)) => (target, node),
            // What the rules forbid is not sent, whoever asks for it.
            (checked, _) => {
                self.violation(now, checked.err().unwrap_or(Rule::Drain), id);
                return self.ended(now, id, attempt, EndReason::NotSent, 0.0, None);
            }
        };
        let timeout = if timeout == 0 { Time::MAX } else { timeout }.min(held.deadline - now);
        debug!(self.log, "send"; "id" => id, "attempt" => attempt, "server" => server);
        // One that follows a good read is the second stage, and one beside another that is out is a hedge.
        let retries = before
            .flatten()
            .filter(|reason| *reason != EndReason::PrefillDone);
        if let Some(after) = retries.filter(|after| self.report.count(now, Kind::Retry(*after))) {
            info!(self.log, "retry"; "id" => id, "name" => %held.work.client_request_id, "attempt" => attempt,
                "server" => %node.name, "after" => ?after, "left_ms" => (held.deadline - now) / 1000);
        }
        if let Some(notes) = &mut self.notes {
            notes.record_attempt(now, id, attempt, server);
        }
        self.commands.push(Command::StartAttempt {
            id,
            attempt,
            address: node.address.clone(),
            upstream: held.work.clone(),
            timeout: Duration::from_micros(timeout),
            needs_new_connection: held.once && target.role != Role::Prefill, // reading has no effect
        });
    }

    /// Refuses a request, or fails it where a refusal would not be true.
    fn refuse(&mut self, now: Time, id: RequestId, why: FailureReason, retry_after: Duration) {
        let guard = Guard {
            settings: &self.rules,
            target: |server| self.nodes.target(server),
            now,
        };
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match guard.check_refusal(request) {
            // A client that is refused may come again, here or elsewhere, before that close has arrived.
            Ok(()) if !guard.is_safe(request) && guard.was_given_up_just_now(request) => {
                self.close(now, id, CloseReason::Failed(why), Outcome::Failed);
            }
            Ok(()) => self.close(now, id, CloseReason::Shed(why), Outcome::Shed(retry_after)),
            Err(rule) => {
                self.violation(now, rule, id);
                self.close(now, id, CloseReason::Failed(why), Outcome::Failed);
            }
        }
    }

    /// The one place for final answers but streams.
    fn close(&mut self, now: Time, id: RequestId, reason: CloseReason, answer: Outcome) {
        let Some(held) = self.requests.get_mut(id).filter(|held| held.is_waiting()) else {
            return;
        };
        held.close();
        if self.report.count(now, Kind::Close(reason)) {
            info!(self.log, "request closed"; "id" => id, "name" => %held.work.client_request_id, "reason" => ?reason,
                "attempts" => held.attempts.len(), "last_end" => ?held.attempts.last().and_then(|it| it.ended));
        }
        debug!(self.log, "closed"; "id" => id, "answer" => ?answer);
        let noted = match &answer {
            Outcome::Shed(_) => RecordedOutcome::Shed,
            _ => RecordedOutcome::Failed,
        };
        if let Some(waiting) = held.answer.take() {
            match breaks(Variant::FinalAnswer) {
                true => std::mem::forget(waiting),
                false => drop(waiting.send(answer)),
            }
        }
        self.note(|notes| notes.record_outcome(now, id, noted));
    }

    /// Looks after one request: its deadline, and what was held for too long.
    fn sweep(&mut self, now: Time, id: RequestId) {
        let Some(held) = self.requests.get(id) else {
            return;
        };
        if held.is_waiting() && now >= held.deadline {
            // The module ends requests in time by itself; this guards the client against a mistake there.
            if now
                >= held
                    .deadline
                    .saturating_add(self.site.settings.response_slack)
            {
                self.violation(now, Rule::FinalAnswer, id);
            }
            self.close(now, id, CloseReason::DeadlinePassed, Outcome::Failed);
            self.step(now, api::Event::ClientDisconnected { id });
        }
        self.settle(now, id);
    }

    /// Lets go of what is held where nothing needs it, and forgets the request when all of it is over.
    fn settle(&mut self, now: Time, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // A stream that goes on needs no state any more; any other attempt may wait for one.
        let attempt_out = request.stream().is_none() && request.has_attempt_out();
        if attempt_out && breaks(Variant::HeldState) {
            return;
        }
        let (is_needed, release_within) =
            (request.is_waiting(), self.site.settings.reservation_ttl);
        if let Some(reason) =
            request
                .lease
                .start_release(now, release_within, is_needed, attempt_out)
        {
            let name = request.work.client_request_id.clone();
            // Any server passes it on.
            let addresses = self.nodes.addresses(request.tried());
            if self.report.count(now, Kind::Release(reason))
                && reason != ReleaseReason::NoLongerNeeded
            {
                info!(self.log, "release"; "id" => id, "name" => %name, "reason" => ?reason,
                    "attempts" => request.attempts.len(), "left_ms" => request.deadline.saturating_sub(now) / 1000);
            }
            self.commands.push(Command::ReleaseReservation {
                id,
                client_request_id: name,
                addresses,
            });
        }
        self.requests.forget_if_over(now, id);
    }
}
