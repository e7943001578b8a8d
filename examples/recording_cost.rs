//! What recording costs: the core plays the same requests with and without it, in turn, on this machine.
//!
//!     cargo run --release --example recording_cost -- FILE [ROUNDS] [REQUESTS]
//!
//! Each request goes through both stages to its good end. Printed are microseconds a request for each round and mode,
//! then the medians and what recording adds.

use quartzhall::config::{Deployment, SettingsObject};
use quartzhall::dispatcher::{Core, DiscoveredEndpoint, EndReason, Event, UpstreamRequest};
use quartzhall::recording::TraceRecorder;
use quartzhall::routing::api::{EndpointRecord, EndpointStatus, RequestMetadata, Role, Time};
use quartzhall_recording::{Key, Recorder};
use slog::{o, Discard, Logger};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

const PROFILE: &str = r#"{"balancers":2,"classes":[{"name":"q","aim":1500.0,"deadline":7500.0,"repeat":"free","worth":3.0}],
 "family_info":{"role_by_kind":["read","write"],"tokens_by_kind":[200000,100000],"release_within":1000.0},
 "limits":{"most_tries":5,"cancel":true},"machine_types":["prefill","decode"],"reporting":{"via":"answers"},"tick":4.0}"#;

/// Plays so many requests; tells microseconds a request.
fn play(requests: u64, file: Option<&str>) -> Result<f64, Box<dyn std::error::Error>> {
    let profile: SettingsObject = miniserde::json::from_str(PROFILE)?;
    let site = Arc::new(Deployment::new(&profile)?);
    let mut now: Time = 1_700_000_000_000_000;
    let mut core = Core::new(
        site.clone(),
        usize::MAX,
        7,
        now,
        Logger::root(Discard, o!()),
    );
    let recorder = match file {
        Some(file) => {
            core.set_trace_recorder(TraceRecorder::new(
                Key::from_secret(b"cost"),
                now,
                "n1",
                &site,
            ));
            Some(Recorder::start(std::fs::File::create(file)?, 8192)?)
        }
        None => None,
    };
    let member = |number: usize| {
        let role = if number < 5 {
            Role::Prefill
        } else {
            Role::Decode
        };
        let entry = EndpointRecord {
            key: number as u64,
            role,
            status: EndpointStatus::Ready,
            kv_capacity_tokens: 2e5,
            ..EndpointRecord::default()
        };
        let (name, address) = (
            format!("n{number}").into(),
            format!("127.0.0.1:{}", 7000 + number).into(),
        );
        DiscoveredEndpoint {
            id: name,
            address,
            record: entry,
            is_partial: false,
        }
    };
    core.handle_event(
        now,
        Event::EndpointsChanged {
            is_full: true,
            endpoints: (0..10).map(member).collect(),
        },
    );
    let began = Instant::now();
    for id in 1..=requests {
        now += 2_000;
        core.on_timer(now);
        let session = Some(id / 4);
        let ask = RequestMetadata {
            id,
            session,
            time_left: 7_500_000,
            prompt_tokens: 4e3,
            max_output_tokens: 5e2,
            ..RequestMetadata::default()
        };
        let work = UpstreamRequest {
            client_request_id: format!("r{id}").into(),
            target: "/".into(),
            body: "{}".into(),
        };
        let (answer, _answered) = oneshot::channel();
        core.handle_event(
            now,
            Event::RequestArrived {
                metadata: ask,
                upstream: work,
                outcome: answer,
            },
        );
        let ended = |attempt, reason| Event::AttemptEnded {
            id,
            attempt,
            reason,
            cached_tokens: 2e3,
            completion_tokens: 1e2,
            load: None,
        };
        core.handle_event(now + 500, ended(0, EndReason::PrefillDone));
        let (_pieces, stream) = mpsc::channel(1);
        core.handle_event(
            now + 900,
            Event::FirstEvent {
                id,
                attempt: 1,
                stream,
            },
        );
        core.handle_event(now + 1500, ended(1, EndReason::Served));
        core.take_commands();
        if let Some(recorder) = &recorder {
            core.take_records()
                .into_iter()
                .for_each(|note| recorder.note(note));
        }
    }
    let took = began.elapsed().as_secs_f64() * 1e6 / requests as f64;
    if let Some(recorder) = recorder {
        recorder.end()?;
    }
    Ok(took)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().collect();
    let file = arguments
        .get(1)
        .ok_or("recording_cost FILE [ROUNDS] [REQUESTS]")?;
    let number = |at: usize, or: u64| arguments.get(at).map_or(Ok(or), |text| text.parse::<u64>());
    let (rounds, requests) = (number(2, 11)?, number(3, 20_000)?);
    let (mut without, mut with) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        without.push(play(requests, None)?);
        with.push(play(requests, Some(file))?);
        println!(
            "{:.2} without, {:.2} with",
            without[without.len() - 1],
            with[with.len() - 1]
        );
    }
    without.sort_by(f64::total_cmp);
    with.sort_by(f64::total_cmp);
    let middle = |list: &[f64]| (list[0], list[list.len() / 2], list[list.len() - 1]);
    println!(
        "microseconds a request (least, median, most): {:.2?} without, {:.2?} with",
        middle(&without),
        middle(&with)
    );
    println!("added: {:.2}", middle(&with).1 - middle(&without).1);
    Ok(())
}
