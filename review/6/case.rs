//! Case 6: in an upgrade, two terminals' requests reach the replicas under one id.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const EVENTS: usize = 20;

fn main() {
    run_case(6, play)
}

fn play(record: &Record) -> bool {
    let folder = Folder::create();
    let fleet = Arc::new(Mutex::new(Fleet::default()));
    // The writers are busy: a request waits 1.5 s there for its slot, and its state is fetched then.
    let slot_after = Duration::from_millis(1500);
    let plan = Arc::new(Mutex::new(Plan {
        events: EVENTS,
        pace: Duration::from_millis(10),
        slot_after,
        first_after: Duration::ZERO,
    }));
    let kinds = [("r1", "prefill"), ("r2", "prefill"), ("w1", "decode"), ("w2", "decode")];
    let replicas: Vec<Replica> = kinds
        .iter()
        .map(|(id, flavor)| Replica::start(id, flavor, &fleet, &plan, record))
        .collect();
    let discovery = Discovery::start(replicas.iter().map(|replica| replica.member("Ready")).collect(), record);

    // The platform holds the clients' socket; both processes have the same configuration and the same TMPDIR.
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = socket.local_addr().unwrap().to_string();
    let sessions = free_address();
    let session_path = folder.0.join("websocket.json");
    std::fs::write(&session_path, session_file(&sessions)).unwrap();
    let classes = [
        class_json("status-query", 7500, "free", 3.0),
        class_json("return-request", 10000, "single_shot", 2.0),
    ];
    let config = folder.0.join("config.json");
    let known = discovery.full_list();
    let text = config_json(&listen, &discovery.address, "", &known, &settings_json(&classes));
    std::fs::write(&config, text).unwrap();
    let shared = folder.0.join("shared");
    std::fs::create_dir(&shared).unwrap();
    let command = run_command(Some(&session_path));
    let start = |management: &str, log: &str| {
        let variables = [("GW_MANAGEMENT", management)];
        Dispatcher::start(
            &command,
            &config,
            &shared,
            &folder.0.join(log),
            &variables,
            Some(&socket),
            record,
        )
    };

    let first_management = free_address();
    let first = start(&first_management, "log-1");
    wait_until_ready(&listen);
    let mut second = None;
    if has_trouble() {
        let management = free_address();
        second = Some(start(&management, "log-2"));
        let says_yes = || quiet_call(&management, "ready").starts_with("ACK");
        if !wait_for(Duration::from_secs(10), says_yes) {
            could_not_run("the new process is not ready");
        }
        record.line("the new process says yes");
    }

    let mut terminal_a = Session::open("terminal A", &sessions, record);
    terminal_a.send(&request_message("a-0001", "return-request", "transfer-of-A", 9000, 100));
    wait_for(Duration::from_secs(2), || fleet.lock().unwrap().attempts.len() >= 2);
    if has_trouble() {
        first.signal("TERM");
        sleep(Duration::from_millis(150));
    }
    let mut terminal_b = Session::open("terminal B", &sessions, record);
    terminal_b.send(&request_message("b-0001", "return-request", "transfer-of-B", 9000, 100));
    wait_for(Duration::from_secs(12), || {
        !terminal_a.finals("a-0001").is_empty() && !terminal_b.finals("b-0001").is_empty()
    });
    sleep(Duration::from_millis(200));

    let mut is_broken = false;
    let mut prompts: HashMap<String, String> = HashMap::new();
    for attempt in &fleet.lock().unwrap().attempts {
        let first = prompts
            .entry(attempt.id.clone())
            .or_insert_with(|| attempt.prompt.clone());
        if *first != attempt.prompt {
            record.line(&format!(
                "BROKEN: id {} came with {first:?} and with {:?}",
                attempt.id, attempt.prompt
            ));
            is_broken = true;
            break;
        }
    }
    for (terminal, id, own) in [
        (&terminal_a, "a-0001", "transfer-of-A"),
        (&terminal_b, "b-0001", "transfer-of-B"),
    ] {
        let finals = terminal.finals(id);
        let answer = terminal.answer(id);
        let is_served = finals.iter().any(|message| message.kind == "served");
        let is_own = answer == whole_answer(own, EVENTS);
        record.line(&format!(
            "{id}: final messages {finals:?}, the answer is the one to its own prompt: {is_own}"
        ));
        if is_served && !is_own {
            record.line(&format!(
                "BROKEN: {id} was served with another answer: {:?}",
                answer.lines().next()
            ));
            is_broken = true;
        }
    }
    drop((first, second));
    is_broken
}
