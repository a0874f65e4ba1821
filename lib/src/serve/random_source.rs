//! Chance, which tests replace.

use std::fmt;

use rand::RngExt as _;

/// Where random numbers from 0 to 1 come from, which decide among servers that are nearly as good as the best.
pub struct RandomSource(Box<dyn Fn() -> f64>);

impl RandomSource {
    /// Takes numbers from a source other than chance.
    pub fn from_fn(source: impl Fn() -> f64 + 'static) -> Self {
        Self(Box::new(source))
    }

    /// Returns the next number.
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
