//! A timer thread that calls subscribed callbacks periodically, and the daemon's monotonic clock.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Interval at which subscriptions are checked; shorter periods are in effect this long.
const TICK: Duration = Duration::from_millis(10);

/// Monotonic time since a daemon's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

type Callback = Box<dyn Fn(Duration) -> bool + Send>;

struct Subscription {
    period: Duration,
    next: Duration,
    callback: Callback,
}

/// Calls each subscriber once per its period.
#[derive(Clone)]
pub struct Timer {
    clock: Clock,
    subscriptions: Arc<Mutex<Vec<Subscription>>>,
}

impl fmt::Debug for Timer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timer").field("clock", &self.clock).finish_non_exhaustive()
    }
}

impl Timer {
    /// Starts the timer's thread, which ends when the last subscription has ended.
    ///
    /// # Panics
    ///
    /// Panics if the thread cannot be started.
    pub fn start(clock: Clock) -> Self {
        let timer = Self { clock, subscriptions: Arc::default() };
        let subscriptions = Arc::clone(&timer.subscriptions);
        let run = move || {
            let mut had_subscribers = false;
            loop {
                let now = clock.now();
                let mut list = subscriptions.lock().unwrap_or_else(PoisonError::into_inner);
                had_subscribers |= !list.is_empty();
                list.retain_mut(|s| s.call(now));
                if had_subscribers && list.is_empty() {
                    return;
                }
                drop(list);
                thread::sleep(TICK);
            }
        };
        thread::Builder::new()
            .name("timer".into())
            .spawn(run)
            .expect("cannot start the timer thread");
        timer
    }

    /// Calls `callback` once every `period` until it returns false. The callback must not block.
    pub fn subscribe(
        &self,
        period: Duration,
        callback: impl Fn(Duration) -> bool + Send + 'static,
    ) {
        let next = self.clock.now() + period;
        let subscription = Subscription { period, next, callback: Box::new(callback) };
        self.subscriptions.lock().unwrap_or_else(PoisonError::into_inner).push(subscription);
    }
}

impl Subscription {
    fn call(&mut self, now: Duration) -> bool {
        if now < self.next {
            return true;
        }
        // Missed periods are skipped.
        self.next = now + self.period;
        (self.callback)(now)
    }
}
