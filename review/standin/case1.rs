//! Case 1: some answers of writers come a second time, some milliseconds late, on a connection that is kept.

use crate::dispatcher::{self, Dispatcher, Start};
use crate::fleet::{answer_events, short, Behavior, Fleet};
use crate::http::{exchange, ClientRequest, Reader};
use crate::record;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 14;
const RUN: Duration = Duration::from_secs(90);
const EVENTS: usize = 16;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let fleet = Fleet::start(
        2,
        2,
        Behavior {
            read_rate: 13_000.0,
            writer_wait: Duration::from_millis(5),
            events: EVENTS,
            event_interval: Duration::from_millis(12),
            second_answer_every: if trouble { 10 } else { 0 },
        },
    );
    let discovery = fleet.start_discovery();
    let listen = dispatcher::free_address();
    let config = dispatcher::config(&listen, &discovery, &fleet.list());
    let dispatcher = Dispatcher::start(&Start {
        name: "n1",
        config: &config,
        listen: &listen,
        ..Start::default()
    })?;
    dispatcher::wait_until_ready(&listen)?;
    let broken = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicUsize::new(0));
    let end = Instant::now() + RUN;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (listen, broken, answered) = (listen.clone(), broken.clone(), answered.clone());
            thread::spawn(move || be_client(client, &listen, end, &broken, &answered))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let served = answered.load(Ordering::Relaxed);
    let second = fleet.second_answers.load(Ordering::Relaxed);
    record::line(&format!(
        "{served} requests were served whole; {second} answers came twice"
    ));
    if let Some(status) = dispatcher.ended() {
        return Ok(vec![format!("the dispatcher ended: {status}")]);
    }
    if served < 200 {
        return Err("too few requests were served".to_owned());
    }
    let broken = std::mem::take(&mut *broken.lock().unwrap());
    Ok(broken)
}

/// Sends one request after the other on a kept connection, with pauses.
fn be_client(
    client: usize,
    listen: &str,
    end: Instant,
    broken: &Mutex<Vec<String>>,
    answered: &AtomicUsize,
) {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64 ^ (client as u64) << 17;
    let mut connection: Option<Reader> = None;
    let mut number = 0;
    while Instant::now() < end {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        thread::sleep(Duration::from_millis(200 + random % 600));
        number += 1;
        let id = format!("{client:04x}{number:012x}");
        let request = ClientRequest {
            class: "status-query",
            session: format!("{:016x}", client * 100 + number / 3),
            deadline_ms: 7500,
            prompt_tokens: 300,
            text: format!("question-{id} {}", "x".repeat(1000)),
            id,
        };
        let mut reader = match connection.take() {
            Some(reader) => reader,
            None => match TcpStream::connect(listen) {
                Ok(stream) => Reader::new(stream),
                Err(_) => continue,
            },
        };
        record::line(&format!("client {client} sends {}", request.id));
        let Some(answer) = exchange(&mut reader, &request) else {
            record::line(&format!("client {client} {}: no whole answer", request.id));
            continue;
        };
        record::line(&format!(
            "client {client} {}: {}",
            request.id,
            answer.word(1)
        ));
        if answer.word(1) == "200" {
            let expected = answer_events(&request.text, EVENTS).concat();
            answered.fetch_add(1, Ordering::Relaxed);
            if answer.text() != expected {
                let got = answer.text();
                let got = got.split("\"content\":\"").nth(1).unwrap_or("");
                broken.lock().unwrap().push(format!(
                    "{} was served with an answer that no replica made for it: it begins with {:?}",
                    request.id,
                    short(got)
                ));
            }
        }
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            connection = Some(reader);
        }
    }
}
