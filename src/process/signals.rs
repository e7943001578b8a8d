//! The signals that the process handles: SIGHUP reloads the configuration; SIGTERM and SIGINT shut the process down.

use super::ServeError;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The installed signal handlers.
pub(super) struct Signals {
    pub hangup: Signal,
    pub termination: TerminationSignals,
}

/// The signals that shut the process down.
pub(super) struct TerminationSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the handlers. This must be the first step of the startup: a signal that arrives earlier kills the
    /// process.
    pub(super) fn install() -> Result<Signals, ServeError> {
        let hangup = signal(SignalKind::hangup()).map_err(ServeError::Signal)?;
        let terminate = signal(SignalKind::terminate()).map_err(ServeError::Signal)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(ServeError::Signal)?;
        let termination = TerminationSignals {
            terminate,
            interrupt,
        };
        Ok(Signals {
            hangup,
            termination,
        })
    }
}

impl TerminationSignals {
    /// Waits for either of the two signals.
    pub(super) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
