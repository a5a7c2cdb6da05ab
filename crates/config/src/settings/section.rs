//! Reads the JSON objects of a settings file, with the line of each value.

use std::collections::HashSet;

use jsonc_parser::{
    ast::{Array, Object, Value},
    common::{Range, Ranged},
};

use super::error::SettingsFault;
use crate::{jsonc::LineIndex, shorten::shorten};

/// A value and its line in the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Line of the value, counted from 1.
    pub line: usize,
}

/// State shared by the readers of all sections of one file: its text, its line
/// index and the errors found so far.
pub(super) struct ReadContext<'a> {
    text: &'a str,
    lines: LineIndex,
    faults: Vec<SettingsFault>,
}

impl<'a> ReadContext<'a> {
    pub(super) fn new(text: &'a str) -> Self {
        Self { text, lines: LineIndex::from(text), faults: Vec::new() }
    }

    pub(super) fn into_faults(self) -> Vec<SettingsFault> {
        self.faults
    }

    fn line(&self, range: Range) -> usize {
        self.lines.line(range.start)
    }

    /// Reports a value that is not of the expected type.
    fn push_type_error(&mut self, range: Range, key: &str, expected: &str) {
        let line = self.line(range);
        let found = excerpt(self.text, range);
        let message = format!("{found} is not {expected}");
        self.faults.push(SettingsFault::new(line, key, message));
    }
}

/// Reads the members of one object by key and remembers which keys are known.
pub(super) struct SectionReader<'a> {
    object: Option<&'a Object<'a>>,
    prefix: String,
    known_keys: HashSet<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader for the top-level value, which must be an object.
    pub(super) fn root(value: Option<&'a Value<'a>>, context: &mut ReadContext<'_>) -> Self {
        let mut reader = Self { object: None, prefix: String::new(), known_keys: HashSet::new() };
        match value {
            Some(Value::Object(object)) => reader.object = Some(object),
            Some(other) => context.push_type_error(other.range(), "", "an object"),
            None => context.faults.push(SettingsFault::new(
                1,
                "",
                "the file contains no value, expected an object",
            )),
        }
        reader
    }

    /// Returns a reader for a nested object; an absent one is read as empty.
    pub(super) fn section(&mut self, key: &'static str, context: &mut ReadContext<'_>) -> Self {
        let prefix = format!("{}{key}.", self.prefix);
        let mut reader = Self { object: None, prefix, known_keys: HashSet::new() };
        match self.lookup(key) {
            Some(Value::Object(object)) => reader.object = Some(object),
            Some(other) => context.push_type_error(other.range(), &self.full_key(key), "an object"),
            None => {}
        }
        reader
    }

    /// Reads a string that may be absent.
    pub(super) fn text(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<String>> {
        let value = self.lookup(key)?;
        let found = read_text(value, context);
        if found.is_none() {
            context.push_type_error(value.range(), &self.full_key(key), "a string");
        }
        found
    }

    /// Reads a string and reports it if it is absent.
    pub(super) fn required_text(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<String>> {
        let object = self.object?;
        let found = self.text(key, context);
        if object.get(key).is_none() {
            let line = context.line(object.range);
            context.faults.push(SettingsFault::new(line, &self.full_key(key), "is missing"));
        }
        found
    }

    /// Reads a whole number of at least 0 that may be absent.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<u64>> {
        let value = self.lookup(key)?;
        let parsed = value.as_number_lit().and_then(|number| number.value.parse().ok());
        if parsed.is_none() {
            context.push_type_error(
                value.range(),
                &self.full_key(key),
                "a whole number of at least 0",
            );
        }
        Some(Located { value: parsed?, line: context.line(value.range()) })
    }

    /// Reads a list of strings; an absent one is read as empty.
    pub(super) fn texts(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Vec<Located<String>> {
        match self.lookup(key) {
            Some(Value::Array(array)) => read_texts(array, &self.full_key(key), context),
            Some(other) => {
                context.push_type_error(other.range(), &self.full_key(key), "a list of strings");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Reports every key that was never looked up and every duplicate key.
    pub(super) fn finish(self, context: &mut ReadContext<'_>) {
        let Some(object) = self.object else { return };
        let mut seen = HashSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let line = context.line(property.range);
            let full_key = format!("{}{name}", self.prefix);
            if !self.known_keys.contains(name) {
                let found = excerpt(context.text, property.value.range());
                let message = format!("unknown key with value {found}");
                context.faults.push(SettingsFault::new(line, &full_key, message));
                continue;
            }
            if seen.insert(name) {
                continue;
            }
            let found = excerpt(context.text, property.value.range());
            let message = format!("duplicate key with value {found}");
            context.faults.push(SettingsFault::new(line, &full_key, message));
        }
    }

    /// Marks `key` as known and returns its value, if present.
    fn lookup(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.known_keys.insert(key);
        Some(&self.object?.get(key)?.value)
    }

    fn full_key(&self, key: &str) -> String {
        format!("{}{key}", self.prefix)
    }
}

fn read_text(value: &Value<'_>, context: &ReadContext<'_>) -> Option<Located<String>> {
    let literal = value.as_string_lit()?;
    Some(Located { value: literal.value.clone().into_owned(), line: context.line(literal.range) })
}

fn read_texts(array: &Array<'_>, key: &str, context: &mut ReadContext<'_>) -> Vec<Located<String>> {
    let mut texts = Vec::with_capacity(array.elements.len());
    for element in &array.elements {
        match read_text(element, context) {
            Some(text) => texts.push(text),
            None => context.push_type_error(element.range(), key, "a string"),
        }
    }
    texts
}

fn excerpt(text: &str, range: Range) -> String {
    shorten(text.get(range.start..range.end).unwrap_or_default())
}
