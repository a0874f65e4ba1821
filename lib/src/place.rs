//! Which engine holds which model: demand, the plan, the lease of the one daemon that orders, and
//! what the engines have accepted.

pub mod bid_patience;
pub mod demand;
pub mod entries;
mod fetching;
mod lease_feed;
pub mod ledger;
pub mod load_trust;
pub mod offers;
pub mod order_effect;
pub mod planner;
pub mod recent_orders;
pub mod store_pace;
pub mod survey;
pub mod tenure;
pub mod urgency;
