//! The comparison of two reports, as ratios of the second to the first.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::report::Report;
use crate::report::Summary;

/// A measure that is compared.
struct Measure {
    name: &'static str,
    of: fn(&Summary) -> f64,
}

const MEASURES: [Measure; 9] = [
    Measure {
        name: "goodput /s",
        of: |s| s.goodput,
    },
    Measure {
        name: "completed",
        of: |s| s.completed as f64,
    },
    Measure {
        name: "refused",
        of: |s| s.refused.values().sum::<u64>() as f64,
    },
    Measure {
        name: "stall p50 ms",
        of: |s| s.stall.p50,
    },
    Measure {
        name: "stall p99 ms",
        of: |s| s.stall.p99,
    },
    Measure {
        name: "first p95 ms",
        of: |s| s.first.p95,
    },
    Measure {
        name: "gap p95 ms",
        of: |s| s.gap.p95,
    },
    Measure {
        name: "gap p99 ms",
        of: |s| s.gap.p99,
    },
    Measure {
        name: "preempted /1000",
        of: |s| s.preemption_rate,
    },
];

/// A table of the second report's figures over the first one's.
pub fn compare(first: &Report, second: &Report) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "first:  {} (seed {})", first.command, first.seed);
    let _ = writeln!(text, "second: {} (seed {})", second.command, second.seed);
    if first.seed != second.seed || first.rate != second.rate {
        text.push_str("the two do not ask for the same: seeds or rates differ\n");
    }
    add(&mut text, "all", Some(&first.total), Some(&second.total));
    add_all(&mut text, &first.workspaces, &second.workspaces);
    add_all(&mut text, &first.kinds, &second.kinds);
    let _ = writeln!(
        text,
        "broken promises: {} and {}",
        first.broken, second.broken
    );
    text
}

fn add_all(
    text: &mut String,
    first: &BTreeMap<String, Summary>,
    second: &BTreeMap<String, Summary>,
) {
    for (name, summary) in first {
        add(text, name, Some(summary), second.get(name));
    }
}

fn add(text: &mut String, name: &str, first: Option<&Summary>, second: Option<&Summary>) {
    let (Some(first), Some(second)) = (first, second) else {
        let _ = writeln!(text, "{name}: only in the first report");
        return;
    };
    let _ = writeln!(text, "{name}");
    for measure in &MEASURES {
        let before = (measure.of)(first);
        let after = (measure.of)(second);
        let _ = writeln!(
            text,
            "  {:<16}{:>12.2}{:>12.2}{:>10}",
            measure.name,
            before,
            after,
            ratio(before, after)
        );
    }
}

fn ratio(before: f64, after: f64) -> String {
    if before == 0.0 {
        return "-".to_string();
    }
    format!("x{:.2}", after / before)
}
