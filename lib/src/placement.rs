//! Decides which engine holds which model: tracks demand and the engines' contents, plans loads,
//! and manages the lease that lets one daemon order the engines.

pub mod bid_delay;
pub mod demand;
pub mod engine_table;
pub mod entries;
pub mod eta_accuracy;
pub mod fetch_limiter;
mod fetching;
mod lease_events;
pub mod lease_state;
pub mod load_options;
pub mod order_effect;
pub mod plan_index;
pub mod planner;
pub mod recent_orders;
pub mod urgency;
