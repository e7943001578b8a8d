//! The program itself: its command line, its start, and its end at SIGTERM.

mod testbed;

use axum::extract::State;
use axum::http::Uri;
use axum::routing::get;
use axum::Router;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzhall");

/// A file that goes when the test does.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path =
            std::env::temp_dir().join(format!("quartzhall-{}-{name}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A program that does not outlive its test.
struct Running(Child);

impl Running {
    fn start(command: &mut Command) -> Running {
        Running(command.spawn().unwrap())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn config(listen: &str, discovery: &str, known: &str) -> String {
    let profile = testbed::PROFILE;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},"settings":{profile}}}"#
    )
}

/// The program's command to serve with a configuration.
fn serve(config: &File) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["serve", "--config"]).arg(&config.0);
    command
}

#[test]
fn bad_files_end_it_with_one_line() {
    let good = config("127.0.0.1:0", "127.0.0.1:1", "null");
    let cases = [
        ("cut", good[..good.len() / 2].to_owned(), "{}".to_owned()),
        (
            "word",
            good.replace("single_shot", "sometimes"),
            "{}".into(),
        ),
        (
            "listen",
            good.replace("127.0.0.1:0", "nowhere"),
            "{}".into(),
        ),
        ("seed", good.replace("8c1f30d27a5be964", "xyz"), "{}".into()),
        ("sessions", good.clone(), "{\"listen\":7}".into()),
        ("bounds", good, "{\"most_requests\":0}".into()),
    ];
    for (name, text, sessions) in cases {
        let (config, sessions) = (
            File::new(name, &text),
            File::new(&format!("{name}-ws"), &sessions),
        );
        let output = serve(&config)
            .arg("--websocket")
            .arg(&sessions.0)
            .output()
            .unwrap();
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}");
        let lines = error
            .lines()
            .filter(|line| line.starts_with("quartzhall: "))
            .count();
        assert!(lines == 1 && !error.contains("panicked"), "{name}: {error}");
    }
}

#[test]
fn version_and_check_say_what_they_are_asked() {
    let version = Command::new(PROGRAM).arg("version").output().unwrap();
    assert_eq!(
        String::from_utf8_lossy(&version.stdout),
        concat!("quartzhall ", env!("CARGO_PKG_VERSION"), "\n")
    );
    let file = File::new("check", &config("127.0.0.1:0", "127.0.0.1:1", "null"));
    let check = Command::new(PROGRAM)
        .args(["check", "--config"])
        .arg(&file.0)
        .output()
        .unwrap();
    assert!(check.status.success());
    assert!(String::from_utf8_lossy(&check.stdout).contains("2 classes, 1 tenants"));
}

async fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

/// The whole answer to a `GET`, once the address answers at all.
async fn ask(address: &str, path: &str) -> String {
    let asks = async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                stream.write_all(text.as_bytes()).await.unwrap();
                let mut answer = String::new();
                if stream.read_to_string(&mut answer).await.is_ok() && !answer.is_empty() {
                    return answer;
                }
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), asks)
        .await
        .expect("an answer")
}

async fn until_ready(address: &str, code: &str) {
    while !ask(address, "/ready")
        .await
        .starts_with(&format!("HTTP/1.1 {code}"))
    {}
}

fn signal(running: &Running, name: &str) {
    let kill = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {}", running.0.id()))
        .status()
        .unwrap();
    assert!(kill.success());
}

async fn end(mut running: Running) -> ExitStatus {
    let waits = tokio::task::spawn_blocking(move || running.0.wait().unwrap());
    tokio::time::timeout(Duration::from_secs(20), waits)
        .await
        .expect("it ends")
        .unwrap()
}

