//! Tables of results as plain text.

use std::fmt;

/// Table with a title and one heading for each column. It is printed with aligned columns.
#[derive(Debug)]
pub struct TextTable {
    title: String,
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(title: &str, headings: &[&'static str]) -> Self {
        Self {
            title: title.to_owned(),
            headings: headings.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row with one cell for each heading.
    pub fn add(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(self.headings[column].chars().count())
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.headings.len())
            .map(|column| self.width(column))
            .collect();
        writeln!(formatter, "{}", self.title)?;
        let headings: Vec<String> = self.headings.iter().map(ToString::to_string).collect();
        for row in std::iter::once(&headings).chain(&self.rows) {
            for (cell, width) in row.iter().zip(&widths) {
                write!(formatter, "  {cell:>width$}")?;
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}

/// Formats a number with `decimals` digits after the point.
#[must_use]
pub fn decimal_text(number: f64, decimals: usize) -> String {
    format!("{number:.decimals$}")
}

/// Formats a number of bytes in MiB with one decimal.
#[must_use]
pub fn bytes_text(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / f64::from(1 << 20))
}
