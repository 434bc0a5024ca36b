//! Findings of the document that would result from an operator's change.

use coltsfootkeel_model::{Finding, FindingList, FleetConfig, RawFleet};
use serde::Serialize;
use serde_json::Value;

use crate::admin_error::AdminError;

/// One finding, located by line and column in the text that was sent, or by the record of the stored document.
#[derive(Debug, Serialize)]
pub struct FindingAnswer {
    /// The line in the text that was sent, counted from 1; `None` if the finding has no location in that text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u32>,
    /// The column in the text that was sent, counted from 1; `None` if the finding has no location in that text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<u32>,
    /// The collection and the name of the record; `None` for a finding of the text that was sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<String>,
    /// The path of the field.
    pub field: String,
    /// The expected value.
    pub expected: String,
}

/// The text to which the locations of findings refer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingOrigin {
    /// The text that the operator sent.
    SentText,
    /// The stored document. The operator does not have its text, so findings name the record instead of the line.
    StoredText,
}

/// Checks a document before it is committed.
///
/// # Errors
///
/// Returns [`AdminError::Findings`] with all findings if the document is not valid.
pub fn check_fleet(fleet: RawFleet, origin: FindingOrigin) -> Result<(), AdminError> {
    let stored = match origin {
        FindingOrigin::SentText => None,
        FindingOrigin::StoredText => Some(fleet.clone()),
    };
    let Err(findings) = FleetConfig::try_from(fleet) else {
        return Ok(());
    };
    Err(match stored {
        None => sent_text_error(&findings),
        Some(stored) => stored_text_error(&stored),
    })
}

/// Creates the error with the findings of a text that the operator sent.
#[must_use]
pub fn sent_text_error(findings: &FindingList) -> AdminError {
    let answers = findings.sorted().into_iter().map(|finding| FindingAnswer {
        line: (finding.location.line > 0).then_some(finding.location.line),
        column: (finding.location.line > 0).then_some(finding.location.column),
        record: None,
        field: finding.field,
        expected: finding.expected,
    });
    AdminError::Findings {
        findings: answers.collect(),
    }
}

/// Creates the error with the findings of an edited document. The document is serialized with one record per line and
/// checked again, so that the line of a finding identifies its record.
fn stored_text_error(fleet: &RawFleet) -> AdminError {
    let listing = RecordListing::new(fleet);
    let findings = match FleetConfig::parse("edited document", &listing.text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.sorted(),
    };
    AdminError::Findings {
        findings: findings
            .into_iter()
            .map(|finding| listing.finding_answer(finding))
            .collect(),
    }
}

/// A document that is serialized with one record per line.
#[derive(Debug, Default)]
struct RecordListing {
    text: String,
    /// The collection and the name of the record of each line; `None` for a line without a record.
    records: Vec<Option<String>>,
}

impl RecordListing {
    fn new(fleet: &RawFleet) -> Self {
        let mut listing = Self::default();
        listing.add("{", None);
        let document = serde_json::to_value(fleet).unwrap_or_default();
        let collections = document.as_object().into_iter().flatten();
        for (index, (collection, records)) in collections.enumerate() {
            let separator = if index == 0 { "" } else { "," };
            listing.add(&format!("{separator}\"{collection}\": ["), None);
            for (index, record) in records.as_array().into_iter().flatten().enumerate() {
                let separator = if index == 0 { "" } else { "," };
                let name = record_name(collection, record);
                listing.add(&format!("{separator}{record}"), Some(name));
            }
            listing.add("]", None);
        }
        listing.add("}", None);
        listing
    }

    fn add(&mut self, line: &str, record: Option<String>) {
        self.text.push_str(line);
        self.text.push('\n');
        self.records.push(record);
    }

    fn finding_answer(&self, finding: Finding) -> FindingAnswer {
        let index = usize::try_from(finding.location.line).unwrap_or_default();
        let record = index
            .checked_sub(1)
            .and_then(|index| self.records.get(index));
        FindingAnswer {
            line: None,
            column: None,
            record: record.cloned().flatten(),
            field: finding.field,
            expected: finding.expected,
        }
    }
}

fn record_name(collection: &str, record: &Value) -> String {
    let fields = ["name", "block", "between"];
    let name = fields.iter().find_map(|field| record.get(field));
    match name {
        Some(Value::String(name)) => format!("{collection} {name}"),
        Some(other) => format!("{collection} {other}"),
        None => collection.to_string(),
    }
}
