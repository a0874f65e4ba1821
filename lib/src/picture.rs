//! What a daemon believes about its surroundings, each belief with its source and age.

pub mod budget;
pub mod configuration;
pub mod contact;
pub mod digest;
pub mod directory;
pub mod fingerprint;
pub mod health;
pub mod holdings;
pub mod loads;
pub mod peer_table;
pub mod quarantine;
pub mod quarantine_note;
pub mod rate_limit;
pub mod rate_limits;
pub mod rate_share;
pub mod reader_duty;
pub mod reader_rank;
pub mod readers;
pub mod run_times;
pub mod server_start;
pub mod starts;
pub mod trial_note;
pub mod turn;
pub mod unread;
pub mod word;
pub mod work_table;
