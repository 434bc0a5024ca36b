//! Time and memory to read, check and write a configuration document.

use std::fmt;
use std::hint::black_box;
use std::io;
use std::process::Command;
use std::time::Duration;

use coltsfootkeel_model::{FleetConfig, RawFleet};

use crate::figure_table::{FigureTable, bytes_text, decimal_text};
use crate::process_figures::{peak_memory, processor_time, resident_memory};
use crate::sample_fleet::FleetSize;

/// The largest document is left out if it is expected to need more than this.
const MEMORY_LIMIT_BYTES: u64 = 6 << 30;

/// What one document costs.
#[derive(Debug, Clone, Copy, Default)]
pub struct DocumentCost {
    /// Size of the document in bytes.
    pub bytes: u64,
    /// Processor time to read it.
    pub read: Duration,
    /// Processor time to check it and build its tables.
    pub check: Duration,
    /// Processor time to write it as JSON.
    pub write: Duration,
    /// Peak of resident memory while it is read, above what the process held before.
    pub peak: u64,
    /// Resident memory that the checked configuration and the document hold afterwards.
    pub kept: u64,
}

impl fmt::Display for DocumentCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (read, check, write) = (
            self.read.as_nanos(),
            self.check.as_nanos(),
            self.write.as_nanos(),
        );
        write!(
            formatter,
            "{} {read} {check} {write} {} {}",
            self.bytes, self.peak, self.kept
        )
    }
}

impl DocumentCost {
    fn read_line(line: &str) -> Option<Self> {
        let numbers: Vec<u64> = line
            .split_whitespace()
            .filter_map(|text| text.parse().ok())
            .collect();
        let [bytes, read, check, write, peak, kept] = numbers[..] else {
            return None;
        };
        Some(Self {
            bytes,
            read: Duration::from_nanos(read),
            check: Duration::from_nanos(check),
            write: Duration::from_nanos(write),
            peak,
            kept,
        })
    }
}

/// Measures one document in this process. The memory is right only in a process that has done nothing else.
///
/// # Panics
///
/// Panics if the sample has faults, which would be one of this package.
#[must_use]
pub fn measure_document(size: FleetSize) -> DocumentCost {
    let text = size.document();
    let before = resident_memory();
    let start = processor_time();
    let raw = RawFleet::read("sample", &text);
    let read = processor_time();
    let written = black_box(serde_json::to_string(&raw)).unwrap_or_default();
    let write = processor_time();
    drop(written);
    let restart = processor_time();
    let config = FleetConfig::try_from(raw).expect("a valid sample");
    let check = processor_time();
    let cost = DocumentCost {
        bytes: text.len() as u64,
        read: read.saturating_sub(start),
        check: check.saturating_sub(restart),
        write: write.saturating_sub(read),
        peak: peak_memory().saturating_sub(before),
        kept: resident_memory().saturating_sub(before),
    };
    black_box(config);
    cost
}

#[derive(Debug, Clone)]
struct DocumentCase {
    grows: &'static str,
    count: usize,
    size: FleetSize,
}

const RECORD_COUNTS: [usize; 3] = [100, 1_000, 10_000];
const BLOCK_COUNTS: [usize; 3] = [10_000, 100_000, 630_000];

fn cases() -> Vec<DocumentCase> {
    let base = FleetSize::SMALLEST;
    let case = |grows, count, size| DocumentCase { grows, count, size };
    let accounts = RECORD_COUNTS.map(|accounts| {
        let size = FleetSize { accounts, ..base };
        case("accounts", accounts, size)
    });
    let upstreams = RECORD_COUNTS.map(|upstreams| {
        let size = FleetSize { upstreams, ..base };
        case("upstreams", upstreams, size)
    });
    let routes = RECORD_COUNTS.map(|routes| {
        let size = FleetSize { routes, ..base };
        case("routes", routes, size)
    });
    let blocks = BLOCK_COUNTS.map(|blocks| {
        let size = FleetSize { blocks, ..base };
        case("blocks", blocks, size)
    });
    [accounts, upstreams, routes, blocks].concat()
}

/// Measures documents of growing size, each in a process of its own.
///
/// # Errors
///
/// Returns an error if this program cannot be started again.
pub fn document_table() -> io::Result<FigureTable> {
    let mut table = FigureTable::new(
        "Configuration document (JSON): processor time and memory of its reader",
        &[
            "grows",
            "count",
            "document MB",
            "read ms",
            "check ms",
            "write ms",
            "peak MiB",
            "left MiB",
        ],
    );
    let mut before: Option<(usize, DocumentCost)> = None;
    for case in cases() {
        let expected = before.map_or(0, |(count, cost)| {
            cost.peak * case.count as u64 / count as u64
        });
        if expected > MEMORY_LIMIT_BYTES && case.grows == "blocks" {
            let reason = format!("left out: about {} MiB expected", bytes_text(expected));
            table.add([case.grows.to_owned(), case.count.to_string(), reason]);
            continue;
        }
        let Some(cost) = measure_in_child(case.size)? else {
            table.add([
                case.grows.to_owned(),
                case.count.to_string(),
                "failed".to_owned(),
            ]);
            continue;
        };
        before = Some((case.count, cost));
        table.add([
            case.grows.to_owned(),
            case.count.to_string(),
            decimal_text(cost.bytes as f64 / 1e6, 2),
            decimal_text(cost.read.as_secs_f64() * 1e3, 1),
            decimal_text(cost.check.as_secs_f64() * 1e3, 1),
            decimal_text(cost.write.as_secs_f64() * 1e3, 1),
            bytes_text(cost.peak),
            bytes_text(cost.kept),
        ]);
    }
    Ok(table)
}

fn measure_in_child(size: FleetSize) -> io::Result<Option<DocumentCost>> {
    let counts = [
        size.seats,
        size.accounts,
        size.upstreams,
        size.routes,
        size.blocks,
    ];
    let counts: Vec<String> = counts.iter().map(ToString::to_string).collect();
    let output = Command::new(std::env::current_exe()?)
        .args(["--document", &counts.join(",")])
        .output()?;
    Ok(DocumentCost::read_line(&String::from_utf8_lossy(
        &output.stdout,
    )))
}
