//! Case 2: a client writes its request over 2 s; in this time the dispatcher is told to end (a planned restart).

use crate::dispatcher::{self, Dispatcher, Start, SIGKILL, SIGTERM};
use crate::fleet::{answer_events, Behavior, Fleet};
use crate::http::{exchange, ClientRequest, Reader};
use crate::record;
use std::io::Write;
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The earliest kill: 3 s, since the longest deadline is longer, and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// What comes later than this after SIGTERM must be answered before the kill.
const LATE: Duration = Duration::from_millis(700);
/// Ten events of six tokens and three at the end: an answer of 60 tokens in 4.6 s, one token every 76 ms.
const EVENTS: usize = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(350);
/// The request's body comes in ten pieces, 0.2 s apart.
const PIECES: usize = 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(200);

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let fleet = Fleet::start(
        2,
        2,
        Behavior {
            read_rate: 13_000.0,
            writer_wait: Duration::from_millis(20),
            events: EVENTS,
            event_interval: EVENT_INTERVAL,
            second_answer_every: 0,
        },
    );
    let discovery = fleet.start_discovery();
    let listen = dispatcher::free_address();
    let config = dispatcher::config(&listen, &discovery, &fleet.list());
    let process = Dispatcher::start(&Start {
        name: "n1",
        config: &config,
        listen: &listen,
        ..Start::default()
    })?;
    dispatcher::wait_until_ready(&listen)?;
    // Some usual requests first, so that the dispatcher has served before.
    let stream = TcpStream::connect(&listen).map_err(|error| error.to_string())?;
    let mut usual = Reader::new(stream);
    for number in 0..2 {
        let request = request(&format!("{number:016x}"));
        let answer = exchange(&mut usual, &request).ok_or("a usual request got no answer")?;
        record::line(&format!("usual request {}: {}", request.id, answer.word(1)));
        if answer.text() != answer_events(&request.text, EVENTS).concat() {
            return Err("a usual request was not served".to_owned());
        }
    }
    drop(usual);

    let request = request("00000000000000aa");
    let stream = TcpStream::connect(&listen).map_err(|error| error.to_string())?;
    let mut reader = Reader::new(stream);
    let writer = {
        let (request, mut stream) = (request.clone(), reader.stream.try_clone().unwrap());
        thread::spawn(move || {
            let bytes = request.bytes();
            let body = bytes.len() - request.body().len();
            let _ = stream.write_all(&bytes[..body]);
            record::line("the client has written its request's head");
            let pieces = bytes[body..].chunks((bytes.len() - body).div_ceil(PIECES));
            for piece in pieces {
                sleep(PIECE_INTERVAL);
                if let Err(error) = stream.write_all(piece) {
                    record::line(&format!("the client cannot write: {error}"));
                    return None;
                }
            }
            record::line("the client has written its request's last byte");
            Some(Instant::now())
        })
    };
    sleep(Duration::from_millis(600));
    let told_at = Instant::now();
    let killer = trouble.then(|| {
        process.signal(SIGTERM);
        thread::spawn(move || {
            sleep(KILL_AFTER);
            if process.ended().is_none() {
                process.signal(SIGKILL);
            }
        })
    });
    let _ = reader
        .stream
        .set_read_timeout(Some(Duration::from_secs(20)));
    let answer = reader.message();
    let answered_at = Instant::now();
    let written_at = writer.join().ok().flatten();
    if let Some(killer) = killer {
        let _ = killer.join();
    }
    let since_told = |at: Instant| at.saturating_duration_since(told_at).as_millis();
    record::line(&format!(
        "last byte {:?} ms after SIGTERM; {} at {} ms",
        written_at.map(since_told),
        answer
            .as_ref()
            .map_or("no whole answer".to_owned(), |answer| answer.start.clone()),
        since_told(answered_at)
    ));
    let runs: Vec<String> = fleet
        .runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| {
            format!(
                "{} {}",
                if run.is_writer { "write" } else { "read" },
                run.id
            )
        })
        .collect();
    record::line(&format!("ran: {runs:?}"));
    let mut broken = Vec::new();
    match (written_at, answer) {
        // Not taken: the dispatcher closed before the last byte, or while it was written.
        (None, _) => {}
        // Not taken: the connection had ended before the last byte was written.
        (Some(at), None) if answered_at <= at => {}
        (Some(at), None) if at.saturating_duration_since(told_at) > LATE => broken.push(format!(
            "the request came {} ms after SIGTERM and was never answered to its end: its connection ended {} ms after SIGTERM",
            since_told(at),
            since_told(answered_at)
        )),
        (Some(_), None) => return Err("the request came too early, or its answer never".to_owned()),
        (Some(_), Some(answer)) if answer.word(1) == "200" => {
            if answer.text() != answer_events(&request.text, EVENTS).concat() {
                broken.push("the answer is not what its writer made".to_owned());
            }
        }
        (Some(_), Some(_)) => {}
    }
    Ok(broken)
}

fn request(id: &str) -> ClientRequest {
    ClientRequest {
        id: id.to_owned(),
        class: "return-request",
        session: "7f3a9c21e0b4d655".to_owned(),
        deadline_ms: 10_000,
        prompt_tokens: 550,
        text: format!("question-{id} {}", "x".repeat(2000)),
    }
}
