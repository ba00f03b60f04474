//! The two deployments' mixes of requests, and the engines that they run on.

use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::time::Time;

use super::EngineSpec;
use super::Request;

/// A class of requests with lognormal lengths.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its part of all requests.
    pub part: f64,
    pub prompt: f64,
    /// The median of the length.
    pub length: f64,
    pub sigma: f64,
    pub limit: u32,
    pub patience: Duration,
}

/// A workspace of a mix.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: Name,
    pub share: u32,
    /// Its part of all requests.
    pub part: f64,
    /// Whether it names a limit that fits the class; else it names the largest for all.
    pub frugal: bool,
}

/// A deployment's mix.
#[derive(Clone, Debug)]
pub struct Mix {
    pub name: &'static str,
    pub engine: EngineSpec,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
}

// A few large workspaces and many small ones. The parts of the load do not follow the shares, so
// that some ask for more than their share and some for less.
const SHARES: [u32; 10] = [4, 3, 2, 2, 1, 1, 1, 1, 1, 1];
const PARTS: [f64; 10] = [0.20, 0.22, 0.10, 0.12, 0.10, 0.06, 0.06, 0.05, 0.05, 0.04];

fn tenants() -> Vec<Tenant> {
    let tenant = |index: usize| Tenant {
        name: Name::new(format!("w{index}")),
        share: SHARES[index],
        part: PARTS[index],
        frugal: index.is_multiple_of(2),
    };
    (0..SHARES.len()).map(tenant).collect()
}

/// Drafts of programmes among short checks.
pub fn hanshan() -> Mix {
    Mix {
        name: "hanshan",
        engine: EngineSpec {
            base: 14_000,
            per_running: 250,
            per_prompt: 40_000,
            capacity: 40_000,
            max_batch: 64,
        },
        classes: vec![
            Class {
                part: 0.7,
                prompt: 80.0,
                length: 25.0,
                sigma: 0.6,
                limit: 256,
                patience: Duration::from_secs(8),
            },
            Class {
                part: 0.3,
                prompt: 300.0,
                length: 700.0,
                sigma: 0.7,
                limit: 4_096,
                patience: Duration::from_secs(90),
            },
        ],
        tenants: tenants(),
    }
}

/// Season summaries among brief queries.
pub fn saryarka() -> Mix {
    Mix {
        name: "saryarka",
        engine: EngineSpec {
            base: 14_000,
            per_running: 350,
            per_prompt: 40_000,
            capacity: 100_000,
            max_batch: 96,
        },
        classes: vec![
            Class {
                part: 0.7,
                prompt: 120.0,
                length: 40.0,
                sigma: 0.6,
                limit: 256,
                patience: Duration::from_secs(10),
            },
            Class {
                part: 0.3,
                prompt: 800.0,
                length: 1_200.0,
                sigma: 0.8,
                limit: 8_192,
                patience: Duration::from_secs(240),
            },
        ],
        tenants: tenants(),
    }
}

impl Mix {
    /// Requests for `seconds`, `rate` a second on average, at random.
    pub fn requests(&self, rate: f64, seconds: f64, seed: u64) -> Vec<Request> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut time = 0.0;
        let mut requests = Vec::new();
        loop {
            time += exponential(&mut rng) / rate.max(f64::MIN_POSITIVE);
            if time > seconds {
                return requests;
            }
            requests.push(self.request(&mut rng, Time::from_micros((time * 1e6) as u64)));
        }
    }

    fn request(&self, rng: &mut fastrand::Rng, arrival: Time) -> Request {
        let tenant = pick(rng, &self.tenants, |tenant| tenant.part);
        let class = pick(rng, &self.classes, |class| class.part);
        let largest = self
            .classes
            .iter()
            .map(|class| class.limit)
            .max()
            .unwrap_or(1);
        let limit = if tenant.frugal { class.limit } else { largest };
        let length = lognormal(rng, class.length, class.sigma).clamp(1, class.limit);
        Request {
            arrival,
            workspace: tenant.name.clone(),
            kind: Name::new(self.name),
            prompt: lognormal(rng, class.prompt, 0.4).max(1),
            length,
            limit,
            deadline: Some(arrival + class.patience),
            tries: 0,
            elsewhere: 0,
        }
    }

    /// The requests as if each caller knew its length: the limit is the true length, and requests
    /// of like length are a kind.
    pub fn known(mut requests: Vec<Request>) -> Vec<Request> {
        for request in &mut requests {
            request.limit = request.length;
            let power = 5 * request.length.ilog2() / 4;
            request.kind = Name::new(format!("{power}"));
        }
        requests
    }
}

fn pick<'a, T>(rng: &mut fastrand::Rng, items: &'a [T], part: impl Fn(&T) -> f64) -> &'a T {
    let mut left = rng.f64() * items.iter().map(&part).sum::<f64>();
    for item in items {
        left -= part(item);
        if left <= 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}

/// An exponential figure with mean 1.
pub fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// A lognormal figure with the given median.
pub fn lognormal(rng: &mut fastrand::Rng, median: f64, sigma: f64) -> u32 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    (median * (sigma * normal).exp()).round() as u32
}
