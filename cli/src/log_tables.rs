//! Tables of the time to the first event and of the longest gap of streams, by what their engine had to prefill.

use std::collections::BTreeMap;
use std::collections::HashMap;

use cicada_lib::query_rows::Cell;
use cicada_lib::query_rows::Column;
use cicada_lib::query_rows::Table;
use hdrhistogram::Histogram;

use crate::log_lines::StreamEvent;
use crate::log_lines::StreamLine;

/// Lower ends of the rows by prefill queued ahead, in ms. A prompt of 3,000 tokens takes about 200 ms.
const QUEUED_MS: [u64; 7] = [0, 100, 200, 400, 800, 1_600, 3_200];

/// Lower ends of the rows by prompts placed meanwhile.
const PROMPTS: [u64; 8] = [0, 1, 2, 3, 4, 5, 6, 12];

/// Longest time in ms that is told apart: an hour, over any deadline.
const MAX_MS: u64 = 3_600_000;

/// Significant digits of the times, so that 180 and 181 ms differ.
const DIGITS: u8 = 3;

const FIRST_EVENT_COLUMNS: [Column; 6] = [
    Column::text("queued_ms"),
    Column::number("streams"),
    Column::number("first_p50"),
    Column::number("first_p90"),
    Column::number("first_p99"),
    Column::number("first_max"),
];

const GAP_COLUMNS: [Column; 6] = [
    Column::text("prompts"),
    Column::number("streams"),
    Column::number("longest_p50"),
    Column::number("longest_p90"),
    Column::number("longest_p99"),
    Column::number("longest_max"),
];

/// The two tables.
pub(crate) struct LogTables {
    /// Time to the first event by prefill milliseconds queued ahead at placement.
    pub(crate) first_event: Table,
    /// Longest gap by prompts placed at the run's engine meanwhile.
    pub(crate) longest_gap: Table,
}

/// The last placement of a stream that has not ended.
struct Placement {
    server: String,
    queued_ms: u64,
    // Prompts placed at the server before, this one included.
    prompts: u64,
}

/// Makes the tables from lines in order of their time. Streams whose placement or end is not among them do not count.
pub(crate) fn make(lines: &[StreamLine]) -> LogTables {
    let mut prompts: HashMap<&str, u64> = HashMap::new();
    let mut placements: HashMap<&str, Placement> = HashMap::new();
    let mut first_event = Rows::new(&QUEUED_MS);
    let mut longest_gap = Rows::new(&PROMPTS);
    for line in lines {
        match line.event {
            StreamEvent::Placed { queued_ms } => {
                let placed = prompts.entry(&line.server).or_default();
                *placed += 1;
                let placement = Placement {
                    server: line.server.clone(),
                    queued_ms,
                    prompts: *placed,
                };
                placements.insert(&line.id, placement);
            }
            StreamEvent::Ended {
                first_ms,
                longest_ms,
            } => {
                let Some(placement) = placements.remove(line.id.as_str()) else {
                    continue;
                };
                first_event.record(Some(placement.queued_ms), first_ms);
                let stayed = placement.server == line.server;
                let now = prompts.get(line.server.as_str()).copied().unwrap_or(0);
                let meanwhile = stayed.then(|| now - placement.prompts);
                longest_gap.record(meanwhile, longest_ms);
            }
        }
    }
    LogTables {
        first_event: first_event.table(&FIRST_EVENT_COLUMNS),
        longest_gap: longest_gap.table(&GAP_COLUMNS),
    }
}

/// Times by row. The last row is that of runs that ended at another engine.
struct Rows {
    ends: &'static [u64],
    times: BTreeMap<usize, Histogram<u64>>,
}

impl Rows {
    fn new(ends: &'static [u64]) -> Self {
        Rows {
            ends,
            times: BTreeMap::new(),
        }
    }

    /// Records a time under the row of `value`, or under that of moved runs.
    fn record(&mut self, value: Option<u64>, ms: u64) {
        let row = match value {
            Some(value) => self.ends.partition_point(|end| *end <= value) - 1,
            None => self.ends.len(),
        };
        let times = self.times.entry(row).or_insert_with(new_histogram);
        times.saturating_record(ms);
    }

    fn table(&self, columns: &'static [Column]) -> Table {
        let row = |(row, times): (&usize, &Histogram<u64>)| {
            let quantiles = [0.5, 0.9, 0.99].map(|part| times.value_at_quantile(part));
            let mut cells = vec![Cell::Text(self.label(*row)), Cell::Number(times.len())];
            cells.extend(quantiles.map(Cell::Number));
            cells.push(Cell::Number(times.max()));
            cells
        };
        Table {
            columns,
            rows: self.times.iter().map(row).collect(),
        }
    }

    fn label(&self, row: usize) -> String {
        match (self.ends.get(row), self.ends.get(row + 1)) {
            (None, _) => "moved".to_owned(),
            (Some(from), None) => format!("{from}+"),
            (Some(from), Some(next)) if *next == from + 1 => from.to_string(),
            (Some(from), Some(next)) => format!("{from}-{}", next - 1),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MS, DIGITS).expect("the bounds are constant and valid")
}
