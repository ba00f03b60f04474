//! Benchmarks the routing of one request with 10, 100 and 1,000 replicas of 23 models in four
//! regions.

use std::hint::black_box;
use std::time::Duration;

use cicada_lib::ids::Name;
use cicada_lib::load::LoadSummary;
use cicada_lib::router::Router;
use cicada_lib::routing::AttemptEnd;
use cicada_lib::routing::AttemptResult;
use cicada_lib::routing::RouteRequest;
use cicada_lib::routing::RouterSettings;
use cicada_lib::routing::ServerState;
use cicada_lib::routing::ServerView;
use cicada_lib::time::Time;
use criterion::BenchmarkId;
use criterion::Criterion;

const MODELS: usize = 23;

fn model(index: usize) -> Name {
    Name::new(format!("model-{}", index % MODELS))
}

fn view(index: usize, models: usize) -> ServerView {
    let region = Name::new(format!("r{}", index % 4));
    ServerView {
        name: Name::new(format!("server-{index}")),
        service: Name::new("llm"),
        zone: Name::new(format!("{region}-{}", index % 3)),
        region,
        models: (0..models).map(|m| model(index + m)).collect(),
        state: ServerState::Ready,
    }
}

fn router(replicas: usize, models: usize) -> Router {
    let names = ["entry", "r0", "r0-0"].map(Name::from);
    let [entry, region, zone] = names;
    let mut router = Router::new(RouterSettings::new(entry, region, zone));
    let views: Vec<ServerView> = (0..replicas).map(|i| view(i, models)).collect();
    router.set_servers(Time::ZERO, &views);
    for (i, view) in views.iter().enumerate() {
        let load = LoadSummary {
            expected_wait: (i as u64 * 7_919) % 50_000,
            token_gap: 40_000,
            running: (i % 32) as u32,
            free_tokens: 50_000,
            capacity_tokens: 100_000,
            reachable: true,
            ..LoadSummary::default()
        };
        if let Some(key) = router.key(&view.name) {
            router.report(Time::ZERO, key, load);
        }
    }
    router
}

/// Measures all router calls for one request: selection, start, first token and end.
fn route_one_request(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing");
    let service = Name::new("llm");
    let workspace = Name::new("alpha");
    for (label, models) in [("one_model_each", 1), ("all_models_each", MODELS)] {
        for replicas in [10, 100, 1_000] {
            let mut router = router(replicas, models);
            let mut rng = fastrand::Rng::with_seed(1);
            let mut tick = 0;
            let id = BenchmarkId::new(label, replicas);
            group.bench_function(id, |b| {
                b.iter(|| {
                    tick += 700;
                    let now = Time::from_micros(tick);
                    let model = model(0);
                    let request = RouteRequest {
                        service: &service,
                        model: &model,
                        workspace: &workspace,
                        prefix: tick % 5_000 + 1,
                        expected_tokens: 300,
                        affinity: None,
                        tried: &[],
                    };
                    let chosen = router.choose(now, &request, &mut rng);
                    if let Ok(key) = black_box(chosen) {
                        router.started(now, key, &request);
                        router.first_token(now, key, Duration::from_millis(100));
                        let end = AttemptEnd::new(AttemptResult::Ok, Duration::from_secs(10));
                        let end = end.with_first_token().with_tokens(250);
                        router.finished(now, key, &end);
                    }
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    route_one_request(&mut criterion);
    criterion.final_summary();
}
