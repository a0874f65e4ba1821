//! Chance, which tests replace.

use std::fmt;

use rand::RngExt as _;

/// Where random numbers from 0 to 1 come from, which decide among servers that are nearly as good as the best.
pub struct Draws(Box<dyn Fn() -> f64>);

impl Draws {
    /// Takes numbers from a source other than chance.
    pub fn from(source: impl Fn() -> f64 + 'static) -> Self {
        Self(Box::new(source))
    }

    /// Returns the next number.
    pub fn next(&self) -> f64 {
        (self.0)()
    }
}

impl Default for Draws {
    fn default() -> Self {
        Self::from(|| rand::rng().random())
    }
}

impl fmt::Debug for Draws {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Draws")
    }
}
