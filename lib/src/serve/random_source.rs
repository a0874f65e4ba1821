//! Random numbers from a source that tests can replace.

use std::fmt;

use rand::RngExt as _;

/// A source of random numbers from 0 to 1, for the choice among servers that are nearly as good as the best.
pub struct RandomSource(Box<dyn Fn() -> f64>);

impl RandomSource {
    /// Creates a source that takes its numbers from a function.
    pub fn from_fn(source: impl Fn() -> f64 + 'static) -> Self {
        Self(Box::new(source))
    }

    /// Returns the next number, from 0 to 1.
    pub fn sample(&self) -> f64 {
        (self.0)()
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        Self::from_fn(|| rand::rng().random())
    }
}

impl fmt::Debug for RandomSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Draws")
    }
}
