//! What the platform does to a daemon's process: it kills one that has more memory than its settings allow.

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::daemon::{Daemon, SIGKILL};
use crate::record::Record;

/// `memory_mb` of the daemons' settings.
pub const MEMORY_MB: usize = 260;

/// Returns the memory that a process has, in MB.
fn memory(process: u32) -> usize {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0) / 1024
}

/// Watches a daemon's memory until `is_over` is set; kills the daemon if it exceeds its limit.
pub fn watch(daemon: &Arc<Daemon>, record: &Record, is_over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (daemon, record, is_over) = (Arc::clone(daemon), record.clone(), Arc::clone(is_over));
    thread::spawn(move || {
        let mut most = 0;
        while !is_over.load(Ordering::Relaxed) {
            let used = memory(daemon.process());
            most = most.max(used);
            if used > MEMORY_MB {
                record.note(&format!("the platform kills the daemon, which has {used} MB of {MEMORY_MB} MB"));
                daemon.signal(SIGKILL);
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.note(&format!("the daemon had {most} MB at most"));
    })
}
