//! The lengths of a stand-in engine's outputs, which nobody outside knows.

use cicada_lib::engine_http::FNV_START;
use cicada_lib::engine_http::fnv1a;

/// The distribution of the lengths: log-normal, so that most are short and a few very long.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    /// The median, in tokens.
    pub median: u32,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The longest that is drawn.
    pub longest: u32,
    /// The same prompt has the same length under the same seed, on any engine.
    pub seed: u64,
}

impl OutputLengths {
    /// The length of the answer to `prompt`, in tokens: exactly `N` where it contains `len=N`.
    pub fn draw(&self, prompt: &str) -> u32 {
        if let Some(length) = exact_length(prompt) {
            return length.max(1);
        }
        let hash = fnv1a(FNV_START, prompt.as_bytes());
        let mut rng = fastrand::Rng::with_seed(self.seed ^ hash);
        let factor = (self.spread * standard_normal(&mut rng)).exp();
        let drawn = f64::from(self.median) * factor;
        (drawn as u32).clamp(1, self.longest)
    }
}

/// The number behind `len=` in a prompt.
fn exact_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once("len=")?;
    let end = rest
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

// By the Box-Muller transform.
fn standard_normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}
