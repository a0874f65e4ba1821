//! Stand-ins of the platform and the backend servers, for tests, the demo and trials by hand.

pub mod demo;
pub mod engine_standin;
pub mod experiment;
pub mod fake_engine;
pub mod hosts_standin;
pub mod http_server;
pub mod load;
pub mod log_standin;
pub mod relay;
pub mod report;
pub mod rig;
pub mod rows;
pub mod service_standin;
pub mod store_standin;
pub mod workload;
pub mod world;
