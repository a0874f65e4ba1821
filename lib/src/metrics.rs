//! OpenTelemetry metrics of one daemon, exported in the Prometheus text format at `/metrics`.

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

use crate::serve::caller_connections::EndedConnections;
use crate::verdict::Verdict;

/// Bucket bounds of the time histograms, in seconds.
const BUCKET_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0];

/// Bucket bounds of servers' slowdowns.
const SLOWDOWN_BOUNDS: [f64; 7] = [0.5, 0.75, 0.9, 1.1, 1.5, 2.0, 4.0];

/// Instruments of one daemon.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    verdicts: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    first_byte: Histogram<f64>,
    replica_wait: Histogram<f64>,
    tokens: Counter<u64>,
    idle_time: Counter<f64>,
    waiting: Gauge<u64>,
    active: Gauge<u64>,
    config_version: Gauge<u64>,
    config_age: Gauge<f64>,
    control_bytes: Counter<u64>,
    store_calls: Counter<u64>,
    store_restores: Counter<u64>,
    unreadable_records: Counter<u64>,
    reader_reports: Counter<u64>,
    relays: Counter<u64>,
    load_time: Histogram<f64>,
    buffered_bytes: Gauge<u64>,
    callers: Gauge<u64>,
    ended_callers: Gauge<u64>,
    quarantined: Gauge<u64>,
    quarantined_parts: Gauge<u64>,
    origins: Counter<u64>,
    dropped_origins: Gauge<u64>,
    quota_tokens: Counter<u64>,
    slowdowns: Histogram<f64>,
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
    /// Creates the instruments in a new registry.
    ///
    /// # Panics
    ///
    /// Panics if the exporter cannot be registered, which does not happen with an empty registry.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("comfreymux");
        let seconds = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BUCKET_BOUNDS_S.to_vec())
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
            first_byte: seconds("first_token", "Time to the first byte of an answer"),
            replica_wait: seconds("cold_start", "Time that requests waited for a replica"),
            tokens: counter("tokens", "Stream events relayed"),
            slowdowns: meter
                .f64_histogram("server_slowdown")
                .with_description("Expected slowdown of the servers that requests were sent to")
                .with_boundaries(SLOWDOWN_BOUNDS.to_vec())
                .build(),
            idle_time: meter
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
            control_bytes: counter("control_bytes", "Bytes exchanged with daemons and the log"),
            store_calls: counter(
                "store_calls",
                "Operations at the platform's store by feed and outcome; a listing takes a call a page",
            ),
            store_restores: counter(
                "store_restores",
                "Times that the platform's store was found restored from an older copy",
            ),
            unreadable_records: counter(
                "unreadable_records",
                "Records of the platform's store that cannot be read by feed, each time one is met",
            ),
            reader_reports: counter("reader_words", "Words of readers by what came of them"),
            relays: counter("relays", "Connections to servers that peers asked for, by outcome"),
            buffered_bytes: gauge(
                "buffered_bytes",
                "Memory of messages that are read whole, by kind",
            ),
            callers: gauge("caller_connections", "Open connections of callers, by phase"),
            ended_callers: gauge(
                "caller_connections_ended",
                "Connections of callers that ended to keep the limits, by outcome",
            ),
            quarantined: gauge(
                "held_requests",
                "Requests that go to no server, since several crashed under each",
            ),
            quarantined_parts: gauge(
                "held_prompt_parts",
                "Prompt parts that go to no server, since several crashed under requests with each",
            ),
            origins: counter(
                "resumed_streams",
                "Streams that callers resumed, by how their software version is known and what came of it",
            ),
            dropped_origins: gauge(
                "dropped_origins",
                "Software versions of streams that are not kept, as too many are",
            ),
            quota_tokens: counter(
                "quota_tokens",
                "Tokens that requests asked for by workspace and outcome",
            ),
            load_time: seconds("load", "Time of models' loads by source and outcome"),
            registry,
            _provider: provider,
        }
    }

    /// Counts an answered request by model and verdict.
    pub fn record_answer(&self, model: &str, verdict: Verdict) {
        let model = KeyValue::new("model", model.to_owned());
        self.verdicts.add(1, &[model, KeyValue::new("verdict", verdict.as_str())]);
    }

    /// Sets the memory of messages of a kind that are read whole, in bytes.
    pub fn set_buffered(&self, kind: &'static str, bytes: usize) {
        self.buffered_bytes.record(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Sets the number of callers' connections, of those with a whole request, and those that ended to keep the limits.
    pub fn set_callers(&self, open: usize, serving: usize, ended: EndedConnections) {
        let phase = |name: &'static str| [KeyValue::new("phase", name)];
        self.callers.record((open - serving) as u64, &phase("unfinished"));
        self.callers.record(serving as u64, &phase("serving"));
        let outcome = |name: &'static str| [KeyValue::new("outcome", name)];
        self.ended_callers.record(ended.evicted, &outcome("evicted"));
        self.ended_callers.record(ended.refused, &outcome("refused"));
    }

    /// Counts a refused request.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an attempt after the first.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records how long a request waited for a replica.
    pub fn record_wait(&self, model: &str, time: Duration) {
        self.replica_wait.record(time.as_secs_f64(), &[KeyValue::new("model", model.to_owned())]);
    }

    /// Counts relayed stream events.
    pub fn record_events(&self, events: u64) {
        self.tokens.add(events, &[]);
    }

    /// Adds time during which a replica of `model` was loaded but served no request.
    pub fn record_idle(&self, model: &str, time: Duration) {
        self.idle_time.add(time.as_secs_f64(), &[KeyValue::new("model", model.to_owned())]);
    }

    /// Sets the numbers of waiting requests and of requests in progress.
    pub fn set_requests(&self, waiting: usize, active: u32) {
        self.waiting.record(waiting as u64, &[]);
        self.active.record(u64::from(active), &[]);
    }

    /// Sets the version of the configuration in force and the time since the store last confirmed
    /// or replaced it.
    pub fn set_configuration(&self, version: u64, age: Duration) {
        self.config_version.record(version, &[]);
        self.config_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts bytes of control traffic, by `kind` of connection.
    pub fn record_control_bytes(&self, kind: &'static str, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a call to the platform's store; a failed call is charged too.
    pub fn record_store_call(&self, feed: &'static str, outcome: &'static str) {
        self.store_calls.add(1, &[KeyValue::new("feed", feed), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a return of the platform's store from an older copy.
    pub fn record_store_restore(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts a record of a feed that cannot be parsed.
    pub fn record_unreadable(&self, feed: &'static str) {
        self.unreadable_records.add(1, &[KeyValue::new("feed", feed)]);
    }

    /// Counts a reader report by its outcome.
    pub fn record_reader_report(&self, outcome: &'static str) {
        self.reader_reports.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a connection to a server that a peer asked for, by its outcome.
    pub fn record_relay(&self, outcome: &'static str) {
        self.relays.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records how long the load of a model took.
    pub fn record_load(&self, source: &'static str, outcome: &'static str, time: Duration) {
        let labels = [KeyValue::new("source", source), KeyValue::new("outcome", outcome)];
        self.load_time.record(time.as_secs_f64(), &labels);
    }

    /// Sets the number of requests in quarantine, which are sent to no server.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined.record(count as u64, &[]);
    }

    /// Sets the number of prompt parts in quarantine, which are sent to no server.
    pub fn set_quarantined_parts(&self, count: usize) {
        self.quarantined_parts.record(count as u64, &[]);
    }

    /// Counts a stream that a caller resumed.
    pub fn record_origin(&self, source: &'static str, outcome: &'static str) {
        self.origins.add(1, &[KeyValue::new("source", source), KeyValue::new("outcome", outcome)]);
    }

    /// Records the expected slowdown of the server that a request was sent to last.
    pub fn record_slowdown(&self, slowdown: f64) {
        self.slowdowns.record(slowdown, &[]);
    }

    /// Counts the tokens that a request of a workspace asked for, by outcome.
    pub fn record_quota(&self, workspace: &str, outcome: &'static str, tokens: u64) {
        let name = KeyValue::new("workspace", workspace.to_owned());
        let labels = [name, KeyValue::new("outcome", outcome)];
        self.quota_tokens.add(tokens, &labels);
    }

    /// Sets the number of streams' origins that were dropped.
    pub fn set_dropped_origins(&self, count: u64) {
        self.dropped_origins.record(count, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut out = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            Ok(()) => String::from_utf8_lossy(&out).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
