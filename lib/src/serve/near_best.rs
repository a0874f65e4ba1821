//! A random choice among servers that are nearly as good as the best.
//!
//! Daemons choose by what they know of each other's requests, which is some tenths of a second old, and
//! seconds in a large fleet. Where all of them take the one server that looks best they meet there: of 28
//! replicas of a model four got two thirds of its requests, and their queues grew past callers' goals while
//! other replicas were idle.

/// A server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its estimated cost in milliseconds.
    pub cost: f64,
    /// Requests that it can take at once beside those known of.
    pub free_slots: u32,
}

/// A server whose share is smaller than this part of the largest one is left out.
const LEAST_SHARE: f64 = 0.001;
/// Part of a place that a full server counts as having: it may have ended requests that are still
/// counted.
const FULL_SHARE: f64 = 0.25;

/// Returns the place in `list` of the server to take; none where the list is empty.
///
/// `scatter` is by how many milliseconds costs may be wrong: a server that costs so much more than the best
/// is taken a third as often. Those that cost the same share requests in proportion to their free places.
/// `draw` is a random number from 0 to 1.
pub fn pick(list: &[Candidate], scatter: f64, draw: f64) -> Option<usize> {
    let best = list.iter().map(|c| c.cost).min_by(f64::total_cmp)?;
    let weight = |c: &Candidate| {
        let share = f64::from(c.free_slots).max(FULL_SHARE);
        share * (-(c.cost - best) / scatter).exp()
    };
    let weights: Vec<f64> = list.iter().map(weight).collect();
    let least = weights.iter().copied().fold(0.0, f64::max) * LEAST_SHARE;
    let shares = weights.iter().map(|w| if *w < least { 0.0 } else { *w });
    let mut left = draw * shares.clone().sum::<f64>();
    for (place, share) in shares.enumerate() {
        left -= share;
        if left < 0.0 {
            return Some(place);
        }
    }
    // Rounding may leave a rest of nothing.
    list.iter().position(|c| c.cost <= best)
}
