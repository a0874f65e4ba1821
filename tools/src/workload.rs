//! Generated workloads: most models are idle most of the time and receive requests in bursts.

use std::time::Duration;

use comfreymux_lib::ids::CentreId;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::record::Source;
use comfreymux_lib::table::Row;
use comfreymux_lib::table::RowKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use comfreymux_testutils::rows;

/// Memory of one accelerator, in MiB.
pub const ACCELERATOR_MIB: u64 = 80_000;

/// Size and parameters of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name for the command line.
    pub name: &'static str,
    /// Its data centres.
    pub centres: &'static [&'static str],
    /// Number of model engines, spread over the data centres.
    pub engines: usize,
    /// Accelerators of each engine.
    pub accelerators: u64,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Loads from the weight store that may start per second.
    pub starts: f64,
    /// Cold-start seconds that an idle accelerator hour is worth.
    pub idle_price: f64,
}

/// Tahi Ayos Booking, for which idle hours matter most.
pub const TAHI_AYOS: Deployment = Deployment {
    name: "tahi-ayos",
    centres: &["makati-a", "pasig-b", "qc-c", "taguig-d"],
    engines: 9,
    accelerators: 2,
    models: 50,
    adapters: 40,
    starts: 2.0,
    idle_price: 400.0,
};

/// Teplý Domov Franšíza, for which the tail latency of cold starts matters most.
pub const TEPLY_DOMOV: Deployment = Deployment {
    name: "teply-domov",
    centres: &["hala-a", "hala-b", "hala-c"],
    engines: 9,
    accelerators: 2,
    models: 50,
    adapters: 40,
    starts: 4.0,
    idle_price: 40.0,
};

/// One request of a workload.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Arrival {
    /// Arrival time since the start of the workload, in milliseconds.
    pub at_ms: u64,
    /// Index of the daemon that the load balancer selects.
    pub daemon: usize,
    /// The model.
    pub model: ModelName,
    /// Its priority.
    pub priority: u8,
    /// Time from the arrival until the response must begin, in milliseconds.
    pub deadline_ms: u64,
    /// Time that a server takes to run it, in milliseconds.
    pub run_ms: u64,
}

/// A local copy of a checkpoint that an engine has at the start.
#[derive(Clone, Debug)]
pub struct LocalCopy {
    /// Index of the engine.
    pub engine: usize,
    /// The model.
    pub model: ModelName,
    /// Whether the copy is on disk or in memory.
    pub source: Source,
}

/// Standard deviation of the logarithm of the gaps between sessions; the longest gaps are hundreds of
/// times the shortest.
const GAP_LOG_STD_DEV: f64 = 1.2;
/// Memory and load size of an adapter, in MiB; small compared to its base model.
const ADAPTER_MIB: u64 = 500;

impl Deployment {
    /// Returns the deployment named `name`.
    pub fn named(name: &str) -> Option<Self> {
        [TAHI_AYOS, TEPLY_DOMOV].into_iter().find(|d| d.name == name)
    }

    /// Returns the data centre of an engine or daemon by its number.
    pub fn centre(&self, number: usize) -> CentreId {
        self.centres[number % self.centres.len()].into()
    }

    /// Returns the number of daemons.
    pub fn daemons(&self) -> usize {
        self.centres.len() * 2
    }

    /// Returns the table; the same for every seed.
    pub fn table(&self) -> Vec<Row> {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut table = Vec::new();
        for i in 0..self.models {
            let size = rng.random_range(8_000..40_000);
            table.push(Row {
                memory_mib: size,
                load_mib: size,
                replicas: 2,
                priority: if i % 10 == 0 { 9 } else { 5 },
                idle_price: self.idle_price,
                ..rows::model(&format!("model-{i:02}"))
            });
        }
        for i in 0..self.adapters {
            let base = format!("model-{:02}", i % (self.models / 4));
            table.push(Row {
                kind: RowKind::Adapter,
                base: base.into(),
                memory_mib: ADAPTER_MIB,
                load_mib: ADAPTER_MIB,
                replicas: 2,
                idle_price: self.idle_price,
                ..rows::model(&format!("adapter-{i:02}"))
            });
        }
        table
    }

