//! An adapter between the simulator and the router: speaks the simulator's protocol of JSON lines on standard input and
//! output, and hosts one [`Router`](quartzhall::routing::Router) for each simulated dispatcher.
//!
//! The adapter only translates; all decisions are the router's. Invalid input ends the process with one line on
//! standard error. `messages` has the protocol's names; `host` owns the instances.

mod error;
mod host;
mod messages;

use error::{HostError, LineError};
use host::Host;
use std::io::BufRead;

fn run() -> Result<(), LineError> {
    let mut host = Host::default();
    let mut output = std::io::stdout().lock();
    for (index, line) in std::io::stdin().lock().lines().enumerate() {
        let number = index + 1;
        let at_line = |source| LineError { number, source };
        let line = line.map_err(HostError::Read).map_err(at_line)?;
        if !line.trim().is_empty() {
            host.handle_line(&line, &mut output).map_err(at_line)?;
        }
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzhall-simhost: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
