//! Which engine holds which model: demand, the plan, the lease of the one daemon that orders, and
//! what the engines have accepted.

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
