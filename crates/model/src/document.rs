//! Typed access to the fields of a YAML or JSON document. Faults are collected with their source locations.

use std::ops::RangeInclusive;
use std::sync::OnceLock;

use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode, MarkedSequenceNode};
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, Span};

use crate::findings::{FindingList, Located, SourceLocation};

/// A parsed document, whose faults are reported to a [`FindingList`].
#[derive(Debug)]
pub struct DocumentReader<'a> {
    findings: &'a FindingList,
    root: MarkedMappingNode,
}

impl<'a> DocumentReader<'a> {
    /// Parses `text` as YAML, of which JSON is a subset. A document that is not a mapping is reported and read as an
    /// empty mapping. A duplicate field is reported, and the rest of the document is still read.
    #[must_use]
    pub fn new(text: &str, findings: &'a FindingList) -> Self {
        let mut loaded = load(text, true);
        if let Err(LoadError::DuplicateKey(duplicate)) = &loaded {
            let key = &duplicate.key;
            let location = span_location(key.span());
            findings.report(location, key.as_str(), "expected a field that is set once");
            loaded = load(text, false);
        }
        let root = match loaded {
            Ok(Node::Mapping(root)) => root,
            Ok(node) => {
                findings.report_unreadable(span_location(node.span()), "expected a mapping");
                MarkedMappingNode::new_empty(Span::new_blank())
            }
            Err(error) => {
                findings.report_unreadable(load_error_location(&error), load_error_text(&error));
                MarkedMappingNode::new_empty(Span::new_blank())
            }
        };
        Self { findings, root }
    }

    /// Returns a reader for the outermost mapping.
    #[must_use]
    pub fn root(&self) -> MappingReader<'_> {
        MappingReader {
            findings: self.findings,
            node: &self.root,
            location: mapping_location(&self.root),
            path: String::new(),
            known_fields: Vec::new(),
        }
    }
}

/// Reads the fields of one mapping. A missing or invalid field is reported and read as a default value, so that the
/// rest of the document is still checked.
#[derive(Debug)]
pub struct MappingReader<'a> {
    findings: &'a FindingList,
    node: &'a MarkedMappingNode,
    location: SourceLocation,
    path: String,
    known_fields: Vec<&'static str>,
}

impl<'a> MappingReader<'a> {
    /// Returns the source location of the mapping.
    #[must_use]
    pub fn location(&self) -> SourceLocation {
        self.location
    }

    /// Returns the source location of a field, or of the mapping if the field is absent.
    #[must_use]
    pub fn field_location(&self, field: &str) -> SourceLocation {
        match self.node.get_node(field) {
            Some(node) => span_location(node.span()),
            None => self.location(),
        }
    }

    /// Reports a fault in a field of this mapping.
    pub fn report(&self, location: SourceLocation, field: &str, expected: impl Into<String>) {
        self.findings
            .report(location, &self.field_path(field), expected);
    }

    /// Returns whether the field is present.
    #[must_use]
    pub fn has(&self, field: &str) -> bool {
        self.node.get_node(field).is_some()
    }

    /// Reads a required string. An empty string is reported like a missing one, so that later checks of the value can
    /// skip empty strings.
    pub fn string(&mut self, field: &'static str) -> Located<String> {
        match self.scalar(field) {
            Some(scalar) if !scalar.as_str().is_empty() => Located {
                value: scalar.as_str().to_string(),
                location: span_location(scalar.span()),
            },
            _ => self.report_missing(field, "a non-empty string"),
        }
    }

    /// Reads an optional string.
    pub fn optional_string(&mut self, field: &'static str) -> Option<Located<String>> {
        self.mark_known(field);
        self.has(field).then(|| self.string(field))
    }

    /// Reads a string, or returns `default` if the field is absent.
    pub fn string_or(&mut self, field: &'static str, default: &str) -> Located<String> {
        self.optional_string(field).unwrap_or_else(|| Located {
            value: default.to_string(),
            location: self.location(),
        })
    }

