//! Measures what real processes cost, so that docs/CAPACITY.md can work out what they will cost.
//!
//! It starts daemons and stand-ins on the loopback and reads the processor time and memory of each
//! process that it started from the kernel. Figures of processor time hold on a busy machine too;
//! those of elapsed time do not, and are printed as ratios of two ways in one run where they can be.

mod client;
mod configs;
mod fit;
mod idle;
mod overhead;
mod proc_stat;
mod relay;
mod rig;
mod streams;

use eyre::Result;
use eyre::bail;

const USAGE: &str = "\
Usage: cicada-measure WHAT [SIZE ...]

  overhead          entry and agent against the engine alone, per request and per token
  streams [N ...]   memory of open streams, added step by step (1000 4000 10000)
  idle [N ...]      processes without requests (10 50 200)
  links [N ...]     an idle entry with N open links (4 16 48)
  hosts [N ...]     an idle entry before a list of N hosts (10 100 1370)
  configs [N ...]   configurations of N workspaces (100 1000 5100)
  restart [N ...]   N processes started at once, 5,100 workspaces (50 100 200)
  short [N ...]     two processes before a store that takes N reads a second (50 200 500)

Build with --release first: cargo build --release --workspace --locked";

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((what, rest)) = args.split_first() else {
        bail!("{USAGE}");
    };
    let sizes = rest.iter().map(|size| size.parse());
    let sizes: Vec<usize> = sizes.collect::<Result<_, _>>()?;
    let or = |usual: &[usize]| match sizes.is_empty() {
        true => usual.to_vec(),
        false => sizes.clone(),
    };
    match what.as_str() {
        "overhead" => overhead::run().await,
        "streams" => streams::run(&or(&[1_000, 4_000, 10_000])).await,
        "idle" => idle::run(&or(&[10, 50, 200])).await,
        "links" => idle::run_links(&or(&[4, 16, 48])).await,
        "hosts" => idle::run_hosts(&or(&[10, 100, 1_370])).await,
        "configs" => configs::run(&or(&[100, 1_000, 5_100])).await,
        "restart" => configs::run_restart(&or(&[50, 100, 200])).await,
        "short" => configs::run_short(&or(&[50, 200, 500])).await,
        _ => bail!("{USAGE}"),
    }
}
