//! Lines of the log, and an output that does not take them.

use std::io;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use comfreymux_lib::logging::LineLog;

#[derive(Default)]
struct Taken {
    open: bool,
    bytes: Vec<u8>,
}

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
    taken: Arc<Mutex<Taken>>,
    opened: Arc<Condvar>,
}

impl Gate {
    fn open(&self) {
        self.taken.lock().expect("not poisoned").open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.taken.lock().expect("not poisoned").bytes).into_owned()
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

impl io::Write for Gate {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let taken = self.taken.lock().expect("not poisoned");
        let mut taken = self.opened.wait_while(taken, |t| !t.open).expect("not poisoned");
        taken.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn pairs_ordered() {
    let gate = Gate::default();
    gate.open();
    let log = LineLog::with_output(gate.clone());
    slog::info!(log.logger(), "request"; "attempt" => "a1", "status" => 503, "reason" => "too late\nx=1");
    let text = gate.wait_for("reason");
    let line = text.lines().next().expect("a line");
    assert!(
        line.contains("event=request attempt=a1 status=503 reason=\"too late\\nx=1\""),
        "{line}"
    );
}

/// Whatever reads standard output stops reading. Requests must go on, memory must not grow, and the
/// log says afterwards what is missing.
#[test]
fn blocked_dropped() {
    let gate = Gate::default();
    let log = LineLog::with_output(gate.clone());
    let logger = log.logger();
    for n in 0..40_000 {
        slog::info!(logger, "request"; "attempt" => n, "text" => "some forty bytes of a usual line's end");
    }
    gate.open();
    let text = gate.wait_for("event=lines-dropped");
    assert!(text.len() < 2 * 1024 * 1024, "{} bytes", text.len());
}

/// A daemon stops as planned, yet its log has no line of the end: whoever reads it takes the stop for a
/// crash. The writing thread had taken the line and not written it when the process ended.
#[test]
fn last_written() {
    let gate = Gate::default();
    let log = LineLog::with_output(gate.clone());
    slog::info!(log.logger(), "stop"; "phase" => "ended");
    // The writing thread takes the line, and is held up by the output.
    thread::sleep(Duration::from_millis(150));
    let output = gate.clone();
    let opener = thread::spawn(move || {
        thread::sleep(Duration::from_millis(120));
        output.open();
    });
    log.flush();
    let text = gate.text();
    opener.join().expect("a thread");
    assert!(text.contains("phase=ended"), "flushed before it was written");
}
