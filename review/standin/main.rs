//! Stand-ins for the review: replicas, discovery, HTTP clients and WebSocket terminals, and the scripts of the cases.
//!
//! Usage: `standin CASE`, from the repository's root. `RECORD` names the record's file; `TROUBLE=0` leaves the
//! disruption out. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case1;
mod case2;
mod case3;
mod dispatcher;
mod fleet;
mod http;
mod record;
mod terminal;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open();
    record::line(&format!("case {case}, trouble {trouble}"));
    let run = || match case.as_str() {
        "1" => case1::run(trouble),
        "2" => case2::run(trouble),
        "3" => case3::run(trouble),
        _ => Err("unknown case".to_owned()),
    };
    let result = std::panic::catch_unwind(run).unwrap_or_else(|_| Err("a panic".to_owned()));
    dispatcher::end_all();
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record::line("RESULT: the rule held");
            0
        }
        Ok(broken) => {
            for text in &broken {
                record::line(&format!("BROKEN: {text}"));
            }
            record::line(&format!(
                "RESULT: the rule was broken {} times",
                broken.len()
            ));
            1
        }
        Err(error) => {
            record::line(&format!("RESULT: the case could not run: {error}"));
            2
        }
    };
    record::close();
    std::process::exit(code);
}
