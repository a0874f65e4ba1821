//! Tools around comfreymux: the demo, a load generator, generated workloads and experiments in virtual time.

pub mod demo;
pub mod experiment;
pub mod fake_daemon;
pub mod fake_engine;
pub mod load;
pub mod relay;
pub mod report;
pub mod small;
pub mod weather;
pub mod workload;
pub mod world;
