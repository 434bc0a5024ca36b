//! The table of the experiment, in Markdown.

use std::path::Path;

use crate::experiment_plan::{ScenarioKind, as_rate};
use crate::experiment_score::{AccountScore, GroupTimes, RecoveryTime, ScenarioScore};

/// Prints the head of the table of an example.
pub fn print_head(folder: &Path) {
    let name = folder.file_name().unwrap_or_default();
    println!("\n### {}\n", name.display());
    println!(
        "| Scenario | Requests | Answered | p50 µs | p99 µs | p99.9 µs | Headroom | Worst-served account | \
         Wrongful refusals | Refusals | Transport errors | Failovers | Recovery | Moved |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints the row of a scenario.
pub fn print_row(score: &ScenarioScore) {
    let latency = |quantile| score.latencies_us.value_at_quantile(quantile);
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        score.scenario.name,
        score.requests,
        score.answered,
        latency(0.5),
        latency(0.99),
        latency(0.999),
        headroom(score),
        worst_served(score),
        wrongful(score),
        counts(score.refusals.iter()),
        counts(score.broken.iter()),
        score.failovers,
        recovery(score),
        moved(score),
    );
}

/// Prints what lies behind the row of a scenario.
pub fn print_notes(score: &ScenarioScore) {
    println!("\n{}:", score.scenario.name);
    for account in &score.accounts {
        println!(
            "- account {}: sent {}, entitled {}, served {}, wrongful {}",
            account.name, account.requests, account.entitled, account.served, account.wrongful
        );
    }
    for ((account, entry, code), times) in &score.wrongful_groups {
        println!("- wrongful {code}: {account} at {entry}: {}", span(*times));
    }
    for ((entry, reason), times) in &score.broken_groups {
        println!("- transport error at {entry}, {reason}: {}", span(*times));
    }
    if let Some(shift) = &score.shift {
        println!(
            "- shift {}: {} of {} moved, {} moved before the commit",
            shift.name, shift.moved, shift.seen, shift.moved_before
        );
    }
}

fn span(times: GroupTimes) -> String {
    format!(
        "{} from {} ms to {} ms after the event",
        times.count, times.first_ms, times.last_ms
    )
}

fn headroom(score: &ScenarioScore) -> String {
    score
        .headroom
        .map_or_else(|| "–".to_owned(), |share| format!("{share:.2}"))
}

fn worst_served(score: &ScenarioScore) -> String {
    let accounts = score.accounts.iter().filter(|account| account.entitled > 0);
    let worst = accounts.min_by(|one, other| service(one).total_cmp(&service(other)));
    worst.map_or_else(
        || "–".to_owned(),
        |account| format!("{} {:.3}", account.name, service(account)),
    )
}

fn service(account: &AccountScore) -> f64 {
    ratio(account.served, account.entitled)
}

fn wrongful(score: &ScenarioScore) -> String {
    let share = 100.0 * ratio(score.wrongful(), score.entitled);
    format!("{} ({share:.2}%)", score.wrongful())
}

fn counts<'a, K: std::fmt::Display + 'a>(
    counts: impl Iterator<Item = (&'a K, &'a usize)>,
) -> String {
    let parts: Vec<String> = counts
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    if parts.is_empty() {
        "0".to_owned()
    } else {
        parts.join(", ")
    }
}

fn recovery(score: &ScenarioScore) -> String {
    if matches!(
        score.scenario.kind,
        ScenarioKind::NormalDay | ScenarioKind::Overload
    ) {
        return "–".to_owned();
    }
    let recovery = match score.recovery {
        RecoveryTime::Within(time) => format!("{} ms", time.as_millis()),
        RecoveryTime::NotWithin(time) => format!("not within {} ms", time.as_millis()),
    };
    let last = score
        .last_bad
        .map_or_else(|| "–".to_owned(), |time| format!("{} ms", time.as_millis()));
    format!("{recovery}; last {last}")
}

fn moved(score: &ScenarioScore) -> String {
    score.shift.as_ref().map_or_else(
        || "–".to_owned(),
        |shift| {
            let share = 100.0 * ratio(shift.moved, shift.seen);
            format!(
                "{} of {} ({share:.1}%), cap {}%",
                shift.moved, shift.seen, shift.cap_percent
            )
        },
    )
}

fn ratio(part: usize, whole: usize) -> f64 {
    as_rate(part as u64) / as_rate(whole as u64).max(1.0)
}