/// Discovery talks nonsense first, then tells of a fleet; the program is ready only then, and ends with 0.
#[tokio::test]
async fn it_is_ready_when_it_can_serve_and_drains_at_sigterm() {
    let calls = Arc::new(AtomicUsize::new(0));
    let list = |State(calls): State<Arc<AtomicUsize>>| async move {
        match calls.fetch_add(1, Ordering::SeqCst) {
            0 => "{\"revision\":".to_owned(),
            1 => r#"{"revision":1,"complete":true,"members":[
                {"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":1,"phase":"Ready"},
                {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","cell":1,"phase":"Ready"}]}"#
                .to_owned(),
            _ => std::future::pending().await,
        }
    };
    let routes = Router::new()
        .route("/v1/endpoints", get(list))
        .with_state(calls.clone());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let discovery = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move { axum::serve(listener, routes).await });
    let (listen, sessions, agent) = (
        free_address().await,
        free_address().await,
        free_address().await,
    );
    let file = File::new("run", &config(&listen, &discovery, "null"));
    let second = File::new(
        "run-ws",
        &format!(r#"{{"listen":"{sessions}","agent_check":"{agent}"}}"#),
    );
    let running = Running::start(
        serve(&file)
            .arg("--websocket")
            .arg(&second.0)
            .stderr(Stdio::null()),
    );
    until_ready(&listen, "200").await;
    assert!(
        calls.load(Ordering::SeqCst) >= 2,
        "nonsense was tried again"
    );
    assert!(ask(&sessions, "/health").await.starts_with("HTTP/1.1 200"));
    let mut line = String::new();
    TcpStream::connect(&agent)
        .await
        .unwrap()
        .read_to_string(&mut line)
        .await
        .unwrap();
    assert_eq!(line, "up ready\n");
    signal(&running, "TERM");
    assert_eq!(end(running).await.code(), Some(0));
}

/// A discovery that tells one full list and then waits; and what it was asked.
async fn discovery_with(revision: u32, members: &'static str) -> (String, Arc<Mutex<Vec<String>>>) {
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let notes = asked.clone();
    let list = move |uri: Uri| {
        notes.lock().unwrap().push(uri.to_string());
        async move {
            if uri.query().is_some() {
                std::future::pending::<()>().await;
            }
            format!(r#"{{"revision":{revision},"complete":true,"members":[{members}]}}"#)
        }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let routes = Router::new().route("/v1/endpoints", get(list));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    (address, asked)
}

/// At SIGHUP a half-written file changes nothing, and is read again until it is whole; then the new address of
/// discovery is followed from a full list, though its revisions are older. Repeats, and SIGTERM after, work.
#[tokio::test]
async fn it_follows_a_new_discovery_at_sighup() {
    let reader = r#"{"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"}"#;
    let both = r#"{"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","phase":"Ready"}"#;
    let (first, _) = discovery_with(900, reader).await;
    let (second, asked) = discovery_with(3, both).await;
    let listen = free_address().await;
    let file = File::new("hup", &config(&listen, &first, "null"));
    let mut running = Running::start(serve(&file).stderr(Stdio::piped()));
    let mut lines = BufReader::new(running.0.stderr.take().unwrap()).lines();
    until_ready(&listen, "503").await;

    let new = config(&listen, &second, "null");
    std::fs::write(&file.0, &new[..new.len() / 2]).unwrap();
    signal(&running, "HUP");
    let told = tokio::task::spawn_blocking(move || {
        let told = lines.any(|line| line.unwrap().contains("can't be used"));
        (told, lines)
    });
    let (told, lines) = tokio::time::timeout(Duration::from_secs(20), told)
        .await
        .unwrap()
        .unwrap();
    assert!(told);
    assert!(ask(&listen, "/ready").await.starts_with("HTTP/1.1 503"));
    std::fs::write(&file.0, &new).unwrap();
    until_ready(&listen, "200").await;
    assert_eq!(asked.lock().unwrap()[0], "/v1/endpoints");

    signal(&running, "HUP");
    signal(&running, "HUP");
    assert!(ask(&listen, "/ready").await.starts_with("HTTP/1.1 200"));
    signal(&running, "TERM");
    // Nobody reads the rest of the log: the program must not wait for that.
    drop(lines);
    assert_eq!(end(running).await.code(), Some(0));
}

/// The list of the configuration is watched on from its revision: a full list costs discovery work at each start, and all of
/// a fleet start together.
#[tokio::test]
async fn it_watches_from_the_revision_that_it_was_given() {
    let known = r#"{"revision":41,"complete":true,"members":[
        {"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","phase":"Ready"}]}"#;
    let (discovery, asked) = discovery_with(41, "").await;
    let listen = free_address().await;
    let file = File::new("known", &config(&listen, &discovery, known));
    let running = Running::start(&mut serve(&file));
    until_ready(&listen, "200").await;
    while asked.lock().unwrap().is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(
        asked.lock().unwrap()[0].starts_with("/v1/endpoints?from=41&"),
        "{asked:?}"
    );
    signal(&running, "TERM");
    assert_eq!(end(running).await.code(), Some(0));
}

/// A restarted process is ready from the list that it was given, though discovery is down, silent, or turns all away, and
/// though lists are asked for by 300 dispatchers in turn.
#[tokio::test]
async fn it_is_ready_from_the_list_that_it_was_given_whatever_discovery_does() {
    let known = r#"{"revision":41,"complete":true,"members":[
        {"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":1,"phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","cell":1,"phase":"Ready"}]}"#;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let busy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addresses = [
        free_address().await,
        silent.local_addr().unwrap().to_string(),
        busy.local_addr().unwrap().to_string(),
    ];
    let turned_away = || async { axum::http::StatusCode::SERVICE_UNAVAILABLE };
    tokio::spawn(async move { axum::serve(busy, Router::new().fallback(turned_away)).await });
    for (at, discovery) in addresses.iter().enumerate() {
        for mode in ["automatic", "subscribe"] {
            let listen = free_address().await;
            let set = format!(r#""membership_mode":"{mode}","balancers":300"#);
            let text = config(&listen, discovery, known).replacen(r#""balancers":1"#, &set, 1);
            let file = File::new(&format!("ready-{at}-{mode}"), &text);
            let began = std::time::Instant::now();
            let running = Running::start(serve(&file).stderr(Stdio::null()));
            until_ready(&listen, "200").await;
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "{discovery}, {mode}: {:?}",
                began.elapsed()
            );
            signal(&running, "TERM");
            assert_eq!(end(running).await.code(), Some(0));
        }
    }
}

