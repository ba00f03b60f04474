//! What entry and agent add to a request and to a token.

use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::client;
use crate::client::Target;
use crate::fit::Line;
use crate::fit::Point;
use crate::proc_stat::Usage;
use crate::rig::Rig;

const REQUESTS: usize = 300;
const STEP_MICROS: u64 = 20_000;
const STREAMS: [usize; 4] = [16, 64, 128, 256];
const RATES: [u64; 4] = [25, 50, 100, 200];
const WINDOW: Duration = Duration::from_secs(8);
const SETTLE: Duration = Duration::from_secs(3);
// More than pass while a stream is measured.
const TOKENS: usize = 700;

/// Runs all three measurements.
pub(crate) async fn run() -> Result<()> {
    times().await?;
    tokens().await?;
    requests().await
}

struct Costs {
    entry: Usage,
    agent: Usage,
    engine: Usage,
}

impl Costs {
    fn read(rig: &Rig) -> Result<Self> {
        Ok(Costs {
            entry: rig.entries[0].usage()?,
            agent: rig.agents[0].usage()?,
            engine: rig.engine_usage(0)?,
        })
    }
}

async fn rig(step_micros: u64) -> Result<(Rig, Target, Target)> {
    let mut rig = Rig::start(10).await?;
    let engine = rig.add_engine(step_micros).await?;
    rig.add_agent(engine).await?;
    rig.add_entry().await?;
    rig.wait_ready().await?;
    let entry = Target::Entry(rig.entry()?.listen);
    Ok((rig, entry, Target::Engine(engine)))
}

/// One request at a time, by turns straight and through the system.
async fn times() -> Result<()> {
    println!("\n## One short request at a time, by turns");
    let (_rig, entry, engine) = rig(1_000).await?;
    let mut straight = Vec::new();
    let mut through = Vec::new();
    for _ in 0..REQUESTS {
        straight.push(time(engine).await?);
        through.push(time(entry).await?);
    }
    straight.sort();
    through.sort();
    for part in [0.5, 0.95] {
        let at = |times: &[Duration]| times[(times.len() as f64 * part) as usize].as_secs_f64();
        let (a, b) = (at(&straight) * 1e3, at(&through) * 1e3);
        println!(
            "quantile {part}: straight {a:.2} ms, through {b:.2} ms, added {:.2} ms, ratio {:.2}",
            b - a,
            b / a
        );
    }
    Ok(())
}

async fn time(target: Target) -> Result<Duration> {
    let start = Instant::now();
    timeout(Duration::from_secs(30), target.run(1, &AtomicU64::new(0))).await??;
    Ok(start.elapsed())
}

/// Processor time of each process while streams run, at several rates.
async fn tokens() -> Result<()> {
    println!("\n## Tokens, at steps of {STEP_MICROS} us");
    let (rig, entry, engine) = rig(STEP_MICROS).await?;
    let mut points: [Vec<Point>; 4] = Default::default();
    for streams in STREAMS {
        let open = client::open(entry, streams, TOKENS);
        sleep(SETTLE).await;
        let before = Costs::read(&rig)?;
        let from = rig.tokens().await?;
        let events = open.tokens();
        let start = Instant::now();
        sleep(WINDOW).await;
        let after = Costs::read(&rig)?;
        let tokens = rig.tokens().await? - from;
        let took = start.elapsed().as_secs_f64();
        let events = (open.tokens() - events) as f64;
        open.finish().await?;
        let rate = tokens / took;
        let spent = [
            after.entry.cpu_us_since(&before.entry),
            after.agent.cpu_us_since(&before.agent),
            after.engine.cpu_us_since(&before.engine),
        ];
        println!(
            "through: {streams} streams, {rate:.0} tokens/s in {events:.0} events of {tokens:.0} \
             tokens; CPU us a token: entry {:.1}, agent {:.1}, engine {:.1}",
            spent[0] / tokens,
            spent[1] / tokens,
            spent[2] / tokens
        );
        for (points, spent) in points.iter_mut().zip(spent) {
            points.push(Point {
                x: rate,
                y: spent / took,
            });
        }
        let (rate, spent) = straight(&rig, engine, streams).await?;
        points[3].push(Point { x: rate, y: spent });
        println!(
            "straight: {streams} streams, {rate:.0} tokens/s; CPU us a token: engine {:.1}",
            spent / rate
        );
    }
    let names = ["entry", "agent", "engine, through", "engine, straight"];
    let lines: Vec<Line> = points.iter().map(|points| Line::fit(points)).collect();
    for (name, line) in names.iter().zip(&lines) {
        line.print(name, "us of CPU a token");
    }
    println!(
        "entry + agent against the engine alone: {:.2}; tokens/s that a core of the entry carries: \
         {:.0}; of the agent: {:.0}",
        (lines[0].slope + lines[1].slope) / lines[3].slope,
        1e6 / lines[0].slope,
        1e6 / lines[1].slope
    );
    Ok(())
}

/// Tokens a second, and microseconds of the engine's processor time a second.
async fn straight(rig: &Rig, engine: Target, streams: usize) -> Result<(f64, f64)> {
    let open = client::open(engine, streams, TOKENS);
    sleep(SETTLE).await;
    let before = rig.engine_usage(0)?;
    let from = open.tokens();
    let start = Instant::now();
    sleep(WINDOW / 2).await;
    let after = rig.engine_usage(0)?;
    let tokens = (open.tokens() - from) as f64;
    let took = start.elapsed().as_secs_f64();
    open.finish().await?;
    Ok((tokens / took, after.cpu_us_since(&before) / took))
}

/// Processor time of each process while short requests arrive, at several rates.
async fn requests() -> Result<()> {
    println!("\n## Requests of one token, by rate");
    let (rig, entry, _) = rig(1_000).await?;
    let mut points: [Vec<Point>; 2] = Default::default();
    for rate in RATES {
        let before = Costs::read(&rig)?;
        let start = Instant::now();
        let done = arrivals(entry, rate).await?;
        let took = start.elapsed().as_secs_f64();
        let after = Costs::read(&rig)?;
        let spent = [
            after.entry.cpu_us_since(&before.entry),
            after.agent.cpu_us_since(&before.agent),
        ];
        println!(
            "{rate} a second asked, {:.0} done; CPU us a request: entry {:.0}, agent {:.0}",
            done / took,
            spent[0] / done,
            spent[1] / done
        );
        for (points, spent) in points.iter_mut().zip(spent) {
            points.push(Point {
                x: done / took,
                y: spent / took,
            });
        }
    }
    for (name, points) in ["entry", "agent"].iter().zip(&points) {
        Line::fit(points).print(name, "us of CPU a request");
    }
    Ok(())
}

async fn arrivals(target: Target, rate: u64) -> Result<f64> {
    let mut calls = tokio::task::JoinSet::new();
    let mut beats = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    let count = rate * WINDOW.as_secs();
    for _ in 0..count {
        beats.tick().await;
        calls.spawn(async move { time(target).await });
    }
    let mut done = 0.0;
    while let Some(call) = calls.join_next().await {
        call??;
        done += 1.0;
    }
    Ok(done)
}
