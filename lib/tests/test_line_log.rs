//! Format of log lines, and the log's behaviour if its output blocks.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use comfreymux_lib::logging::LineLog;

#[derive(Default)]
struct OutputState {
    open: bool,
    bytes: Vec<u8>,
}

/// An output whose writes block until it is opened.
#[derive(Clone, Default)]
struct BlockingOutput {
    state: Arc<Mutex<OutputState>>,
    opened: Arc<Condvar>,
}

impl BlockingOutput {
    fn open(&self) {
        self.state.lock().expect("not poisoned").open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.state.lock().expect("not poisoned").bytes).into_owned()
    }

    fn wait_for(&self, part: &str) -> String {
        for _ in 0..500 {
            let text = self.text();
            if text.contains(part) {
                return text;
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("no `{part}` within ten seconds");
    }
}

impl io::Write for BlockingOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let state = self.state.lock().expect("not poisoned");
        let mut state = self.opened.wait_while(state, |t| !t.open).expect("not poisoned");
        state.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn pairs_ordered() {
    let output = BlockingOutput::default();
    output.open();
    let log = LineLog::with_output(output.clone());
    slog::info!(log.logger(), "request"; "attempt" => "a1", "status" => 503, "reason" => "too late\nx=1");
    let text = output.wait_for("reason");
    let line = text.lines().next().expect("one log line");
    assert!(
        line.contains("event=request attempt=a1 status=503 reason=\"too late\\nx=1\""),
        "{line}"
    );
}

/// The reader of standard output stops reading. Logging must not block requests or use unbounded
/// memory, and a later line reports the dropped lines.
#[test]
fn blocked_dropped() {
    let output = BlockingOutput::default();
    let log = LineLog::with_output(output.clone());
    let logger = log.logger();
    for n in 0..40_000 {
        slog::info!(logger, "request"; "attempt" => n, "text" => "some forty bytes of a usual line's end");
    }
    output.open();
    let text = output.wait_for("event=lines-dropped");
    assert!(text.len() < 2 * 1024 * 1024, "{} bytes", text.len());
}

/// A daemon stops gracefully, but its last log line is missing, so that the stop looks like a
/// crash: the process ended after the writer thread had dequeued the line and before it wrote it.
#[test]
fn last_written() {
    let output = BlockingOutput::default();
    let log = LineLog::with_output(output.clone());
    slog::info!(log.logger(), "stop"; "phase" => "ended");
    // The writer thread dequeues the line and blocks on the output.
    thread::sleep(Duration::from_millis(150));
    let opener_output = output.clone();
    let opener = thread::spawn(move || {
        thread::sleep(Duration::from_millis(120));
        opener_output.open();
    });
    log.flush();
    let text = output.text();
    opener.join().expect("join opener thread");
    assert!(text.contains("phase=ended"), "flush returned before the line was written");
}
