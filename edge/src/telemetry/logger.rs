//! Logger that writes lines to standard output from its own thread.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use env_logger::{
    Builder,
    Target, //
};
use log::LevelFilter;

/// Most lines that wait for the writer thread; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 8192;

/// Pause of the writer thread between two writes, so that one write carries many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Passes lines to the writer thread without blocking.
struct LineQueue {
    lines: flume::Sender<Vec<u8>>,
    /// Lines dropped since the last write.
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until the logger is dropped or standard output is closed.
fn write_lines(lines: &flume::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        let mut batch = first;
        for line in lines.drain() {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend_from_slice(format!("event=lines_dropped count={lost}\n").as_bytes());
        }
        if io::stdout().write_all(&batch).is_err() {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}

/// Installs the logger: one line of `key=value` pairs per event, in a bounded queue that never blocks.
///
/// # Errors
///
/// Fails if the writer thread can't be started.
pub fn init_log(level: LevelFilter) -> io::Result<()> {
    let (lines, queue) = flume::bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write_lines(&queue, &count))?;
    Builder::new()
        .filter_level(level)
        .target(Target::Pipe(Box::new(LineQueue { lines, dropped })))
        .format(|out, record| {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis());
            writeln!(out, "t={now} level={} {}", record.level(), record.args())
        })
        .init();
    Ok(())
}
