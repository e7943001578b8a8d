//! Exchanges in the simulator's protocol with the adapter `quartzhall-simhost`.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const INSTANCE_STARTED: &str = r#"{"type":"frame","t":1000.0,"n":1}
{"type":"born","who":"router_0","init_seed":7,"profile_data":{"balancers":1,"classes":[{"name":"chat","aim":1200.0,"repeat":"free","group":"all","key_ttl":0.0,"worth":3.0,"news":1}],"dcs":["east"],"family_info":{"role_by_kind":["read","write"],"tokens_by_kind":[200000,100000],"release_within":500.0,"token_aim":[60.0]},"limits":{"most_tries":5,"cancel":true},"machine_types":["prefill","decode"],"reporting":{"via":"answers"},"rules":{"fall":1000.0},"tick":2.0,"zone":"east"}}
{"type":"catalog","sheet":0,"lines":[{"rating":1,"born":null,"zone":"east","pack":0,"sku":"prefill","readiness":0,"worker":"10.0.0.1:9000"},{"rating":1,"born":500.0,"zone":"east","pack":0,"sku":"decode","readiness":0,"worker":"10.0.0.2:9000"}]}
{"type":"view","who":"router_0","form":2,"revision":1,"sheet":0}
{"type":"commit"}
"#;

const REQUEST_ARRIVED: &str = r#"{"type":"frame","t":1002.0,"n":2}
{"type":"request","who":"router_0","rid":41,"kind":"chat","user_group":null,"session":"91f03b7c55d20a64","expires_in":4000.0,"cost":null,"system_prompt":null,"prompt_len":1800,"prefix_len":0,"max_out":256,"is_retry":false,"reconnect":false}
{"type":"commit"}
"#;

const PREFILL_DONE: &str = r#"{"type":"frame","t":1050.0,"n":3}
{"type":"answer","who":"router_0","rid":41,"trial":0,"worker":"10.0.0.1:9000","status":"handover","rtt":48.0,"final":false,"remark":0,"metrics":{"inflight":1,"x0":0.1}}
{"type":"commit"}
"#;

fn run(input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_quartzhall-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at an invalid line before it has read the rest, so a broken pipe is no error.
    let _ = adapter
        .stdin
        .take()
        .expect("its input")
        .write_all(input.as_bytes());
    adapter.wait_with_output().expect("the adapter ends")
}

fn replies(input: &str) -> String {
    let output = run(input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).expect("UTF-8")
}

#[test]
fn a_request_goes_to_a_prefill_and_then_a_decode_endpoint() {
    let text = replies(&format!(
        "{INSTANCE_STARTED}{REQUEST_ARRIVED}{PREFILL_DONE}"
    ));
    let reply_lines: Vec<&str> = text.split_inclusive("}\n").collect();
    let line_of = |needle: &str| {
        reply_lines
            .iter()
            .position(|line| line.contains(needle))
            .unwrap_or_else(|| panic!("{needle} in {text}"))
    };
    let prefill = line_of(r#""worker":"10.0.0.1:9000""#);
    let decode = line_of(r#""worker":"10.0.0.2:9000""#);
    assert!(
        reply_lines[prefill].starts_with(r#"{"type":"relay","who":"router_0","rid":41,"limit":"#),
        "{text}"
    );
    assert!(
        line_of(r#"{"type":"ok","n":1}"#) < prefill && prefill < line_of(r#"{"type":"ok","n":2}"#)
    );
    assert!(
        line_of(r#"{"type":"ok","n":2}"#) < decode && decode < line_of(r#"{"type":"ok","n":3}"#)
    );
}

#[test]
fn instances_share_nothing() {
    let two_instances = format!(
        "{INSTANCE_STARTED}{}",
        INSTANCE_STARTED
            .replace("router_0", "router_1")
            .replace("\"n\":1", "\"n\":9")
    );
    let alone = replies(&format!("{INSTANCE_STARTED}{REQUEST_ARRIVED}"));
    let both = replies(&format!("{two_instances}{REQUEST_ARRIVED}"));
    let lines_for_router_0 = |text: &str| {
        text.lines()
            .filter(|line| line.contains("router_0"))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    assert_eq!(lines_for_router_0(&alone), lines_for_router_0(&both));
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(
        replies("{\"type\":\"frame\",\"t\":8.25,\"n\":4}\n{\"type\":\"commit\"}\n"),
        "{\"type\":\"ok\",\"n\":4}\n"
    );
}

#[test]
fn invalid_input_ends_with_a_one_line_error() {
    let cases = [
        ("not json", "line 1"),
        ("{\"type\":\"nonsense\"}", "nonsense"),
        ("{\"type\":\"frame\",\"n\":4}", "missing field `t`"),
        (
            "{\"type\":\"frame\",\"t\":\"x\",\"n\":4}",
            "not a message of the wire",
        ),
        (
            "{\"type\":\"tick_due\",\"who\":\"router_5\",\"key_back\":\"\"}",
            "unknown instance",
        ),
        ("{\"type\":\"frame\",\"t\":1e999,\"n\":4}", "line 1"),
    ];
    for (line, expected) in cases {
        let output = run(&format!("{line}\n"));
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(
            error.contains(expected) && error.contains("line 1") && error.lines().count() == 1,
            "{line}: {error}"
        );
        assert!(!error.contains("panicked"), "{error}");
    }
    let invalid = REQUEST_ARRIVED.replace("\"kind\":\"chat\"", "\"kind\":\"other\"");
    let error =
        String::from_utf8_lossy(&run(&format!("{INSTANCE_STARTED}{invalid}")).stderr).into_owned();
    assert!(
        error.contains("line 7") && error.contains("unknown kind"),
        "{error}"
    );
}
