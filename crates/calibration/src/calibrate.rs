//! What a recording tells of its nodes: how fast they read and write, and how long they let wait. Pure.
//!
//! Only spans between two records of one dispatcher are used, so clocks of several dispatchers may disagree. What other
//! dispatchers had at a node is not in the recording. Readers' figures are of attempts beside which this one had nothing
//! else out at that node; writers always have, so theirs are as seen under the recorded load. The spread holds what
//! others did.

use crate::estimate::{figure, inverse, Figure, Part, Sample};
use quartzhall_recording::{Record, RecordedRole, RecordedStatus};
use std::collections::{BTreeMap, HashMap};

/// Attempts that may be open at once; a recording with more has lost their ends.
const MOST_OPEN: usize = 100_000;

/// What is known of the nodes of one role.
#[derive(Clone, Debug, PartialEq)]
pub struct Nodes {
    /// The role.
    pub role: RecordedRole,
    /// How many there were.
    pub nodes: usize,
    /// Attempts that ended.
    pub attempts: usize,
    /// The share of them that ended otherwise than well or by a cancel.
    pub failed: f64,
    /// Tokens a second: read by readers, written by writers.
    pub tokens_per_s: Figure,
    /// Seconds before that: at readers with nothing to read, at writers up to the first token, under the recorded load.
    pub wait_s: Figure,
}

/// What a recording tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Calibration {
    /// By role.
    pub roles: Vec<Nodes>,
    /// Requests that came.
    pub requests: usize,
    /// Records that are missing in it.
    pub dropped: u64,
    /// Attempts whose end is missing.
    pub unended: usize,
}

#[derive(Default)]
struct Seen {
    attempts: usize,
    failed: usize,
    rates: Vec<Sample>,
    waits: Vec<Sample>,
}

struct Open {
    sent: u64,
    node: u32,
    alone: bool,
    first: Option<u64>,
}

fn seconds(from: u64, to: u64) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

/// Reads figures out of the records. The seed settles the draws of their intervals.
pub fn calibrate(records: impl Iterator<Item = Record>, seed: u64) -> Calibration {
    let mut roles: HashMap<u32, RecordedRole> = HashMap::new();
    let mut prompts: HashMap<u64, f64> = HashMap::new();
    let mut open: BTreeMap<(u64, u32), Open> = BTreeMap::new();
    let mut out: HashMap<u32, usize> = HashMap::new();
    let mut seen = [Seen::default(), Seen::default(), Seen::default()];
    let (mut requests, mut dropped, mut unended) = (0, 0, 0);
    for record in records {
        match record {
            Record::Node { node, role, .. } => drop(roles.insert(node, role)),
            Record::Arrival {
                request, prompt, ..
            } => {
                requests += 1;
                prompts.insert(request, f64::from(prompt));
            }
            Record::Sent {
                at,
                request,
                attempt,
                node,
            } => {
                if open.len() >= MOST_OPEN {
                    unended += open.len();
                    open.clear();
                    out.clear();
                }
                let there = out.entry(node).or_default();
                let alone = *there == 0;
                *there += 1;
                open.insert(
                    (request, attempt),
                    Open {
                        sent: at,
                        node,
                        alone,
                        first: None,
                    },
                );
            }
            Record::First {
                at,
                request,
                attempt,
            } => {
                if let Some(open) = open.get_mut(&(request, attempt)) {
                    open.first = Some(at);
                }
            }
            Record::Ended {
                at,
                request,
                attempt,
                status,
                kept,
                written,
            } => {
                let Some(ended) = open.remove(&(request, attempt)) else {
                    continue;
                };
                out.entry(ended.node)
                    .and_modify(|there| *there = there.saturating_sub(1));
                let Some(role) = roles.get(&ended.node) else {
                    continue;
                };
                let seen = &mut seen[*role as usize];
                seen.attempts += 1;
                seen.failed += usize::from(!matches!(
                    status,
                    RecordedStatus::Served
                        | RecordedStatus::PrefillDone
                        | RecordedStatus::Cancelled
                ));
                let left = prompts
                    .get(&request)
                    .map(|prompt| (prompt - f64::from(kept)).max(0.0));
                match (status, left, ended.first) {
                    (RecordedStatus::PrefillDone, Some(left), _) if ended.alone => {
                        let sample = Sample {
                            at: ended.sent,
                            x: left,
                            y: seconds(ended.sent, at),
                        };
                        seen.rates.push(sample);
                        seen.waits.push(sample);
                    }
                    (RecordedStatus::Served, _, Some(first)) => {
                        if written > 0 {
                            let y = seconds(first, at) / f64::from(written);
                            seen.rates.push(Sample {
                                at: ended.sent,
                                x: 0.0,
                                y,
                            });
                        }
                        seen.waits.push(Sample {
                            at: ended.sent,
                            x: 0.0,
                            y: seconds(ended.sent, first),
                        });
                    }
                    _ => {}
                }
            }
            Record::Final { request, .. } => drop(prompts.remove(&request)),
            Record::Dropped { records } => dropped += records,
            Record::Start { .. } | Record::Name { .. } => {}
        }
    }
    let of = |role: RecordedRole| {
        let seen = &seen[role as usize];
        // Readers' time grows with what is left to read; a writer's rate is told answer by answer.
        let (rate, wait) = if role == RecordedRole::Prefill {
            (Part::Slope, Part::Start)
        } else {
            (Part::Mean, Part::Mean)
        };
        Nodes {
            role,
            nodes: roles.values().filter(|it| **it == role).count(),
            attempts: seen.attempts,
            failed: seen.failed as f64 / seen.attempts.max(1) as f64,
            tokens_per_s: inverse(figure(&seen.rates, rate, seed)),
            wait_s: figure(&seen.waits, wait, seed),
        }
    };
    let all = [
        RecordedRole::Prefill,
        RecordedRole::Decode,
        RecordedRole::Mixed,
    ]
    .map(of);
    let roles = all.into_iter().filter(|nodes| nodes.nodes > 0).collect();
    Calibration {
        roles,
        requests,
        dropped,
        unended: unended + open.len(),
    }
}
