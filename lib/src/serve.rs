//! The path of a request through an entry host, a filter each: accept, route, wait, send, relay.

pub mod accept;
mod adapter_orders;
pub mod attempt;
pub mod body;
pub mod call;
pub mod choose;
pub mod engine_orders;
pub mod entry;
pub mod events;
pub mod exchange_plain;
pub mod exchange_stream;
pub mod find;
pub mod flow;
pub mod gossip;
pub mod handle;
pub mod headers;
pub mod lease_keeper;
pub mod life;
pub mod observe;
pub mod orders;
pub mod picture_relay;
pub mod pool;
pub mod relay;
pub mod reply;
pub mod send;
pub mod socket;
pub mod waits;
