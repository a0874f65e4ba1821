//! Runs daemons as processes under random faults, and checks their guarantees from outside.

pub mod address_block;
pub mod callers;
pub mod calm_stop;
pub mod crashed_port;
pub mod failure;
pub mod fatal_parts;
pub mod fatal_tally;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod resumed_streams;
pub mod retry_check;
pub mod send_check;
pub mod socket_owner;
pub mod world;
