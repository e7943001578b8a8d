//! Case 7: in an upgrade, a return-request whose terminal's socket drops is sent to a writer twice.

#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    run_case(7, play)
}

fn play(record: &Record) -> bool {
    let folder = Folder::create();
    let fleet = Arc::new(Mutex::new(Fleet::default()));
    let (pace, slot_after) = (Duration::from_millis(50), Duration::from_millis(20));
    let plan = Arc::new(Mutex::new(Plan {
        events: 40,
        pace,
        slot_after,
        first_after: Duration::ZERO,
    }));
    let kinds = [("r1", "prefill"), ("r2", "prefill"), ("w1", "decode"), ("w2", "decode")];
    let replicas: Vec<Replica> = kinds
        .iter()
        .map(|(id, flavor)| Replica::start(id, flavor, &fleet, &plan, record))
        .collect();
    let discovery = Discovery::start(replicas.iter().map(|replica| replica.member("Ready")).collect(), record);

    // The platform holds the clients' socket; both processes have the same TMPDIR. The new one's configuration differs in
    // the seed alone, so that the ids of the two processes' requests differ (case 6).
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = socket.local_addr().unwrap().to_string();
    let sessions = free_address();
    let session_path = folder.0.join("websocket.json");
    std::fs::write(&session_path, session_file(&sessions)).unwrap();
    let classes = [
        class_json("status-query", 7500, "free", 3.0),
        class_json("return-request", 10000, "single_shot", 2.0),
    ];
    let known = discovery.full_list();
    let text = config_json(&listen, &discovery.address, "", &known, &settings_json(&classes));
    let shared = folder.0.join("shared");
    std::fs::create_dir(&shared).unwrap();
    let command = run_command(Some(&session_path));
    let start = |management: &str, name: &str, seed: &str| {
        let config = folder.0.join(format!("config-{name}.json"));
        std::fs::write(&config, text.replace("8c1f30d27a5be964", seed)).unwrap();
        let variables = [("GW_MANAGEMENT", management)];
        Dispatcher::start(
            &command,
            &config,
            &shared,
            &folder.0.join(name),
            &variables,
            Some(&socket),
            record,
        )
    };

    let first = start(&free_address(), "first", "8c1f30d27a5be964");
    wait_until_ready(&listen);
    let mut second = None;
    if has_trouble() {
        let management = free_address();
        second = Some(start(&management, "second", "1d4e60a87b2cf935"));
        let says_yes = || quiet_call(&management, "ready").starts_with("ACK");
        if !wait_for(Duration::from_secs(10), says_yes) {
            could_not_run("the new process is not ready");
        }
        record.line("the new process says yes");
    }

    let request = request_message("t7-0001", "return-request", "transfer-1", 9000, 120);
    let mut terminal = Session::open("session 1", &sessions, record);
    terminal.send(&request);
    if !wait_for(Duration::from_secs(5), || !terminal.answer("t7-0001").is_empty()) {
        could_not_run("the answer does not begin");
    }
    if has_trouble() {
        first.signal("TERM");
    }
    sleep(Duration::from_millis(200));
    terminal.drop_connection();
    let mut again = Session::open("session 2", &sessions, record);
    again.send(&request);
    wait_for(Duration::from_secs(8), || !again.finals("t7-0001").is_empty());
    sleep(Duration::from_millis(500));

    let finals: Vec<String> = again
        .finals("t7-0001")
        .into_iter()
        .map(|message| message.text)
        .collect();
    let effects = fleet.lock().unwrap().effects.get("transfer-1").map_or(0, Vec::len);
    record.line(&format!(
        "t7-0001 in session 2: final messages {finals:?}; it took effect {effects} times"
    ));
    drop((first, second));
    effects > 1
}
