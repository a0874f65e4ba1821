//! Logs: one line of key=value pairs an event.

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

/// Lines that wait for a slow standard error; more are counted and dropped.
const CHANNEL: usize = 8192;

/// Pairs as the logger hands them out: the last one of a line first.
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
        // Quoted and escaped, so that a caller's text cannot start a line of its own.
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
        // Within each part the newest pair comes first; the reader expects them as written.
        pairs.pairs.reverse();
        line.extend(pairs.pairs);
        line.push('\n');
        let mut writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        writer.write_all(line.as_bytes())
    }
}

/// Creates a logger that writes lines to standard error without holding up its caller.
pub fn to_stderr() -> Logger {
    let drain = LineDrain { writer: Mutex::new(io::stderr()) };
    let drain = slog_async::Async::new(drain.ignore_res()).chan_size(CHANNEL).build();
    Logger::root(drain.ignore_res(), slog::o!())
}

/// Bytes of lines that wait for a slow standard output; more are counted and dropped.
const WAITING_BYTES: usize = 512 * 1024;
/// Time between writes: one wake-up of the writing thread carries many lines.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Looks at whether the last lines are written, at most, before a process ends.
const FLUSH_LOOKS: u32 = 4;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether lines were taken and are not written yet.
    writing: bool,
}

impl Waiting {
    /// Takes the lines to be written.
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

fn lock(waiting: &Mutex<Waiting>) -> MutexGuard<'_, Waiting> {
    waiting.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps lines until the writing thread takes them; never blocks whoever logs.
struct WaitingWriter(Arc<Mutex<Waiting>>);

impl io::Write for WaitingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = lock(&self.0);
        if waiting.bytes.len() + buf.len() > WAITING_BYTES {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(buf);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines on their way to an output that may block.
#[derive(Debug)]
pub struct LineLog {
    logger: Logger,
    waiting: Arc<Mutex<Waiting>>,
}

impl LineLog {
    /// Logs to `output` from a thread of its own.
    ///
    /// # Panics
    ///
    /// Panics if the system gives no thread.
    pub fn with_output(output: impl io::Write + Send + 'static) -> Self {
        let waiting = Arc::new(Mutex::new(Waiting::default()));
        let drain = LineDrain { writer: Mutex::new(WaitingWriter(Arc::clone(&waiting))) };
        let for_thread = Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&for_thread, output))
            .expect("a thread at start");
        Self { logger: Logger::root(drain.ignore_res(), slog::o!()), waiting }
    }

    /// Returns the logger.
    pub fn logger(&self) -> Logger {
        self.logger.clone()
    }

    /// Gives the lines that wait a last moment to be written.
    ///
    /// Lines that the writing thread has taken count as well: a process that ended then would lose its
    /// last line, and its stop would look like a crash.
    pub fn flush(&self) {
        for _ in 0..FLUSH_LOOKS {
            thread::sleep(WRITE_EVERY);
            let waiting = lock(&self.waiting);
            if waiting.bytes.is_empty() && !waiting.writing {
                return;
            }
        }
    }
}

fn write_lines(waiting: &Mutex<Waiting>, mut output: impl io::Write) {
    loop {
        thread::sleep(WRITE_EVERY);
        let bytes = lock(waiting).take();
        if !bytes.is_empty() && output.write_all(&bytes).and_then(|()| output.flush()).is_err() {
            return;
        }
        lock(waiting).writing = false;
    }
}

/// Logs to standard output without ever holding up its caller.
pub fn to_stdout() -> LineLog {
    LineLog::with_output(io::stdout())
}

/// Creates a logger that drops everything.
pub fn to_nowhere() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
