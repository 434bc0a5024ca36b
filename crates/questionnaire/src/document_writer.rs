//! Writing of a configuration document as YAML with one record on a line.

use std::fmt::Write;

/// A YAML document under construction.
#[derive(Debug, Default)]
pub struct DocumentWriter {
    text: String,
}

impl DocumentWriter {
    /// Appends a comment line.
    pub fn comment(&mut self, text: &str) {
        self.line(0, &format!("# {text}"));
    }

    /// Appends the top-level list `field` with one record on a line. An empty list is omitted.
    pub fn list(&mut self, field: &str, records: impl Iterator<Item = String>) {
        self.nested_list(0, field, records);
    }

    /// Appends the list `field`, indented by `indent` spaces, with one record on a line. An empty list is omitted.
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

    /// Appends one line, indented by `indent` spaces.
    pub fn line(&mut self, indent: usize, text: &str) {
        self.text.push_str(&" ".repeat(indent));
        self.text.push_str(text);
        self.text.push('\n');
    }

    /// Returns the text of the document.
    pub fn finish(self) -> String {
        self.text
    }
}

/// Returns `text` as a YAML scalar, quoted and escaped unless it is a plain scalar that YAML reads back as the same
/// string.
pub fn quoted(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"/-_.".contains(&byte);
    let starts_plain =
        text.starts_with(|first: char| first.is_ascii_alphanumeric() || first == '/');
    if starts_plain && text.bytes().all(is_plain) {
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

/// Returns a YAML flow sequence of strings.
pub fn quoted_list<'a>(texts: impl Iterator<Item = &'a str>) -> String {
    let texts: Vec<String> = texts.map(quoted).collect();
    format!("[{}]", texts.join(", "))
}
