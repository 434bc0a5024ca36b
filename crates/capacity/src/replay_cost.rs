//! Memory and processor time of the replay memory per retained idempotency key.

use std::sync::Arc;
use std::time::Duration;

use coltsfootkeel_counters::MonotonicTime;
use coltsfootkeel_decisions::{
    IdempotencyKey, ReplayDecision, ReplayEnd, ReplayLimits, ReplayMemory, RequestDigest,
};

use crate::process_usage::{processor_time, resident_memory};
use crate::text_table::{TextTable, bytes_text, decimal_text};

/// Number of keys, equal to the most that a daemon retains.
const KEY_COUNT: usize = 100_000;

const LIMITS: ReplayLimits = ReplayLimits {
    entries: KEY_COUNT,
    account_entries: KEY_COUNT,
    answer_bytes: 1 << 30,
    account_answer_bytes: 1 << 30,
};

struct ReplayCase {
    name: &'static str,
    answer_bytes: usize,
}

const CASES: [ReplayCase; 2] = [
    ReplayCase {
        name: "no answer kept",
        answer_bytes: 0,
    },
    ReplayCase {
        name: "answers of 512 bytes",
        answer_bytes: 512,
    },
];

/// Measures the memory of retained keys of 48 bytes each. The result is correct only in a process that has freed little
/// memory before, since freed memory stays resident and is reused.
#[must_use]
pub fn replay_table() -> TextTable {
    let mut table = TextTable::new(
        "Replay memory: 100,000 keys of 48 bytes",
        &["case", "MiB", "bytes/key", "ns/request"],
    );
    let mut memories = Vec::new();
    for case in CASES {
        let before = resident_memory();
        let start = processor_time();
        let memory = filled_memory(&case);
        let elapsed = processor_time().saturating_sub(start);
        let grown_bytes = resident_memory().saturating_sub(before);
        memories.push(memory);
        table.add([
            case.name.to_owned(),
            bytes_text(grown_bytes),
            decimal_text(grown_bytes as f64 / KEY_COUNT as f64, 0),
            decimal_text(elapsed.as_secs_f64() * 1e9 / KEY_COUNT as f64, 0),
        ]);
    }
    table
}

fn filled_memory(case: &ReplayCase) -> ReplayMemory<Vec<u8>> {
    let memory = ReplayMemory::new(1, LIMITS);
    let now = MonotonicTime::from_millis(1_000);
    for number in 0..KEY_COUNT {
        let text = format!("penang-a-1.0123456789abcdef.{number:020}");
        let key = IdempotencyKey::try_from(text).expect("a valid key");
        let digest = RequestDigest(number as u64);
        let decision = memory.begin(now, "hotel-group", &key, digest, Duration::from_secs(10));
        let ReplayDecision::Run(ticket) = decision else {
            continue;
        };
        let end = if case.answer_bytes == 0 {
            ReplayEnd::AnswerNotKept
        } else {
            ReplayEnd::Answered {
                answer: Arc::new(vec![1; case.answer_bytes]),
                bytes: case.answer_bytes,
            }
        };
        memory.finish(now, "hotel-group", &key, ticket, end);
    }
    memory
}
