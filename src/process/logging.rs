//! The log: lines on standard error, written by a thread of their own.

use slog::{o, Drain, Level, Logger};

/// Messages that may wait to be written; further ones are dropped and counted.
const QUEUE_LENGTH: usize = 4096;

/// Starts the log at this level. A log that nobody reads never blocks the dispatcher. The guard flushes what is queued
/// when it is dropped.
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
