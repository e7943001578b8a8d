//! The rules of the protocol as invariants over what clients and servers saw.
//!
//! All that happens to a request is told here in the order in which it is seen, with a monotonic stamp. A breach is kept with
//! the request's whole time line.

use crate::config::{DRAIN_GRACE, RELEASE_SLACK, RELEASE_WITHIN};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The rig's own delay, for which no dispatcher is blamed.
pub const RIG_SLACK: Duration = Duration::from_millis(80);
/// A final answer comes this long after the client's time at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The time that a server is told may be over what the client has left by this.
const TOLD_SLACK: Duration = Duration::from_millis(150);
/// An attempt may begin this long after its client has gone.
const GONE_SLACK: Duration = Duration::from_millis(100);

/// The invariants, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// What is held is taken or released in time.
    HeldState,
    /// Each request has a final answer in time.
    FinalAnswer,
    /// A request that was read is not closed without an answer.
    Unanswered,
    /// What must not run twice has no second attempt after one that may have run, and no refusal.
    Duplicate,
    /// Nothing is sent to a server that was told to drain.
    Drain,
    /// No attempt begins after the client has gone.
    ClientGone,
    /// A server is told no more time than the client has left.
    ToldTime,
    /// A broken stream has no good end.
    StreamEnd,
    /// A process ended by itself, or not as it was told to.
    Process,
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Breach {
    /// Which.
    pub invariant: Invariant,
    /// The request's id, or the process.
    pub id: String,
    /// What was seen of it, oldest first.
    pub timeline: Vec<String>,
}

/// How an attempt ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The prompt was read, whether or not the answer arrived.
    Read,
    /// It was turned away, with proof that it never ran.
    NeverRan,
    /// Its stream came to its end.
    Streamed,
    /// It ended in any other way.
    Other,
}

#[derive(Default)]
struct Trace {
    process: usize,
    single: bool,
    sent: Option<Instant>,
    wait: Duration,
    gone: Option<Instant>,
    answered: bool,
    out: usize,
    writes_out: usize,
    unproven: usize, // writes that arrived and may have run
    held: bool,
    state_at: usize,
    idle_since: Option<Instant>,
    broke: bool,
    resumed_at: Option<Instant>, // its process stood still up to then
    timeline: Vec<(Instant, String)>,
}

#[derive(Default)]
struct Ledger {
    traces: HashMap<String, Trace>,
    breaches: Vec<Breach>,
    down: HashMap<usize, Instant>,
    served: usize,
    refused: usize,
    failed: usize,
}

/// Judges one play.
pub struct Oracle {
    began: Instant,
    ledger: Mutex<Ledger>,
}

impl Trace {
    fn note(&mut self, what: String) {
        self.timeline.push((Instant::now(), what));
    }

    /// The clock of what is held runs while nothing is out.
    fn settle(&mut self) {
        self.idle_since = match (self.held && self.out == 0, self.idle_since) {
            (true, None) => Some(Instant::now()),
            (true, since) => since,
            (false, _) => None,
        };
    }
}

impl Ledger {
    fn breach(&mut self, began: Instant, invariant: Invariant, id: &str) {
        let timeline = self.traces.get(id).map(|trace| {
            let line = |(at, what): &(Instant, String)| {
                format!("{:.3} {what}", (*at - began).as_secs_f64())
            };
            trace.timeline.iter().map(line).collect()
        });
        let known = self
            .breaches
            .iter()
            .any(|it| it.invariant == invariant && it.id == id);
        if !known {
            self.breaches.push(Breach {
                invariant,
                id: id.to_owned(),
                timeline: timeline.unwrap_or_default(),
            });
        }
    }
}

