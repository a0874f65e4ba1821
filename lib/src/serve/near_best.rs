//! A weighted random choice among servers that cost little more than the best one.
//!
//! What daemons know of each other's requests is some tenths of a second old, and seconds old in a large
//! fleet. If all daemons choose the one server that seems best, their requests collide there: of 28 replicas
//! of a model, four got two thirds of its requests, and their queues grew past callers' goals while other
//! replicas were idle.

/// A server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Estimated cost in milliseconds.
    pub cost: f64,
    /// Requests that it can take at once in addition to the known ones.
    pub free_slots: u32,
    /// Preference for it among servers of the same cost and number of free slots; 1 for a usual one.
    pub preference: f64,
}

/// A server whose weight is less than this fraction of the largest weight is excluded.
const MIN_RELATIVE_WEIGHT: f64 = 0.001;
/// Free slots that a full server is assumed to have: some of its counted requests may have ended already.
const FULL_SERVER_SLOTS: f64 = 0.25;

/// Returns the index of the chosen candidate; `None` if there are no candidates.
///
/// `uncertainty_ms` is the possible error of the costs in milliseconds: a server that costs this much more
/// than the best is chosen about a third as often. Servers of the same cost are chosen in proportion to their
/// free slots and their preference. `draw` is a random number from 0 to 1.
pub fn pick(candidates: &[Candidate], uncertainty_ms: f64, draw: f64) -> Option<usize> {
    let best = candidates.iter().map(|c| c.cost).min_by(f64::total_cmp)?;
    let weight = |c: &Candidate| {
        let slots = f64::from(c.free_slots).max(FULL_SERVER_SLOTS);
        slots * c.preference * (-(c.cost - best) / uncertainty_ms).exp()
    };
    let weights: Vec<f64> = candidates.iter().map(weight).collect();
    let min_weight = weights.iter().copied().fold(0.0, f64::max) * MIN_RELATIVE_WEIGHT;
    let shares = weights.iter().map(|w| if *w < min_weight { 0.0 } else { *w });
    let mut remaining = draw * shares.clone().sum::<f64>();
    for (index, share) in shares.enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return Some(index);
        }
    }
    // Rounding errors may leave `remaining` at zero after the last share.
    candidates.iter().position(|c| c.cost <= best)
}
