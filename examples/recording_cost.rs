//! Measures the cost of recording: the dispatcher's core handles the same requests alternately without and with a recorder.
//!
//!     cargo run --release --example recording_cost -- FILE [ROUNDS] [REQUESTS]
//!
//! Every request is served after one prefill and one decode attempt. Prints the microseconds per request for each round and
//! mode. Then prints the minimum, the median and the maximum of each mode, and the difference of the medians. Each recording
//! overwrites FILE.

use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::{Core, DiscoveredEndpoint, EndReason, Event, UpstreamRequest};
use quartzhall::recording::TraceRecorder;
use quartzhall::routing::api::{EndpointRecord, EndpointStatus, RequestMetadata, Role, Time};
use quartzhall_recording::{Key, Recorder};
use slog::{o, Discard, Logger};
use std::error::Error;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// The dispatcher's settings, in JSON.
const SETTINGS: &str = r#"{"balancers":2,"classes":[{"name":"q","aim":1500.0,"deadline":7500.0,"repeat":"free","worth":3.0}],
 "family_info":{"role_by_kind":["read","write"],"tokens_by_kind":[200000,100000],"release_within":1000.0},
 "limits":{"most_tries":5,"cancel":true},"machine_types":["prefill","decode"],"reporting":{"via":"answers"},"tick":4.0}"#;

/// The simulated time at the start, in Unix microseconds.
const START_TIME: Time = 1_700_000_000_000_000;
/// The number of endpoints of both roles.
const ENDPOINTS: usize = 10;
/// The number of prefill endpoints, which come first; the others decode.
const PREFILL_ENDPOINTS: usize = 5;
/// The capacity of the recorder's queue, in records. The same as that of a dispatcher.
const QUEUE_CAPACITY: usize = 8192;

fn endpoint(number: usize) -> DiscoveredEndpoint {
    let role = if number < PREFILL_ENDPOINTS {
        Role::Prefill
    } else {
        Role::Decode
    };
    DiscoveredEndpoint {
        id: format!("n{number}").into(),
        address: format!("127.0.0.1:{}", 7000 + number).into(),
        record: EndpointRecord {
            key: number as u64,
            role,
            status: EndpointStatus::Ready,
            kv_capacity_tokens: 2e5,
            ..EndpointRecord::default()
        },
        is_partial: false,
    }
}

/// Handles a request from its arrival to the end of its decode attempt.
fn handle_request(core: &mut Core, now: Time, id: u64) {
    let metadata = RequestMetadata {
        id,
        session: Some(id / 4),
        time_left: 7_500_000,
        prompt_tokens: 4e3,
        max_output_tokens: 5e2,
        ..RequestMetadata::default()
    };
    let upstream = UpstreamRequest {
        client_request_id: format!("r{id}").into(),
        target: "/".into(),
        body: "{}".into(),
        stream_can_migrate: true,
    };
    let (outcome, _outcome_receiver) = oneshot::channel();
    let arrived = Event::RequestArrived {
        metadata,
        upstream,
        outcome,
        end_report: None,
    };
    core.handle_event(now, arrived);
    let ended = |attempt, reason| Event::AttemptEnded {
        id,
        attempt,
        reason,
        cached_tokens: 2e3,
        completion_tokens: 1e2,
        load: None,
    };
    core.handle_event(now + 500, ended(0, EndReason::PrefillDone));
    let (_chunks, stream) = mpsc::channel(1);
    let first_event = Event::FirstEvent {
        id,
        attempt: 1,
        stream,
    };
    core.handle_event(now + 900, first_event);
    core.handle_event(now + 1500, ended(1, EndReason::Served));
    core.take_commands();
}

/// Returns the microseconds per request over this many requests, which are recorded to `file` if it is given.
fn measure(requests: u64, file: Option<&str>) -> Result<f64, Box<dyn Error>> {
    let settings: SettingsObject = miniserde::json::from_str(SETTINGS)?;
    let deployment = Arc::new(Deployment::new(&settings)?);
    let mut now = START_TIME;
    let log = Logger::root(Discard, o!());
    let mut core = Core::new(deployment.clone(), usize::MAX, 7, now, log);
    let mut recorder = None;
    if let Some(file) = file {
        let key = Key::from_secret(b"cost");
        core.set_trace_recorder(TraceRecorder::new(key, now, "n1", &deployment));
        recorder = Some(Recorder::start(
            std::fs::File::create(file)?,
            QUEUE_CAPACITY,
        )?);
    }
    let full_list = Event::EndpointsChanged {
        is_full: true,
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
    };
    core.handle_event(now, full_list);
    let started = Instant::now();
    for id in 1..=requests {
        now += 2_000;
        core.on_timer(now);
        handle_request(&mut core, now, id);
        if let Some(recorder) = &recorder {
            for record in core.take_records() {
                recorder.record(record);
            }
        }
    }
    let micros_per_request = started.elapsed().as_secs_f64() * 1e6 / requests as f64;
    if let Some(recorder) = recorder {
        recorder.end()?;
    }
    Ok(micros_per_request)
}

/// Returns the minimum, the median and the maximum of sorted values.
fn summarize(sorted: &[f64]) -> (f64, f64, f64) {
    (
        sorted[0],
        sorted[sorted.len() / 2],
        sorted[sorted.len() - 1],
    )
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().collect();
    let file = arguments
        .get(1)
        .ok_or("recording_cost FILE [ROUNDS] [REQUESTS]")?;
    let number_or = |index: usize, default: u64| {
        arguments
            .get(index)
            .map_or(Ok(default), |text| text.parse::<u64>())
    };
    let rounds = number_or(2, 11)?;
    let requests = number_or(3, 20_000)?;
    let mut without = Vec::new();
    let mut with = Vec::new();
    for _ in 0..rounds {
        let micros_without = measure(requests, None)?;
        let micros_with = measure(requests, Some(file))?;
        println!("{micros_without:.2} without, {micros_with:.2} with");
        without.push(micros_without);
        with.push(micros_with);
    }
    without.sort_by(f64::total_cmp);
    with.sort_by(f64::total_cmp);
    let without = summarize(&without);
    let with = summarize(&with);
    println!(
        "microseconds a request (least, median, most): {without:.2?} without, {with:.2?} with"
    );
    println!("added: {:.2}", with.1 - without.1);
    Ok(())
}
