//! Metrics by `opentelemetry`, read at `/metrics`.

use std::fmt;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder as _;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::verdict::Verdict;

/// Bounds of the time histograms, in seconds.
const BOUNDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Instruments of one daemon.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    verdicts: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    first: Histogram<f64>,
    cold: Histogram<f64>,
    tokens: Counter<u64>,
    idle: Counter<f64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    control: Counter<u64>,
    calls: Counter<u64>,
    unread: Counter<u64>,
    words: Counter<u64>,
    loads: Histogram<f64>,
    held: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Panics
    ///
    /// Panics if the exporter refuses an empty registry, which it never does.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("comfreymux");
        let seconds = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BOUNDS.to_vec())
                .build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            verdicts: counter("requests", "Requests by verdict"),
            refusals: counter("refusals", "Refused requests by reason"),
            retries: counter("retries", "Attempts after the first"),
            first: seconds("first_token", "Time to the first byte of an answer"),
            cold: seconds("cold_start", "Time that requests waited for a replica"),
            tokens: counter("tokens", "Stream events relayed"),
            idle: meter
                .f64_counter("idle_accelerator")
                .with_unit("s")
                .with_description("Seconds that replicas were loaded without a request")
                .build(),
            waiting: gauge("waiting", "Requests that wait for a replica"),
            active: gauge("active", "Requests in progress"),
            config_version: gauge("configuration_version", "Version of the configuration in force"),
            config_age: meter
                .f64_gauge("configuration_age")
                .with_unit("s")
                .with_description(
                    "Time since the store last told whether the configuration changed",
                )
                .build(),
            control: counter("control_bytes", "Bytes exchanged with daemons and the log"),
            calls: counter(
                "store_calls",
                "Operations at the platform's store by feed and outcome; a listing takes a call a page",
            ),
            unread: counter(
                "unreadable_records",
                "Records of the platform's store that cannot be read by feed, each time one is met",
            ),
            words: counter("reader_words", "Words of readers by what came of them"),
            held: gauge(
                "held_requests",
                "Requests that go to no server, since several crashed under each",
            ),
            loads: seconds("load", "Time of models' loads by source and outcome"),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answered request.
    pub fn record_answer(&self, model: &str, verdict: Verdict) {
        let model = KeyValue::new("model", model.to_owned());
        self.verdicts.add(1, &[model, KeyValue::new("verdict", verdict.as_str())]);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts another attempt.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Notes the time to the first byte of an answer.
    pub fn record_first_byte(&self, time: Duration) {
        self.first.record(time.as_secs_f64(), &[]);
    }

    /// Notes how long a request waited for a replica.
    pub fn record_wait(&self, model: &str, time: Duration) {
        self.cold.record(time.as_secs_f64(), &[KeyValue::new("model", model.to_owned())]);
    }

    /// Counts relayed stream events.
    pub fn record_events(&self, events: u64) {
        self.tokens.add(events, &[]);
    }

    /// Adds time that a replica of `model` was loaded without a request.
    pub fn record_idle(&self, model: &str, time: Duration) {
        self.idle.add(time.as_secs_f64(), &[KeyValue::new("model", model.to_owned())]);
    }

    /// Notes the requests that wait and that are in progress.
    pub fn set_requests(&self, waiting: usize, active: u32) {
        self.waiting.record(waiting as u64, &[]);
        self.active.record(u64::from(active), &[]);
    }

    /// Notes the configuration in force and for how long the store has said nothing about it.
    pub fn set_configuration(&self, version: u64, age: Duration) {
        self.config_version.record(version, &[]);
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts bytes of control traffic.
    pub fn record_control_bytes(&self, kind: &'static str, bytes: usize) {
        self.control.add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the platform's store, which is paid for also where it failed.
    pub fn record_store_call(&self, feed: &'static str, outcome: &'static str) {
        self.calls.add(1, &[KeyValue::new("feed", feed), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a record of a feed that cannot be read.
    pub fn record_unreadable(&self, feed: &'static str) {
        self.unread.add(1, &[KeyValue::new("feed", feed)]);
    }

    /// Counts a reader's word.
    pub fn record_reader_report(&self, outcome: &'static str) {
        self.words.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time of a model's load.
    pub fn record_load(&self, source: &'static str, outcome: &'static str, time: Duration) {
        let labels = [KeyValue::new("source", source), KeyValue::new("outcome", outcome)];
        self.loads.record(time.as_secs_f64(), &labels);
    }

    /// Notes how many requests go to no server.
    pub fn set_quarantined(&self, count: usize) {
        self.held.record(count as u64, &[]);
    }

    /// Returns all metrics as text.
    pub fn to_text(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
