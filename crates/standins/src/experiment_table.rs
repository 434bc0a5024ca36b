//! Prints the results of the experiment as Markdown tables.

use std::path::Path;

use crate::experiment_plan::{ScenarioKind, as_f64};
use crate::experiment_score::{AccountScore, GroupTimes, RecoveryTime, ScenarioScore};

/// Prints the heading and the column names of the table of an example folder.
pub fn print_head(folder: &Path) {
    let name = folder.file_name().unwrap_or_default();
    println!("\n### {}\n", name.display());
    println!(
        "| Scenario | Requests | Answered | p50 µs | p99 µs | p99.9 µs | Headroom | Worst-served account | \
         Wrongful refusals | Refusals | Transport errors | Failovers | Recovery | Moved |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

/// Prints the table row of a scenario.
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
        headroom_cell(score),
        worst_served_cell(score),
        wrongful_cell(score),
        counts_cell(score.refusals.iter()),
        counts_cell(score.broken.iter()),
        score.failovers,
        recovery_cell(score),
        moved_cell(score),
    );
}

/// Prints details of a scenario: counts of each account, groups of failures and moved requests.
pub fn print_notes(score: &ScenarioScore) {
    println!("\n{}:", score.scenario.name);
    for account in &score.accounts {
        println!(
            "- account {}: sent {}, entitled {}, served {}, wrongful {}",
            account.name, account.requests, account.entitled, account.served, account.wrongful
        );
    }
    for ((account, entry, code), times) in &score.wrongful_groups {
        println!(
            "- wrongful {code}: {account} at {entry}: {}",
            group_text(*times)
        );
    }
    for ((entry, reason), times) in &score.broken_groups {
        println!(
            "- transport error at {entry}, {reason}: {}",
            group_text(*times)
        );
    }
    if let Some(shift) = &score.shift {
        println!(
            "- shift {}: {} of {} moved, {} moved before the commit",
            shift.name, shift.moved, shift.eligible, shift.moved_before
        );
    }
}

fn group_text(times: GroupTimes) -> String {
    format!(
        "{} from {} ms to {} ms after the event",
        times.count, times.first_ms, times.last_ms
    )
}

fn headroom_cell(score: &ScenarioScore) -> String {
    score
        .headroom
        .map_or_else(|| "–".to_owned(), |fraction| format!("{fraction:.2}"))
}

fn worst_served_cell(score: &ScenarioScore) -> String {
    let accounts = score.accounts.iter().filter(|account| account.entitled > 0);
    let worst =
        accounts.min_by(|one, other| served_fraction(one).total_cmp(&served_fraction(other)));
    worst.map_or_else(
        || "–".to_owned(),
        |account| format!("{} {:.3}", account.name, served_fraction(account)),
    )
}

fn served_fraction(account: &AccountScore) -> f64 {
    ratio(account.served, account.entitled)
}

fn wrongful_cell(score: &ScenarioScore) -> String {
    let percent = 100.0 * ratio(score.wrongful(), score.entitled);
    format!("{} ({percent:.2}%)", score.wrongful())
}

fn counts_cell<'a, K: std::fmt::Display + 'a>(
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

fn recovery_cell(score: &ScenarioScore) -> String {
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
        .last_failure
        .map_or_else(|| "–".to_owned(), |time| format!("{} ms", time.as_millis()));
    format!("{recovery}; last {last}")
}

fn moved_cell(score: &ScenarioScore) -> String {
    score.shift.as_ref().map_or_else(
        || "–".to_owned(),
        |shift| {
            let percent = 100.0 * ratio(shift.moved, shift.eligible);
            format!(
                "{} of {} ({percent:.1}%), cap {}%",
                shift.moved, shift.eligible, shift.cap_percent
            )
        },
    )
}

fn ratio(part: usize, whole: usize) -> f64 {
    as_f64(part as u64) / as_f64(whole as u64).max(1.0)
}
