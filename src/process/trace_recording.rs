//! Starts the recording of a trace, if the command line names a file for it.

use super::ServeError;
use crate::config::Deployment;
use crate::dispatcher::Clock;
use crate::recording::TraceRecorder;
use quartzhall_recording::{Key, Recorder};
use std::fs::File;
use std::path::Path;

/// Records that can wait to be written; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 8192;

/// Both ends of a recording: `trace` makes the records in the core, `recorder` writes them to the file in its own
/// thread.
pub(super) struct Recording {
    pub trace: TraceRecorder,
    pub recorder: Recorder,
}

/// Starts a recording in a new file. Fails if the file exists: a recording is never overwritten.
pub(super) fn start(
    path: &Path,
    dispatcher_name: &str,
    clock: Clock,
    deployment: &Deployment,
) -> Result<Recording, ServeError> {
    let io_error = |source| ServeError::Recording {
        path: path.to_owned(),
        source,
    };
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|error| ServeError::RecordingKey {
        path: path.to_owned(),
        error,
    })?;
    let file = File::create_new(path).map_err(io_error)?;
    let recorder = Recorder::start(file, QUEUE_LENGTH).map_err(io_error)?;
    let key = Key::from_secret(&secret);
    Ok(Recording {
        trace: TraceRecorder::new(key, clock.now(), dispatcher_name, deployment),
        recorder,
    })
}
