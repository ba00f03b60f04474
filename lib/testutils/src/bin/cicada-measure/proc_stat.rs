//! Processor time and memory of a process, as the kernel tells them.

use std::fs;

use eyre::OptionExt;
use eyre::Result;

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Nanoseconds of processor time, over its living threads.
    pub(crate) cpu_ns: u64,
    /// Resident memory in kB.
    pub(crate) rss_kb: u64,
    /// The part of it that no other process shares, in kB.
    pub(crate) anon_kb: u64,
}

impl Usage {
    /// Reads a process's usage.
    pub(crate) fn read(pid: u32) -> Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Usage {
            cpu_ns: cpu_ns(pid)?,
            rss_kb: field(&status, "VmRSS:")?,
            anon_kb: field(&status, "RssAnon:")?,
        })
    }

    /// Microseconds of processor time since `before`.
    pub(crate) fn cpu_us_since(&self, before: &Usage) -> f64 {
        self.cpu_ns.saturating_sub(before.cpu_ns) as f64 / 1e3
    }
}

/// The scheduler counts nanoseconds for each thread; the file for the process has ticks of 10 ms, too
/// coarse for a process that is idle.
fn cpu_ns(pid: u32) -> Result<u64> {
    let mut sum = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        // A thread may end between the two reads.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            continue;
        };
        let first = text.split_whitespace().next().unwrap_or("0");
        sum += first.parse::<u64>()?;
    }
    Ok(sum)
}

fn field(status: &str, name: &str) -> Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number
        .ok_or_eyre("the kernel's status has no such line")?
        .parse()?)
}
