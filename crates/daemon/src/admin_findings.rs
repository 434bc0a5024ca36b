//! Findings of a document that an operator's change would make.

use coltsfootkeel_model::{FindingList, FleetConfig, PlacedFinding, RawFleet};
use serde::Serialize;
use serde_json::Value;

use crate::admin_error::AdminError;

/// One finding, with its place in the text that was sent or with the stored record that has it.
#[derive(Debug, Serialize)]
pub struct FindingAnswer {
    /// The line, counted from one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<u32>,
    /// The column, counted from one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<u32>,
    /// The collection and the name of the record.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub record: Option<String>,
    /// The field.
    pub field: String,
    /// What is expected.
    pub expected: String,
}

/// Where the places of findings point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingOrigin {
    /// Into the text that the operator sent.
    SentText,
    /// Into the stored document, which the operator does not see, so records are named instead.
    StoredText,
}

/// Checks a document that is to be committed.
///
/// # Errors
///
/// Returns all its findings.
pub fn check_fleet(fleet: RawFleet, origin: FindingOrigin) -> Result<(), AdminError> {
    let stored = match origin {
        FindingOrigin::SentText => None,
        FindingOrigin::StoredText => Some(fleet.clone()),
    };
    let Err(findings) = FleetConfig::try_from(fleet) else {
        return Ok(());
    };
    Err(match stored {
        None => sent_findings(&findings),
        Some(stored) => stored_findings(&stored),
    })
}

/// Lists the findings of a text that the operator sent.
#[must_use]
pub fn sent_findings(findings: &FindingList) -> AdminError {
    let answers = findings.sorted().into_iter().map(|finding| FindingAnswer {
        line: (finding.place.line > 0).then_some(finding.place.line),
        column: (finding.place.line > 0).then_some(finding.place.column),
        record: None,
        field: finding.field,
        expected: finding.expected,
    });
    AdminError::Findings {
        findings: answers.collect(),
    }
}

/// Lists the findings of an edited document by record: the document is written with one record a line and checked
/// again, so that the line of a finding tells its record.
fn stored_findings(fleet: &RawFleet) -> AdminError {
    let listing = RecordListing::new(fleet);
    let findings = match FleetConfig::parse("edited document", &listing.text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.sorted(),
    };
    AdminError::Findings {
        findings: findings
            .into_iter()
            .map(|finding| listing.answer(finding))
            .collect(),
    }
}

/// A document with one record a line.
#[derive(Debug, Default)]
struct RecordListing {
    text: String,
    /// The record of each line.
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

    fn answer(&self, finding: PlacedFinding) -> FindingAnswer {
        let index = usize::try_from(finding.place.line).unwrap_or_default();
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
