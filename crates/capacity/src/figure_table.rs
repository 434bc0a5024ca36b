//! Tables of figures as text.

use std::fmt;

/// A table with one heading for each column.
#[derive(Debug)]
pub struct FigureTable {
    title: String,
    headings: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl FigureTable {
    /// Makes a table without rows.
    #[must_use]
    pub fn new(title: &str, headings: &[&'static str]) -> Self {
        Self {
            title: title.to_owned(),
            headings: headings.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row with one text for each heading.
    pub fn add(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(self.headings[column].chars().count())
    }
}

impl fmt::Display for FigureTable {
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

/// Writes a number with a given count of decimals.
#[must_use]
pub fn decimal_text(number: f64, decimals: usize) -> String {
    format!("{number:.decimals$}")
}

/// Writes a count of bytes in MiB.
#[must_use]
pub fn bytes_text(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / f64::from(1 << 20))
}
