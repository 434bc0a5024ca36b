//! Findings: the faults of a document with their source locations, collected and reported together.

use std::cell::{Cell, RefCell};
use std::fmt;

use serde::{Serialize, Serializer};

/// The line and column of a value in a document. Both count from one; zero means that there is no location.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// The line, counted from one, or zero.
    pub line: u32,
    /// The column, counted from one, or zero.
    pub column: u32,
}

/// A value together with its source location.
#[derive(Debug, Clone, Default)]
pub struct Located<T> {
    /// The value, which is a default if the document has none.
    pub value: T,
    /// The location of the value, or of the enclosing mapping if the value is a default.
    pub location: SourceLocation,
}

impl<T> Located<T> {
    /// Wraps a value that does not come from a document.
    pub fn without_location(value: T) -> Self {
        Self {
            value,
            location: SourceLocation::default(),
        }
    }
}

impl<T: Serialize> Serialize for Located<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.value.serialize(serializer)
    }
}

/// One fault of a document: its location, its field, and what is expected instead.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The location of the fault.
    pub location: SourceLocation,
    /// The path of the field, for example `routes[2].class`.
    pub field: String,
    /// What a valid document has there, as a message that begins with `expected` or names an unknown field.
    pub expected: String,
}

/// All faults of one document, in the order of detection.
///
/// Faults are added through a shared reference, so that several readers of one document can report to the same list.
#[derive(Debug, Clone, Default)]
pub struct FindingList {
    file: String,
    findings: RefCell<Vec<Finding>>,
    is_unreadable: Cell<bool>,
}

impl FindingList {
    /// Creates an empty list for the document named `file`.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_string(),
            findings: RefCell::default(),
            is_unreadable: Cell::new(false),
        }
    }

    /// Adds a fault that prevents the document from being read. Later faults are ignored, because they would report
    /// the unread fields as missing.
    pub fn report_unreadable(&self, location: SourceLocation, expected: impl Into<String>) {
        self.report(location, "document", expected);
        self.is_unreadable.set(true);
    }

    /// Adds a fault, unless the document is unreadable.
    pub fn report(&self, location: SourceLocation, field: &str, expected: impl Into<String>) {
        if self.is_unreadable.get() {
            return;
        }
        self.findings.borrow_mut().push(Finding {
            location,
            field: field.to_string(),
            expected: expected.into(),
        });
    }

    /// Returns whether no faults were reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// Returns the faults in the order of their locations, without duplicates.
    #[must_use]
    pub fn sorted(&self) -> Vec<Finding> {
        let mut findings = self.findings.borrow().clone();
        findings.sort();
        findings.dedup();
        findings
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in self.sorted() {
            let SourceLocation { line, column } = finding.location;
            writeln!(
                formatter,
                "{}:{line}:{column}: {}: {}",
                self.file, finding.field, finding.expected
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for FindingList {}