    /// Returns the local copies at the start, on random engines: a third of the checkpoints on a disk, a tenth
    /// in memory.
    pub fn cached(&self, seed: u64) -> Vec<LocalCopy> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xCA);
        let mut copies = Vec::new();
        for row in self.table() {
            let (engine, draw) = (rng.random_range(0..self.engines), rng.random_range(0.0..1.0));
            let source = match draw {
                x if x < 0.1 => Source::Memory,
                x if x < 0.43 => Source::Disk,
                _ => continue,
            };
            copies.push(LocalCopy { engine, model: row.name, source });
        }
        copies
    }

    /// Generates the requests of `hours` hours, ordered by arrival time.
    ///
    /// Each model has sessions with heavy-tailed gaps between them, fewer at night. A session starts with a
    /// burst at several daemons, followed by single requests.
    pub fn arrivals(&self, seed: u64, hours: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = hours as f64 * 3600.0;
        let mut arrivals = Vec::new();
        for row in self.table() {
            // Popular models have their next session within minutes, most others within hours.
            let scale = 600.0 * 40_f64.powf(rng.random_range(0.0..1.0));
            let mut at = rng.random_range(0.0..scale);
            while at < end {
                if rng.random_range(0.0..1.0) < day_share(at) {
                    self.session(&mut rng, &row, at, &mut arrivals);
                }
                at += scale * (GAP_LOG_STD_DEV * normal(&mut rng)).exp();
            }
        }
        arrivals.retain(|a| a.at_ms < hours * 3_600_000);
        arrivals.sort_by(|a, b| (a.at_ms, &a.model).cmp(&(b.at_ms, &b.model)));
        arrivals
    }

    fn session(&self, rng: &mut ChaCha8Rng, row: &Row, begin: f64, out: &mut Vec<Arrival>) {
        let mut push = |rng: &mut ChaCha8Rng, at: f64| {
            out.push(Arrival {
                at_ms: (at * 1000.0) as u64,
                daemon: rng.random_range(0..self.daemons()),
                model: row.name.clone(),
                priority: row.priority,
                deadline_ms: 120_000,
                run_ms: rng.random_range(2_000..10_000),
            });
        };
        for _ in 0..rng.random_range(1..5) {
            let at = begin + rng.random_range(0.0..0.3);
            push(rng, at);
        }
        let mut at = begin;
        while rng.random_range(0.0..1.0) < 0.8 {
            at += -30.0 * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
            push(rng, at);
        }
    }
}

/// Returns a sample of the standard normal distribution, by the Box-Muller transform.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random_range(0.0..1.0_f64)).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0)).cos()
}

/// Returns the fraction of sessions kept at this time of day; `at` is in seconds.
fn day_share(at: f64) -> f64 {
    let hour = (at / 3600.0) % 24.0;
    0.55 + 0.45 * ((hour - 6.0) / 24.0 * std::f64::consts::TAU).sin()
}

/// Returns the deadline of an arrival since the start of the workload.
pub fn deadline(arrival: &Arrival) -> Duration {
    Duration::from_millis(arrival.at_ms + arrival.deadline_ms)
}

/// Writes arrivals as CSV.
///
/// # Errors
///
/// Writing to memory does not fail; the error type is that of the CSV library.
pub fn write_csv(arrivals: &[Arrival]) -> Result<String, csv::Error> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for arrival in arrivals {
        writer.serialize(arrival)?;
    }
    writer.flush()?;
    let bytes = writer.into_inner().map_err(csv::IntoInnerError::into_error)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads arrivals that [`write_csv`] wrote; returns them ordered by arrival time.
///
/// # Errors
///
/// A line cannot be parsed as an arrival.
pub fn read_csv(text: &str) -> Result<Vec<Arrival>, csv::Error> {
    let mut arrivals = csv::Reader::from_reader(text.as_bytes())
        .into_deserialize()
        .collect::<Result<Vec<Arrival>, _>>()?;
    arrivals.sort_by_key(|a| a.at_ms);
    Ok(arrivals)
}
