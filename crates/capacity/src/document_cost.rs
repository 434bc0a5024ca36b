//! Processor time and memory for reading, checking and writing a configuration document.

use std::fmt;
use std::hint::black_box;
use std::io;
use std::process::Command;
use std::time::Duration;

use coltsfootkeel_model::{FleetConfig, RawFleet};

use crate::process_usage::{peak_memory, processor_time, resident_memory};
use crate::sample_fleet::FleetSize;
use crate::text_table::{TextTable, bytes_text, decimal_text};

/// Documents with more blocks are left out if they are expected to need more memory than this.
const MEMORY_LIMIT_BYTES: u64 = 6 << 30;

/// Cost of one document.
#[derive(Debug, Clone, Copy, Default)]
pub struct DocumentCost {
    /// Size of the document in bytes.
    pub bytes: u64,
    /// Processor time for reading it.
    pub read: Duration,
    /// Processor time for checking it and building its tables.
    pub check: Duration,
    /// Processor time for writing it as JSON.
    pub write: Duration,
    /// Largest resident memory during the measurement in bytes, minus the resident memory before it.
    pub peak_bytes: u64,
    /// Resident memory of the document and the checked configuration after the measurement, in bytes.
    pub retained_bytes: u64,
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
            self.bytes, self.peak_bytes, self.retained_bytes
        )
    }
}

impl DocumentCost {
    fn parse_line(line: &str) -> Option<Self> {
        let numbers: Vec<u64> = line
            .split_whitespace()
            .filter_map(|text| text.parse().ok())
            .collect();
        let [bytes, read, check, write, peak_bytes, retained_bytes] = numbers[..] else {
            return None;
        };
        Some(Self {
            bytes,
            read: Duration::from_nanos(read),
            check: Duration::from_nanos(check),
            write: Duration::from_nanos(write),
            peak_bytes,
            retained_bytes,
        })
    }
}

/// Measures one document in this process. The memory figures are correct only in a process that has done nothing else,
/// since freed memory stays resident.
///
/// # Panics
///
/// Panics if the sample document is invalid.
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
        peak_bytes: peak_memory().saturating_sub(before),
        retained_bytes: resident_memory().saturating_sub(before),
    };
    black_box(config);
    cost
}

#[derive(Debug, Clone)]
struct DocumentCase {
    parameter: &'static str,
    count: usize,
    size: FleetSize,
}

const RECORD_COUNTS: [usize; 3] = [100, 1_000, 10_000];
const BLOCK_COUNTS: [usize; 3] = [10_000, 100_000, 630_000];

fn cases() -> Vec<DocumentCase> {
    let base = FleetSize::SMALLEST;
    let case = |parameter, count, size| DocumentCase {
        parameter,
        count,
        size,
    };
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

/// Measures documents of growing size, each in a child process.
///
/// # Errors
///
/// Returns an error if the child process cannot be started.
pub fn document_table() -> io::Result<TextTable> {
    let mut table = TextTable::new(
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
    let mut previous: Option<(usize, DocumentCost)> = None;
    for case in cases() {
        let expected_bytes = previous.map_or(0, |(count, cost)| {
            cost.peak_bytes * case.count as u64 / count as u64
        });
        if expected_bytes > MEMORY_LIMIT_BYTES && case.parameter == "blocks" {
            let reason = format!(
                "left out: about {} MiB expected",
                bytes_text(expected_bytes)
            );
            table.add([case.parameter.to_owned(), case.count.to_string(), reason]);
            continue;
        }
        let Some(cost) = measure_in_child(case.size)? else {
            table.add([
                case.parameter.to_owned(),
                case.count.to_string(),
                "failed".to_owned(),
            ]);
            continue;
        };
        previous = Some((case.count, cost));
        table.add([
            case.parameter.to_owned(),
            case.count.to_string(),
            decimal_text(cost.bytes as f64 / 1e6, 2),
            decimal_text(cost.read.as_secs_f64() * 1e3, 1),
            decimal_text(cost.check.as_secs_f64() * 1e3, 1),
            decimal_text(cost.write.as_secs_f64() * 1e3, 1),
            bytes_text(cost.peak_bytes),
            bytes_text(cost.retained_bytes),
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
    Ok(DocumentCost::parse_line(&String::from_utf8_lossy(
        &output.stdout,
    )))
}
