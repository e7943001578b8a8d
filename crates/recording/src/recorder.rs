//! The recorder of a running dispatcher: a bounded queue, and a thread that owns the file.
//!
//! The dispatcher never waits for the file. If the queue is full, records are dropped and counted, and the thread writes their
//! number as [`Record::Dropped`].

use crate::{Record, Writer};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The writer is flushed when no record has arrived for this long.
const FLUSH_DELAY: Duration = Duration::from_secs(1);

/// Writes records in its own thread. Dropping the recorder writes the queued records and discards any error.
pub struct Recorder {
    queue: Option<SyncSender<Record>>,
    dropped: Arc<AtomicU64>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl Recorder {
    /// Writes the header and starts the thread. The queue holds up to `capacity` records.
    ///
    /// # Errors
    ///
    /// Fails if the header cannot be written or the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static, capacity: usize) -> io::Result<Recorder> {
        let mut writer = Writer::new(io::BufWriter::new(output))?;
        writer.flush()?;
        let (queue, records) = sync_channel(capacity);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        let thread = std::thread::Builder::new()
            .name("recorder".into())
            .spawn(move || write_records(&mut writer, &records, &thread_dropped))?;
        Ok(Recorder {
            queue: Some(queue),
            dropped,
            thread: Some(thread),
        })
    }

    /// Queues a record without waiting. Counts it as dropped if the queue is full or the thread has ended after an error.
    pub fn record(&self, record: Record) {
        let Some(queue) = &self.queue else { return };
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = queue.try_send(record) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Writes the queued records, flushes the output and waits for the thread to end.
    ///
    /// # Errors
    ///
    /// Returns the first error that the thread met; it ends the recording.
    pub fn end(mut self) -> io::Result<()> {
        self.join_thread()
    }

    /// Closes the queue, waits until the thread has written what is queued, and returns the thread's result. A panic of the
    /// thread becomes an error; further calls return `Ok`.
    fn join_thread(&mut self) -> io::Result<()> {
        self.queue = None;
        let Some(thread) = self.thread.take() else {
            return Ok(());
        };
        thread
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the recorder thread panicked")))
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        let _ = self.join_thread();
    }
}

/// Writes records until the sender is dropped and the queue is empty, or until the first error. Flushes after
/// [`FLUSH_DELAY`] without a record. A count in `dropped` is written before the next record, and is then zero again.
fn write_records<W: Write>(
    writer: &mut Writer<W>,
    records: &Receiver<Record>,
    dropped: &AtomicU64,
) -> io::Result<()> {
    let mut is_flushed = true;
    loop {
        let next = records.recv_timeout(FLUSH_DELAY);
        // `next` may have been queued before the records were dropped, so the count can precede the gap by up to the queue's
        // capacity.
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            writer.write(&Record::Dropped { records: missing })?;
        }
        match next {
            Ok(record) => {
                writer.write(&record)?;
                is_flushed = false;
            }
            Err(RecvTimeoutError::Timeout) if is_flushed => {}
            Err(RecvTimeoutError::Timeout) => {
                writer.flush()?;
                is_flushed = true;
            }
            Err(RecvTimeoutError::Disconnected) => return writer.flush(),
        }
    }
}