impl Oracle {
    /// Knows nothing yet.
    pub fn new() -> Oracle {
        Oracle {
            began: Instant::now(),
            ledger: Mutex::default(),
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with(&self, id: &str, act: impl FnOnce(&mut Trace) -> Option<Invariant>) {
        let mut ledger = self.ledger();
        let broken = act(ledger.traces.entry(id.to_owned()).or_default());
        if let Some(invariant) = broken {
            ledger.breach(self.began, invariant, id);
        }
    }

    /// A client has sent the last byte of a request to a process.
    pub fn sent(&self, id: &str, process: usize, single: bool, wait: Duration) {
        self.with(id, |trace| {
            (trace.process, trace.single, trace.wait) = (process, single, wait);
            trace.sent = Some(Instant::now());
            trace.note(format!(
                "sent to p{process}, single shot: {single}, would wait {wait:?}"
            ));
            None
        });
    }

    /// The client has closed its connection.
    pub fn client_gone(&self, id: &str) {
        self.with(id, |trace| {
            trace.gone = Some(Instant::now());
            trace.note("client gone".into());
            None
        });
    }

    /// The client has its answer: the status of its head.
    pub fn answered(&self, id: &str, status: u16) {
        let refused = status == 503 || status == 429;
        self.with(id, |trace| {
            trace.answered = true;
            trace.note(format!("answered {status}"));
            (refused && trace.single && trace.unproven > 0).then_some(Invariant::Duplicate)
        });
        let mut ledger = self.ledger();
        match status {
            200 => ledger.served += 1,
            _ if refused => ledger.refused += 1,
            _ => ledger.failed += 1,
        }
    }

    /// The client's connection ended before any answer. `excused`: its process was killed.
    pub fn closed_unanswered(&self, id: &str, excused: bool) {
        self.with(id, |trace| {
            trace.answered = true;
            trace.note(format!("closed with no answer, excused: {excused}"));
            (!excused).then_some(Invariant::Unanswered)
        });
    }

    /// The client's stream is over: `whole` by its last chunk.
    pub fn stream_over(&self, id: &str, whole: bool) {
        self.with(id, |trace| {
            trace.note(format!("stream over, whole: {whole}"));
            (whole && trace.broke).then_some(Invariant::StreamEnd)
        });
    }

    /// A server's stream was broken off.
    pub fn stream_broken(&self, id: &str) {
        self.with(id, |trace| {
            trace.broke = true;
            trace.note("server broke its stream".into());
            None
        });
    }

    /// An attempt's last byte was taken by a running server. `prompt`: it had not waited in the rig; `told`: the time that it
    /// tells; `draining`: how long ago its process was told that the server drains.
    pub fn arrived(
        &self,
        id: &str,
        server: usize,
        writes: bool,
        prompt: bool,
        told: Option<u64>,
        draining: Option<Duration>,
    ) {
        self.with(id, |trace| {
            let now = Instant::now();
            trace.note(format!(
                "s{server} took an attempt, writes: {writes}, told {told:?} ms"
            ));
            let repeats = writes && trace.single && trace.unproven > 0;
            trace.out += 1;
            trace.writes_out += usize::from(writes);
            trace.unproven += usize::from(writes);
            trace.settle();
            let left = trace
                .sent
                .map(|sent| (sent + trace.wait).saturating_duration_since(now));
            let over = |told: u64| {
                left.is_some_and(|left| Duration::from_millis(told) > left + TOLD_SLACK + RIG_SLACK)
            };
            let is_after = |gone: Instant| now.duration_since(gone) > GONE_SLACK + RIG_SLACK;
            if repeats {
                return Some(Invariant::Duplicate);
            }
            if prompt && trace.gone.is_some_and(is_after) {
                return Some(Invariant::ClientGone);
            }
            if prompt && told.is_some_and(over) {
                return Some(Invariant::ToldTime);
            }
            // What was told to a process that stood still is heard when it goes on.
            let is_just_before = |at: Instant| now.duration_since(at) < DRAIN_GRACE;
            let prompt = prompt && !trace.resumed_at.is_some_and(is_just_before);
            let late = draining.is_some_and(|since| since > DRAIN_GRACE + RIG_SLACK);
            (prompt && late).then_some(Invariant::Drain)
        });
    }

    /// A server is about to say that an attempt never ran: from now on its dispatcher may know.
    pub fn turned_away(&self, id: &str, server: usize, writes: bool) {
        self.with(id, |trace| {
            trace.note(format!("s{server} turns it away"));
            trace.unproven = trace.unproven.saturating_sub(usize::from(writes));
            None
        });
    }

    /// An attempt that had arrived is over, by the server's answer or by the end of its connection.
    pub fn attempt_over(&self, id: &str, server: usize, writes: bool, outcome: Outcome) {
        self.with(id, |trace| {
            trace.note(format!("s{server}: attempt over, {outcome:?}"));
            trace.out = trace.out.saturating_sub(1);
            trace.writes_out = trace.writes_out.saturating_sub(usize::from(writes));
            trace.settle();
            None
        });
    }

    /// A reader has read a prompt to its end: from now on a state waits there, also before anybody hears of it.
    pub fn state_made(&self, id: &str, server: usize) {
        self.with(id, |trace| {
            (trace.held, trace.state_at) = (true, server);
            trace.note(format!("s{server}: a state waits"));
            trace.settle();
            None
        });
    }

    /// A writer has taken the state; false where there is none.
    pub fn take_state(&self, id: &str, server: usize) -> bool {
        let mut taken = false;
        self.with(id, |trace| {
            taken = std::mem::take(&mut trace.held);
            trace.broke = false;
            trace.note(format!("s{server}: state taken: {taken}"));
            trace.settle();
            None
        });
        taken
    }

    /// Whether a state waits for a writer.
    pub fn is_held(&self, id: &str) -> bool {
        self.ledger().traces.get(id).is_some_and(|trace| trace.held)
    }

    /// A server has died, and what it held with it.
    pub fn server_died(&self, server: usize) {
        for trace in self
            .ledger()
            .traces
            .values_mut()
            .filter(|it| it.held && it.state_at == server)
        {
            trace.note(format!("s{server} died with the state"));
            trace.held = false;
            trace.settle();
        }
    }

    /// A running server has read a release: what no attempt waits for is gone.
    pub fn released(&self, id: &str, server: usize) {
        self.with(id, |trace| {
            trace.held &= trace.writes_out > 0;
            trace.note(format!("s{server}: release read"));
            trace.settle();
            None
        });
    }

    /// A process was killed: what it held is freed, and its clients' requests are their own.
    pub fn process_down(&self, process: usize) {
        let mut ledger = self.ledger();
        ledger.down.insert(process, Instant::now());
        for trace in ledger
            .traces
            .values_mut()
            .filter(|it| it.process == process)
        {
            trace.note("its process was killed".into());
            (trace.held, trace.answered) = (false, true);
            trace.settle();
        }
    }

    /// Whether a process was killed since this moment.
    pub fn was_down_since(&self, process: usize, since: Instant) -> bool {
        self.ledger()
            .down
            .get(&process)
            .is_some_and(|at| *at >= since)
    }

    /// A process was stopped and goes on: it owed nothing meanwhile.
    pub fn process_stood_still(&self, process: usize, span: Duration) {
        let mut ledger = self.ledger();
        for trace in ledger
            .traces
            .values_mut()
            .filter(|it| it.process == process)
        {
            trace.note(format!("its process stood still for {span:?}"));
            trace.idle_since = trace.idle_since.map(|_| Instant::now());
            trace.wait += span;
            trace.resumed_at = Some(Instant::now());
            trace.gone = trace.gone.map(|_| Instant::now());
        }
    }

    /// A process did what it must not.
    pub fn process_failed(&self, process: usize, what: String) {
        let breach = Breach {
            invariant: Invariant::Process,
            id: format!("p{process}"),
            timeline: vec![what],
        };
        self.ledger().breaches.push(breach);
    }

    /// Looks for what should have happened by now. `stopped` are processes that stand still.
    pub fn look(&self, stopped: &[usize]) {
        let mut ledger = self.ledger();
        let (now, mut broken) = (Instant::now(), Vec::new());
        for (id, trace) in &ledger.traces {
            if stopped.contains(&trace.process) {
                continue;
            }
            let held_for = trace
                .idle_since
                .map_or(Duration::ZERO, |since| now.duration_since(since));
            if held_for > RELEASE_WITHIN + RELEASE_SLACK + RIG_SLACK {
                broken.push((Invariant::HeldState, id.clone()));
            }
            let overdue = |sent: Instant| now > sent + trace.wait + ANSWER_SLACK + RIG_SLACK;
            if !trace.answered && trace.gone.is_none() && trace.sent.is_some_and(overdue) {
                broken.push((Invariant::FinalAnswer, id.clone()));
            }
        }
        for (invariant, id) in broken {
            ledger.breach(self.began, invariant, &id);
        }
    }

    /// All breaches so far.
    pub fn breaches(&self) -> Vec<Breach> {
        self.ledger().breaches.clone()
    }

    /// Requests served, refused and failed.
    pub fn counts(&self) -> (usize, usize, usize) {
        let ledger = self.ledger();
        (ledger.served, ledger.refused, ledger.failed)
    }
}

impl Default for Oracle {
    fn default() -> Self {
        Oracle::new()
    }
}
