//! Sets up the log: lines on standard error, written by a thread of its own so that the dispatcher never waits for it.

use slog::{o, Drain, Level, Logger};

/// Messages that can wait to be written; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 4096;

/// Starts the log at this level. It does not block the dispatcher even if nothing reads standard error. Dropping the
/// guard flushes the queued messages.
pub fn start(level: Level) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let (drain, guard) = slog_async::Async::new(format)
        .chan_size(QUEUE_LENGTH)
        .build_with_guard();
    let log = Logger::root(drain.filter_level(level).fuse(), o!());
    (log, guard)
}
