//! Structured logging: each event is one line of key=value pairs.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::KV as _;
use slog::Key;
use slog::Logger;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;

/// Most lines that are queued for a slow standard error; further lines are counted and dropped.
const MAX_QUEUED_LINES: usize = 8192;

/// Collects key=value pairs in the order in which slog emits them: the last pair of a line first.
#[derive(Default)]
struct Pairs {
    pairs: Vec<String>,
}

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, val: &fmt::Arguments<'_>) -> slog::Result {
        let mut pair = String::new();
        push_pair(&mut pair, key, &val.to_string());
        self.pairs.push(pair);
        Ok(())
    }
}

fn push_pair(line: &mut String, key: &str, value: &str) {
    line.push(' ');
    line.push_str(key);
    line.push('=');
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        line.push_str(value);
    } else {
        // Quoted and escaped, so that text from a caller cannot start a new log line.
        let _infallible = write!(line, "{value:?}");
    }
}

struct LineDrain<W> {
    writer: Mutex<W>,
}

impl<W: io::Write> Drain for LineDrain<W> {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = format!("ts={}.{:03}", since.as_secs(), since.subsec_millis());
        push_pair(&mut line, "level", record.level().as_short_str());
        push_pair(&mut line, "event", &record.msg().to_string());
        let mut pairs = Pairs::default();
        record.kv().serialize(record, &mut pairs).map_err(io::Error::other)?;
        values.serialize(record, &mut pairs).map_err(io::Error::other)?;
        // slog emits the newest pair of each part first; the line lists them in source order.
        pairs.pairs.reverse();
        line.extend(pairs.pairs);
        line.push('\n');
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write_all(line.as_bytes())
    }
}

/// Creates a logger that writes lines to standard error without blocking its caller.
pub fn to_stderr() -> Logger {
    let drain = LineDrain { writer: Mutex::new(io::stderr()) };
    let drain = slog_async::Async::new(drain.ignore_res()).chan_size(MAX_QUEUED_LINES).build();
    Logger::root(drain.ignore_res(), slog::o!())
}

/// Most bytes that are buffered for a slow output; further lines are counted and dropped.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;
/// Time between writes; batching lets one wake-up of the writer thread write many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Most checks, one per [`WRITE_INTERVAL`], that [`LineLog::flush`] makes before it returns anyway.
const MAX_FLUSH_CHECKS: u32 = 4;

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether the writer thread has taken lines that it has not written yet.
    writing: bool,
}

impl LineBuffer {
    /// Removes and returns the buffered lines, followed by a count of dropped ones if there are
    /// any.
    fn take(&mut self) -> Vec<u8> {
        let mut bytes = std::mem::take(&mut self.bytes);
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 {
            bytes.extend_from_slice(format!("event=lines-dropped count={dropped}\n").as_bytes());
        }
        self.writing = !bytes.is_empty();
        bytes
    }
}

fn lock(buffer: &Mutex<LineBuffer>) -> MutexGuard<'_, LineBuffer> {
    buffer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Buffers lines for the writer thread; a write never waits for the output.
struct BufferWriter(Arc<Mutex<LineBuffer>>);

impl io::Write for BufferWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut buffer = lock(&self.0);
        if buffer.bytes.len() + buf.len() > MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A logger for an output that may block: lines are buffered and written by a separate thread.
#[derive(Debug)]
pub struct LineLog {
    logger: Logger,
    buffer: Arc<Mutex<LineBuffer>>,
}

impl LineLog {
    /// Starts a thread that writes the log lines to `output`.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    pub fn with_output(output: impl io::Write + Send + 'static) -> Self {
        let buffer = Arc::new(Mutex::new(LineBuffer::default()));
        let drain = LineDrain { writer: Mutex::new(BufferWriter(Arc::clone(&buffer))) };
        let writer_buffer = Arc::clone(&buffer);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&writer_buffer, output))
            .expect("the log thread can be started");
        Self { logger: Logger::root(drain.ignore_res(), slog::o!()), buffer }
    }

    /// Returns a handle to the logger; clones write to the same buffer.
    pub fn logger(&self) -> Logger {
        self.logger.clone()
    }

    /// Waits until the buffered lines are written, for a limited time; called before the process
    /// exits.
    ///
    /// It also waits for lines that the writer thread has taken but not written: a process that
    /// exits before that loses its last line, and its stop looks like a crash.
    pub fn flush(&self) {
        for _ in 0..MAX_FLUSH_CHECKS {
            thread::sleep(WRITE_INTERVAL);
            let buffer = lock(&self.buffer);
            if buffer.bytes.is_empty() && !buffer.writing {
                return;
            }
        }
    }
}

fn write_lines(buffer: &Mutex<LineBuffer>, mut output: impl io::Write) {
    loop {
        thread::sleep(WRITE_INTERVAL);
        let bytes = lock(buffer).take();
        if !bytes.is_empty() && output.write_all(&bytes).and_then(|()| output.flush()).is_err() {
            return;
        }
        lock(buffer).writing = false;
    }
}

/// Creates a logger that writes lines to standard output without blocking its caller.
pub fn to_stdout() -> LineLog {
    LineLog::with_output(io::stdout())
}

/// Prints with `print!`, whose output a test harness captures.
struct PrintWriter;

impl io::Write for PrintWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        print!("{}", String::from_utf8_lossy(buf));
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Creates a logger for tests: the test harness shows the lines of a test that fails.
pub fn to_test_output() -> Logger {
    let drain = LineDrain { writer: Mutex::new(PrintWriter) };
    Logger::root(drain.ignore_res(), slog::o!())
}

/// Creates a logger that discards all lines.
pub fn to_nowhere() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
