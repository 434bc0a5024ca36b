//! Formatting of answers as tables and texts for operators.

use std::fmt::Write;

use serde_json::Value;

/// Prints a text and a line break. A closed pipe, such as after `head`, is not an error.
pub fn print_text(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = std::io::Write::write_all(&mut output, text.trim_end().as_bytes());
    let _ = std::io::Write::write_all(&mut output, b"\n");
}

/// Formats a list of JSON objects as a table with one column per name in `columns`.
#[must_use]
pub fn table_text(items: &[Value], columns: &[&str]) -> String {
    let mut rows = vec![columns.iter().map(|name| name.to_uppercase()).collect()];
    for item in items {
        let cells = columns.iter().map(|column| cell_text(&item[*column]));
        rows.push(cells.collect::<Vec<_>>());
    }
    let mut text = String::new();
    for row in &rows {
        for (index, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|row| row[index].chars().count()).max();
            let width = width.unwrap_or_default();
            let _ = write!(text, "{cell:<width$}  ");
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}

/// Formats the fields of a JSON object, one per line.
#[must_use]
pub fn fields_text(item: &Value) -> String {
    let Some(object) = item.as_object() else {
        return cell_text(item);
    };
    let width = object.keys().map(String::len).max().unwrap_or_default();
    let mut text = String::new();
    for (name, value) in object {
        let _ = writeln!(text, "{name:<width$}  {}", cell_text(value));
    }
    text
}

/// Formats a value: a text without quotes, a list of texts with commas, null and an empty list as `-`, and any other
/// value as JSON.
#[must_use]
pub fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.is_empty() => "-".to_string(),
        Value::Array(items) if items.iter().all(Value::is_string) => {
            items.iter().map(cell_text).collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

/// Formats the answer to a change and the progress of its rollout.
#[must_use]
pub fn change_text(answer: &Value) -> String {
    let generation = &answer["generation"];
    if answer["changed"] == false {
        return format!("nothing to change; the configuration stays at generation {generation}");
    }
    let repeat_note = if answer["repeated"] == true {
        " by an earlier call"
    } else {
        ""
    };
    format!(
        "accepted at generation {generation}{repeat_note}: {}\n{}",
        cell_text(&answer["summary"]),
        progress_text(answer)
    )
}

/// Formats the progress of a rollout: the instances on which a generation is in force, and those on which it is not.
#[must_use]
pub fn progress_text(answer: &Value) -> String {
    let mut text = format!(
        "in force on {} of {} instances",
        answer["in_force"], answer["known"]
    );
    for (field, label) in [("behind", "behind"), ("unheard", "no recent heartbeat")] {
        if answer[field]
            .as_array()
            .is_some_and(|names| !names.is_empty())
        {
            let _ = write!(text, "\n{label}: {}", cell_text(&answer[field]));
        }
    }
    text
}

/// Formats the findings of a rejected document, each after its location in the form `file:line:column`.
#[must_use]
pub fn findings_text(message: &str, body: &Value, file: &str) -> String {
    let mut text = message.to_string();
    for finding in body["findings"].as_array().into_iter().flatten() {
        let location = match (finding["line"].as_u64(), finding["column"].as_u64()) {
            (Some(line), Some(column)) => format!("{file}:{line}:{column}: "),
            _ => String::new(),
        };
        let field = match finding["record"].as_str() {
            Some(record) => format!("{record}: {}", cell_text(&finding["field"])),
            None => cell_text(&finding["field"]),
        };
        let _ = write!(
            text,
            "\n{location}{field}: {}",
            cell_text(&finding["expected"])
        );
    }
    text
}

/// Formats a conflict and the changes since the expected generation.
#[must_use]
pub fn conflict_text(body: &Value) -> String {
    let generation = &body["generation"];
    let mut text = format!(
        "the configuration is at generation {generation}, not {}; nothing was applied\nchanges since then:",
        body["expected_generation"]
    );
    for change in body["changes"].as_array().into_iter().flatten() {
        let _ = write!(
            text,
            "\n  generation {} by {}: {}",
            change["generation"],
            cell_text(&change["operator"]),
            cell_text(&change["summary"])
        );
    }
    let _ = write!(
        text,
        "\ncheck 'coltsfootkeel config show', then repeat the command; 'config apply' with --expect {generation}"
    );
    text
}
