//! Faults of a document with their place, collected and reported together.

use std::cell::{Cell, RefCell};
use std::fmt;

use serde::{Serialize, Serializer};

/// Where a value stands in a document. Lines and columns count from one; zero means "no place".
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// The line, counted from one.
    pub line: u32,
    /// The column, counted from one.
    pub column: u32,
}

/// A value together with its place.
#[derive(Debug, Clone, Default)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where the value stands.
    pub location: SourceLocation,
}

impl<T> Located<T> {
    /// Makes a value that comes from no document.
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

/// One fault: where it is, which field has it, and what is expected instead.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where the fault stands.
    pub location: SourceLocation,
    /// The path of the field, for example `routes[2].class`.
    pub field: String,
    /// What is expected.
    pub expected: String,
}

/// All faults of one document.
#[derive(Debug, Clone, Default)]
pub struct FindingList {
    file: String,
    findings: RefCell<Vec<Finding>>,
    unreadable: Cell<bool>,
}

impl FindingList {
    /// Makes an empty list for the document named `file`.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_string(),
            findings: RefCell::default(),
            unreadable: Cell::new(false),
        }
    }

    /// Adds a fault that leaves the document unread. Later faults are ignored, because they would be
    /// about fields that only seem to be missing.
    pub fn report_unreadable(&self, location: SourceLocation, expected: impl Into<String>) {
        self.report(location, "document", expected);
        self.unreadable.set(true);
    }

    /// Adds a fault.
    pub fn report(&self, location: SourceLocation, field: &str, expected: impl Into<String>) {
        if self.unreadable.get() {
            return;
        }
        self.findings.borrow_mut().push(Finding {
            location,
            field: field.to_string(),
            expected: expected.into(),
        });
    }

    /// Tells whether there is no fault.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// Returns the faults in the order of their places.
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
