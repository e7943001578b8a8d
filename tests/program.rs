//! The program `quartzhall`: command line, startup, reload on SIGHUP and shutdown on SIGTERM.

mod free_address;
mod testbed;

use axum::extract::State;
use axum::http::Uri;
use axum::routing::get;
use axum::Router;
use free_address::free_address;
use std::io::{BufRead, BufReader, Lines};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzhall");

/// The longest time that the program may take to respond or to exit.
const TIMEOUT: Duration = Duration::from_secs(20);

const PREFILL_ENDPOINT: &str =
    r#"{"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"}"#;
const BOTH_ENDPOINTS: &str = r#"{"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","phase":"Ready"}"#;

/// A file that is removed when the test ends.
struct TemporaryFile {
    path: PathBuf,
}

impl TemporaryFile {
    fn new(name: &str, text: &str) -> TemporaryFile {
        let path =
            std::env::temp_dir().join(format!("quartzhall-{}-{name}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        TemporaryFile { path }
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A running dispatcher, which is killed when the test ends.
struct Dispatcher {
    child: Child,
}

impl Dispatcher {
    /// Starts the dispatcher; its log goes to `log`.
    fn start(config: &TemporaryFile, sessions: Option<&TemporaryFile>, log: Stdio) -> Dispatcher {
        let child = serve(config, sessions).stderr(log).spawn().unwrap();
        Dispatcher { child }
    }

    /// Starts the dispatcher and returns its log for reading.
    fn start_with_log(config: &TemporaryFile) -> (Dispatcher, LogLines) {
        let mut dispatcher = Dispatcher::start(config, None, Stdio::piped());
        let log = dispatcher.child.stderr.take().unwrap();
        (dispatcher, BufReader::new(log).lines())
    }

    fn signal(&self, name: &str) {
        let kill = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status()
            .unwrap();
        assert!(kill.success());
    }

    async fn wait_for_exit(mut self) -> ExitStatus {
        let exit = tokio::task::spawn_blocking(move || self.child.wait().unwrap());
        tokio::time::timeout(TIMEOUT, exit)
            .await
            .expect("the dispatcher exits")
            .unwrap()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

type LogLines = Lines<BufReader<ChildStderr>>;

/// Reads the log up to a line that contains `text`. Returns whether there is one, and the lines after it.
async fn read_log_until(mut lines: LogLines, text: &'static str) -> (bool, LogLines) {
    let read = tokio::task::spawn_blocking(move || {
        let is_found = lines.any(|line| line.unwrap().contains(text));
        (is_found, lines)
    });
    tokio::time::timeout(TIMEOUT, read).await.unwrap().unwrap()
}

fn config(listen: &str, discovery: &str, known: &str) -> String {
    let settings = testbed::SETTINGS;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":256}},"known":{known},"settings":{settings}}}"#
    )
}

/// Returns the command that serves with a configuration and an optional session file.
fn serve(config: &TemporaryFile, sessions: Option<&TemporaryFile>) -> Command {
    let mut command = Command::new(PROGRAM);
    command.args(["serve", "--config"]).arg(&config.path);
    if let Some(sessions) = sessions {
        command.arg("--websocket").arg(&sessions.path);
    }
    command
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

#[test]
fn serve_fails_with_a_one_line_error_when_a_file_is_invalid() {
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
        let config = TemporaryFile::new(name, &text);
        let sessions = TemporaryFile::new(&format!("{name}-ws"), &sessions);
        let output = serve(&config, Some(&sessions)).output().unwrap();
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
fn version_and_check_print_their_summaries() {
    let version = run(&["version"]);
    assert_eq!(
        String::from_utf8_lossy(&version.stdout),
        concat!("quartzhall ", env!("CARGO_PKG_VERSION"), "\n")
    );
    let file = TemporaryFile::new("check", &config("127.0.0.1:0", "127.0.0.1:1", "null"));
    let check = run(&["check", "--config", file.path.to_str().unwrap()]);
    assert!(check.status.success());
    assert!(String::from_utf8_lossy(&check.stdout).contains("2 classes, 1 tenants"));
}

/// Retries a `GET` request until the address responds. Returns the whole response.
async fn get_response(address: &str, path: &str) -> String {
    let requests = async {
        loop {
            if let Ok(mut stream) = TcpStream::connect(address).await {
                let request =
                    format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                stream.write_all(request.as_bytes()).await.unwrap();
                let mut response = String::new();
                if stream.read_to_string(&mut response).await.is_ok() && !response.is_empty() {
                    return response;
                }
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TIMEOUT, requests)
        .await
        .expect("a response")
}

/// Waits until the readiness check responds with this status code.
async fn wait_for_readiness(address: &str, code: &str) {
    while !get_response(address, "/ready")
        .await
        .starts_with(&format!("HTTP/1.1 {code}"))
    {}
}

/// Discovery first sends a truncated response, then a full list. The program is ready only after the list, and exits
/// with status 0 on SIGTERM.
#[tokio::test]
async fn becomes_ready_with_an_endpoint_list_and_drains_at_sigterm() {
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
    let listen = free_address();
    let sessions = free_address();
    let agent = free_address();
    let file = TemporaryFile::new("run", &config(&listen, &discovery, "null"));
    let session_file = TemporaryFile::new(
        "run-ws",
        &format!(r#"{{"listen":"{sessions}","agent_check":"{agent}"}}"#),
    );
    let dispatcher = Dispatcher::start(&file, Some(&session_file), Stdio::null());
    wait_for_readiness(&listen, "200").await;
    assert!(
        calls.load(Ordering::SeqCst) >= 2,
        "discovery is called again after a truncated response"
    );
    assert!(get_response(&sessions, "/health")
        .await
        .starts_with("HTTP/1.1 200"));
    let mut line = String::new();
    TcpStream::connect(&agent)
        .await
        .unwrap()
        .read_to_string(&mut line)
        .await
        .unwrap();
    assert_eq!(line, "up ready\n");
    dispatcher.signal("TERM");
    assert_eq!(dispatcher.wait_for_exit().await.code(), Some(0));
}

/// The targets of the requests that a discovery server has received.
type RequestTargets = Arc<Mutex<Vec<String>>>;

/// Starts a discovery server that responds to requests for the full list and never to watches. Returns its address and
/// the requests that it receives.
async fn start_discovery(revision: u32, members: &'static str) -> (String, RequestTargets) {
    let requests = RequestTargets::default();
    let received = requests.clone();
    let list = move |uri: Uri| {
        received.lock().unwrap().push(uri.to_string());
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
    (address, requests)
}

/// On SIGHUP, a half-written file changes nothing and is read again until it is complete. The new discovery server is
/// then asked for a full list, although its revisions are lower. Further SIGHUPs and a final SIGTERM still work.
#[tokio::test]
async fn reload_retries_a_half_written_file_and_uses_the_new_discovery_address() {
    let (first, _) = start_discovery(900, PREFILL_ENDPOINT).await;
    let (second, requests) = start_discovery(3, BOTH_ENDPOINTS).await;
    let listen = free_address();
    let file = TemporaryFile::new("hup", &config(&listen, &first, "null"));
    let (dispatcher, lines) = Dispatcher::start_with_log(&file);
    wait_for_readiness(&listen, "503").await;

    let new = config(&listen, &second, "null");
    file.write(&new[..new.len() / 2]);
    dispatcher.signal("HUP");
    let (is_rejected, lines) = read_log_until(lines, "configuration rejected").await;
    assert!(is_rejected);
    assert!(get_response(&listen, "/ready")
        .await
        .starts_with("HTTP/1.1 503"));
    file.write(&new);
    wait_for_readiness(&listen, "200").await;
    assert_eq!(requests.lock().unwrap()[0], "/v1/endpoints");

    dispatcher.signal("HUP");
    dispatcher.signal("HUP");
    assert!(get_response(&listen, "/ready")
        .await
        .starts_with("HTTP/1.1 200"));
    dispatcher.signal("TERM");
    // The rest of the log is not read; the program must not block on it.
    drop(lines);
    assert_eq!(dispatcher.wait_for_exit().await.code(), Some(0));
}

/// After startup with a configured endpoint list, discovery is watched from that list's revision on. Full lists would
/// cost discovery too much work when a whole fleet starts at once.
#[tokio::test]
async fn watches_discovery_from_the_revision_of_the_configured_list() {
    let known = format!(r#"{{"revision":41,"complete":true,"members":[{BOTH_ENDPOINTS}]}}"#);
    let (discovery, requests) = start_discovery(41, "").await;
    let listen = free_address();
    let file = TemporaryFile::new("known", &config(&listen, &discovery, &known));
    let dispatcher = Dispatcher::start(&file, None, Stdio::inherit());
    wait_for_readiness(&listen, "200").await;
    while requests.lock().unwrap().is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(
        requests.lock().unwrap()[0].starts_with("/v1/endpoints?from=41&"),
        "{requests:?}"
    );
    dispatcher.signal("TERM");
    assert_eq!(dispatcher.wait_for_exit().await.code(), Some(0));
}

/// A restarted process becomes ready with the configured list although discovery is down, doesn't respond or rejects
/// all requests. This also holds in a fleet of 300 dispatchers, which spread out their first polls.
#[tokio::test]
async fn becomes_ready_with_the_configured_list_when_discovery_fails() {
    let known = r#"{"revision":41,"complete":true,"members":[
        {"id":"r","host_port":"127.0.0.1:1","locality":"east","flavor":"prefill","cell":1,"phase":"Ready"},
        {"id":"w","host_port":"127.0.0.1:2","locality":"east","flavor":"decode","cell":1,"phase":"Ready"}]}"#;
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let busy = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addresses = [
        free_address(),
        silent.local_addr().unwrap().to_string(),
        busy.local_addr().unwrap().to_string(),
    ];
    let reject = || async { axum::http::StatusCode::SERVICE_UNAVAILABLE };
    tokio::spawn(async move { axum::serve(busy, Router::new().fallback(reject)).await });
    for (index, discovery) in addresses.iter().enumerate() {
        for mode in ["automatic", "subscribe"] {
            let listen = free_address();
            let polling = format!(r#""membership_mode":"{mode}","balancers":300"#);
            let text = config(&listen, discovery, known).replacen(r#""balancers":1"#, &polling, 1);
            let file = TemporaryFile::new(&format!("ready-{index}-{mode}"), &text);
            let started = std::time::Instant::now();
            let dispatcher = Dispatcher::start(&file, None, Stdio::null());
            wait_for_readiness(&listen, "200").await;
            assert!(
                started.elapsed() < Duration::from_secs(10),
                "{discovery}, {mode}: {:?}",
                started.elapsed()
            );
            dispatcher.signal("TERM");
            assert_eq!(dispatcher.wait_for_exit().await.code(), Some(0));
        }
    }
}

/// A rejected file changes nothing: its discovery server gets no request, and the dispatcher stays ready.
#[tokio::test]
async fn reload_of_an_invalid_file_changes_nothing() {
    let (first, _) = start_discovery(1, BOTH_ENDPOINTS).await;
    let (second, requests) = start_discovery(2, BOTH_ENDPOINTS).await;
    let listen = free_address();
    let good = config(&listen, &first, "null");
    let file = TemporaryFile::new("broken", &good);
    let (dispatcher, mut lines) = Dispatcher::start_with_log(&file);
    wait_for_readiness(&listen, "200").await;
    let next = config(&listen, &second, "null").replace("status-query", "balance-query");
    let classes = &next[next.find("\"classes\"").unwrap()..next.find(" \"dcs\"").unwrap()];
    let invalid = [
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
    for (number, text) in invalid.iter().enumerate() {
        assert_ne!(*text, next, "{number}");
        file.write(text);
        dispatcher.signal("HUP");
        let is_rejected;
        (is_rejected, lines) = read_log_until(lines, "configuration rejected").await;
        assert!(is_rejected, "{number}");
        assert!(get_response(&listen, "/ready")
            .await
            .starts_with("HTTP/1.1 200"));
    }
    assert!(
        requests.lock().unwrap().is_empty(),
        "nothing of an invalid file is applied"
    );
    // The next valid file is applied at once, however many invalid files came before it.
    file.write(&next);
    dispatcher.signal("HUP");
    let request_arrives = async {
        while requests.lock().unwrap().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_millis(1200), request_arrives)
        .await
        .expect("applied at once");
    drop(lines);
}