    /// Reads a required whole number within `range`.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Located<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Some(scalar) = self.scalar(field) else {
            return self.report_missing(field, &expected);
        };
        let location = span_location(scalar.span());
        match scalar.as_str().parse::<u64>() {
            Ok(value) if range.contains(&value) => Located { value, location },
            _ => {
                self.report(location, field, format!("expected {expected}"));
                Located {
                    value: *range.start(),
                    location,
                }
            }
        }
    }

    /// Reads an optional whole number within `range`.
    pub fn optional_number(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<Located<u64>> {
        self.mark_known(field);
        self.has(field).then(|| self.number(field, range))
    }

    /// Reads a whole number within `range`, or returns `default` if the field is absent.
    pub fn number_or(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Located<u64> {
        self.mark_known(field);
        if self.has(field) {
            self.number(field, range)
        } else {
            Located {
                value: default,
                location: self.location(),
            }
        }
    }

    /// Reads `true` or `false`, or returns `default` if the field is absent.
    pub fn bool_or(&mut self, field: &'static str, default: bool) -> Located<bool> {
        let choices = [("true", true), ("false", false)];
        self.choice_or(field, &choices, default)
    }

    /// Reads one of the names in `choices` and returns its value, or `default` if the field is absent.
    pub fn choice_or<T: Copy>(
        &mut self,
        field: &'static str,
        choices: &[(&str, T)],
        default: T,
    ) -> Located<T> {
        self.mark_known(field);
        if !self.has(field) {
            return Located {
                value: default,
                location: self.location(),
            };
        }
        let location = self.field_location(field);
        let text = self.scalar(field).map_or("", |scalar| scalar.as_str());
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return Located {
                value: *value,
                location,
            };
        }
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let expected = format!("expected one of: {}", names.join(", "));
        self.report(location, field, expected);
        Located {
            value: default,
            location,
        }
    }

    /// Reads a list of non-empty strings. An absent field is an empty list.
    pub fn strings(&mut self, field: &'static str) -> Vec<Located<String>> {
        let Some(items) = self.sequence(field) else {
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in items.iter() {
            let location = span_location(item.span());
            match item.as_scalar() {
                Some(scalar) if !scalar.as_str().is_empty() => strings.push(Located {
                    value: scalar.as_str().to_string(),
                    location,
                }),
                _ => self.report(location, field, "expected a list of non-empty strings"),
            }
        }
        strings
    }

    /// Reads a list of mappings. An absent field is an empty list.
    pub fn mappings(&mut self, field: &'static str) -> Vec<MappingReader<'a>> {
        let Some(items) = self.sequence(field) else {
            return Vec::new();
        };
        let mut readers = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match item.as_mapping() {
                Some(node) => readers.push(self.child(&format!("{field}[{index}]"), node)),
                None => self.report(
                    span_location(item.span()),
                    field,
                    "expected a list of mappings",
                ),
            }
        }
        readers
    }

    /// Reads a list of mappings with `read` and reports the unknown fields of each. An absent field is an empty list.
    pub fn records<T>(
        &mut self,
        field: &'static str,
        read: impl Fn(&mut MappingReader<'_>) -> T,
    ) -> Vec<T> {
        let mut records = Vec::new();
        for mut item in self.mappings(field) {
            records.push(read(&mut item));
            item.finish();
        }
        records
    }

    /// Reads an optional mapping.
    pub fn mapping(&mut self, field: &'static str) -> Option<MappingReader<'a>> {
        self.mark_known(field);
        let node = self.node.get_node(field)?;
        let child = node.as_mapping().map(|node| self.child(field, node));
        if child.is_none() {
            self.report(span_location(node.span()), field, "expected a mapping");
        }
        child
    }

    /// Returns a reader for an absent mapping. Its required fields are reported at the location of this mapping.
    #[must_use]
    pub fn absent(&self, field: &str) -> MappingReader<'a> {
        MappingReader {
            findings: self.findings,
            node: empty_mapping(),
            location: self.location,
            path: self.field_path(field),
            known_fields: Vec::new(),
        }
    }

    /// Reports each field that was not read as an unknown field.
    pub fn finish(self) {
        for name in self.node.keys() {
            if !self.known_fields.contains(&name.as_str()) {
                let expected = format!(
                    "unknown field; expected one of: {}",
                    self.known_fields.join(", ")
                );
                self.report(span_location(name.span()), name.as_str(), expected);
            }
        }
    }

    fn scalar(&mut self, field: &'static str) -> Option<&'a MarkedScalarNode> {
        self.mark_known(field);
        self.node.get_node(field)?.as_scalar()
    }

    fn sequence(&mut self, field: &'static str) -> Option<&'a MarkedSequenceNode> {
        self.mark_known(field);
        let node = self.node.get_node(field)?;
        let items = node.as_sequence();
        if items.is_none() {
            self.report(span_location(node.span()), field, "expected a list");
        }
        items
    }

    fn report_missing<T: Default>(&self, field: &str, expected: &str) -> Located<T> {
        let location = self.field_location(field);
        self.report(location, field, format!("expected {expected}"));
        Located {
            value: T::default(),
            location,
        }
    }

    fn child(&self, field: &str, node: &'a MarkedMappingNode) -> MappingReader<'a> {
        MappingReader {
            findings: self.findings,
            node,
            location: mapping_location(node),
            path: self.field_path(field),
            known_fields: Vec::new(),
        }
    }

    fn mark_known(&mut self, field: &'static str) {
        if !self.known_fields.contains(&field) {
            self.known_fields.push(field);
        }
    }

    fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_string()
        } else {
            format!("{}.{field}", self.path)
        }
    }
}

fn empty_mapping() -> &'static MarkedMappingNode {
    static EMPTY: OnceLock<MarkedMappingNode> = OnceLock::new();
    EMPTY.get_or_init(|| MarkedMappingNode::new_empty(Span::new_blank()))
}

/// Returns the location of a mapping. The span of a block mapping, which has no braces, begins after its first key, so
/// the location of that key is used.
fn mapping_location(node: &MarkedMappingNode) -> SourceLocation {
    let begin = span_location(node.span());
    let first_key = node.keys().next().map(|key| span_location(key.span()));
    first_key.map_or(begin, |location| location.min(begin))
}

fn span_location(span: &Span) -> SourceLocation {
    span.start().map(marker_location).unwrap_or_default()
}

fn marker_location(marker: &Marker) -> SourceLocation {
    SourceLocation {
        line: u32::try_from(marker.line()).unwrap_or(u32::MAX),
        column: u32::try_from(marker.column()).unwrap_or(u32::MAX),
    }
}

fn load(text: &str, rejects_duplicates: bool) -> Result<Node, LoadError> {
    let options = LoaderOptions::default().error_on_duplicate_keys(rejects_duplicates);
    marked_yaml::parse_yaml_with_options(0, text, options)
}

/// Formats a parse error without its location, which the finding already contains.
fn load_error_text(error: &LoadError) -> String {
    if let LoadError::TopLevelMustBeMapping(_) = error {
        return "expected a mapping".to_string();
    }
    let SourceLocation { line, column } = load_error_location(error);
    let text = error.to_string();
    let prefix = format!("{line}:{column}: ");
    format!(
        "expected YAML: {}",
        text.strip_prefix(&prefix).unwrap_or(&text)
    )
}

fn load_error_location(error: &LoadError) -> SourceLocation {
    match error {
        LoadError::TopLevelMustBeMapping(marker)
        | LoadError::TopLevelMustBeSequence(marker)
        | LoadError::UnexpectedAnchor(marker)
        | LoadError::MappingKeyMustBeScalar(marker)
        | LoadError::UnexpectedTag(marker)
        | LoadError::ScanError(marker, _) => marker_location(marker),
        LoadError::DuplicateKey(duplicate) => span_location(duplicate.key.span()),
    }
}
