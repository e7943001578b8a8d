//! Case 3: a terminal's socket drops while its request runs; the terminal reconnects and sends the request's id again,
//! as the sessions' page says. Then the dispatcher is told to end.

use crate::dispatcher::{self, Dispatcher, Start, SIGKILL, SIGTERM};
use crate::fleet::{Behavior, Fleet};
use crate::record;
use crate::terminal::{collect, Terminal};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The earliest kill: 3 s, since the longest deadline is longer, and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3700);

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    // The answer begins 0.3 s after the request has come to its writer, and takes 2.1 s.
    let fleet = Fleet::start(
        2,
        2,
        Behavior {
            read_rate: 13_000.0,
            writer_wait: Duration::from_millis(300),
            events: 17,
            event_interval: Duration::from_millis(105),
            second_answer_every: 0,
        },
    );
    let discovery = fleet.start_discovery();
    let (listen, sessions) = (dispatcher::free_address(), dispatcher::free_address());
    let config = dispatcher::config(&listen, &discovery, &fleet.list());
    let text =
        std::fs::read_to_string("deploy/websocket.json").map_err(|error| error.to_string())?;
    let text = text.replacen(
        "\"listen\": null",
        &format!("\"listen\": \"{sessions}\""),
        1,
    );
    let process = Dispatcher::start(&Start {
        name: "n1",
        config: &config,
        listen: &listen,
        sessions: Some(&text),
        ..Start::default()
    })?;
    dispatcher::wait_until_ready(&listen)?;
    let mut broken = Vec::new();
    let mut terminal = Terminal::open("t7", &sessions)?;
    let prompt = format!("return-{} {}", 42, "y".repeat(800));
    terminal.send("t7-0042", "return-request", 10_000, &prompt);
    sleep(Duration::from_millis(150));
    if trouble {
        terminal.drop_socket();
        sleep(Duration::from_millis(100));
        terminal = Terminal::open("t7 again", &sessions)?;
        terminal.send("t7-0042", "return-request", 10_000, &prompt);
        sleep(Duration::from_millis(100));
    }
    process.signal(SIGTERM);
    let kill_at = Instant::now() + KILL_AFTER;
    let mut answer = collect(&terminal, "t7-0042", kill_at);
    record::line(&format!("the terminal has: {answer:?}"));
    if let Some(code) = answer.ended {
        // As the page says: the terminal comes back with the id, on any session of this dispatcher.
        while answer.finals.is_empty() && Instant::now() < kill_at {
            match Terminal::try_open("t7 once more", &sessions) {
                Some(mut terminal) => {
                    terminal.send("t7-0042", "return-request", 10_000, &prompt);
                    answer = collect(&terminal, "t7-0042", kill_at);
                    record::line(&format!("the terminal has: {answer:?}"));
                }
                None => sleep(Duration::from_millis(50)),
            }
        }
        if answer.finals.is_empty() {
            broken.push(format!(
                "t7-0042 got no final message: the dispatcher ended its session with code {code:?} in the middle of the answer, and takes no other"
            ));
        }
    }
    let writes = fleet
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.is_writer)
        .count();
    record::line(&format!("writers ran it {writes} times"));
    while process.ended().is_none() && Instant::now() < kill_at {
        sleep(Duration::from_millis(20));
    }
    match process.ended() {
        Some(status) => record::line(&format!("n1 ended: {status}")),
        None => process.signal(SIGKILL),
    }
    Ok(broken)
}
