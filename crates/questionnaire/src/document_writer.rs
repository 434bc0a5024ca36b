//! Writes a configuration document as YAML with one record a line.

use std::fmt::Write;

/// A document that grows line by line.
#[derive(Debug, Default)]
pub struct DocumentWriter {
    text: String,
}

impl DocumentWriter {
    /// Adds a comment.
    pub fn comment(&mut self, text: &str) {
        self.line(0, &format!("# {text}"));
    }

    /// Adds a list with one record a line. An empty list is left out.
    pub fn list(&mut self, field: &str, records: impl Iterator<Item = String>) {
        self.nested_list(0, field, records);
    }

    /// Adds a list that belongs to a record at `indent` spaces.
    pub fn nested_list(
        &mut self,
        indent: usize,
        field: &str,
        records: impl Iterator<Item = String>,
    ) {
        let mut records = records.peekable();
        if records.peek().is_none() {
            return;
        }
        self.line(indent, &format!("{field}:"));
        for record in records {
            self.line(indent + 2, &format!("- {record}"));
        }
    }

    /// Adds one line.
    pub fn line(&mut self, indent: usize, text: &str) {
        self.text.push_str(&" ".repeat(indent));
        self.text.push_str(text);
        self.text.push('\n');
    }

    /// Returns the whole text.
    pub fn finish(self) -> String {
        self.text
    }
}

/// Writes a text so that YAML reads the same text back.
pub fn quoted(text: &str) -> String {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.".contains(&byte);
    let starts_plain =
        text.starts_with(|first: char| first.is_ascii_alphanumeric() || first == '/');
    if starts_plain && text.bytes().all(plain) {
        return text.to_string();
    }
    let mut quoted = String::from('"');
    for character in text.chars() {
        if character.is_control() {
            let code = u32::from(character);
            let _ = write!(quoted, "\\U{code:08x}");
            continue;
        }
        if character == '"' || character == '\\' {
            quoted.push('\\');
        }
        quoted.push(character);
    }
    quoted.push('"');
    quoted
}

/// Writes a list of texts on one line.
pub fn quoted_list<'a>(texts: impl Iterator<Item = &'a str>) -> String {
    let texts: Vec<String> = texts.map(quoted).collect();
    format!("[{}]", texts.join(", "))
}