/// A file from which nothing may be taken: its discovery is not asked, its classes are not known.
#[tokio::test]
async fn of_a_broken_file_nothing_is_taken_at_sighup() {
    let both = r#"{"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","phase":"Ready"}"#;
    let (first, _) = discovery_with(1, both).await;
    let (second, asked) = discovery_with(2, both).await;
    let listen = free_address().await;
    let good = config(&listen, &first, "null");
    let file = File::new("broken", &good);
    let mut running = Running::start(serve(&file).stderr(Stdio::piped()));
    let mut lines = BufReader::new(running.0.stderr.take().unwrap()).lines();
    until_ready(&listen, "200").await;
    let next = config(&listen, &second, "null").replace("status-query", "balance-query");
    let classes = &next[next.find("\"classes\"").unwrap()..next.find(" \"dcs\"").unwrap()];
    let broken = [
        String::new(),
        next[..next.len() - 1].to_owned(),
        next.replace(classes, ""),
        next.replace(classes, "\"classes\":[],"),
        next.replace("\"most_tries\":5,", ""),
        next.replace("\"most_tries\":5", "\"most_tries\":0"),
        next.replace("\"most_tries\":5", "\"most_tries\":-2"),
        next.replace("\"most_tries\":5", "\"most_tries\":\"5\""),
        next.replace("\"aim\":2500.0,", ""),
        next.replace("\"aim\":2500.0", "\"aim\":0.0"),
        next.replace("\"aim\":2500.0", "\"aim\":\"soon\""),
        next.replace("\"fall\":1500.0,", ""),
        next.replace("\"tick\":4.0,", ""),
        next.replace(
            "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256},",
            "",
        ),
        next.replace("balance-query", "return-request"),
        next.replace("\"single_shot\"", "\"sometimes\""),
    ];
    for (number, text) in broken.iter().enumerate() {
        assert_ne!(*text, next, "{number}");
        std::fs::write(&file.0, text).unwrap();
        signal(&running, "HUP");
        let told = tokio::task::spawn_blocking(move || {
            let told = lines.any(|line| line.unwrap().contains("can't be used"));
            (told, lines)
        });
        let told = tokio::time::timeout(Duration::from_secs(20), told)
            .await
            .unwrap()
            .unwrap();
        assert!(told.0, "{number}");
        lines = told.1;
        assert!(ask(&listen, "/ready").await.starts_with("HTTP/1.1 200"));
    }
    assert!(
        asked.lock().unwrap().is_empty(),
        "nothing of a broken file is taken"
    );
    // The next good one is, however many bad ones came before.
    std::fs::write(&file.0, &next).unwrap();
    signal(&running, "HUP");
    let followed = async {
        while asked.lock().unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_millis(1200), followed)
        .await
        .expect("in force at once");
    drop(lines);
}
