//! Parses JSON extended with comments and trailing commas, and nothing else.

use std::{collections::HashSet, fmt};

use jsonc_parser::{
    CollectOptions, ParseOptions, ast, errors::ParseError, parse_to_ast, parse_to_serde_value,
};
use serde_json::Value;

const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A syntax error in JSON with comments, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsoncError {
    line: usize,
    column: usize,
    message: String,
}

impl JsoncError {
    /// Returns the line of the error, counted from 1.
    #[must_use]
    pub const fn line(&self) -> usize {
        self.line
    }

    /// Returns the error message without its position.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for JsoncError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {} column {}: {}", self.line, self.column, self.message)
    }
}

impl std::error::Error for JsoncError {}

impl From<ParseError> for JsoncError {
    fn from(error: ParseError) -> Self {
        Self {
            line: error.line_display(),
            column: error.column_display(),
            message: error.kind().to_string(),
        }
    }
}

/// Parses JSON with comments into a plain JSON value.
///
/// # Errors
///
/// Fails if the text is malformed or an object contains the same member twice.
/// The parser would otherwise silently drop the first of the two.
pub fn parse_jsonc(text: &str) -> Result<Value, JsoncError> {
    if let Some(tree) = parse_tree(text)? {
        reject_duplicates(&tree, text)?;
    }
    Ok(parse_to_serde_value(text, &PARSE_OPTIONS)?)
}

fn reject_duplicates(tree: &ast::Value<'_>, text: &str) -> Result<(), JsoncError> {
    match tree {
        ast::Value::Object(object) => {
            let mut seen = HashSet::with_capacity(object.properties.len());
            for property in &object.properties {
                if !seen.insert(property.name.as_str()) {
                    return Err(duplicate_error(property, text));
                }
                reject_duplicates(&property.value, text)?;
            }
        }
        ast::Value::Array(array) => {
            for element in &array.elements {
                reject_duplicates(element, text)?;
            }
        }
        _ => {}
    }
    Ok(())
}

fn duplicate_error(property: &ast::ObjectProp<'_>, text: &str) -> JsoncError {
    let start = property.range.start;
    let line_start = text[..start].rfind('\n').map_or(0, |newline| newline + 1);
    JsoncError {
        line: LineIndex::from(text).line(start),
        column: text[line_start..start].chars().count() + 1,
        message: format!("duplicate member {:?}", property.name.as_str()),
    }
}

/// Parses JSON with comments into a syntax tree that holds the position of each
/// value. Returns `None` if the text contains no value.
pub(crate) fn parse_tree(text: &str) -> Result<Option<ast::Value<'_>>, JsoncError> {
    let result = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS)?;
    Ok(result.value)
}

/// Converts byte offsets in a text into line numbers.
#[derive(Clone, Debug)]
pub(crate) struct LineIndex {
    line_starts: Vec<usize>,
}

impl LineIndex {
    /// Returns the line that contains a byte offset, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }
}

impl From<&str> for LineIndex {
    fn from(text: &str) -> Self {
        let mut line_starts = vec![0];
        for (offset, _) in text.match_indices('\n') {
            line_starts.push(offset + 1);
        }
        Self { line_starts }
    }
}
