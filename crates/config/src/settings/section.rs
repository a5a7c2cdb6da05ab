//! Reads one JSON object of a settings file and keeps the line of each value.

use std::collections::HashSet;

use jsonc_parser::{
    ast::{Array, Object, Value},
    common::{Range, Ranged},
};

use super::error::SettingsFault;
use crate::{jsonc::LineIndex, shorten::shorten};

/// A value and the line it stands on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its line, counted from 1.
    pub line: usize,
}

/// What the sections of one file share: its text, its lines and its faults.
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

    fn refuse(&mut self, range: Range, key: &str, expected: &str) {
        let line = self.line(range);
        let found = excerpt(self.text, range);
        let message = format!("{found} is not {expected}");
        self.faults.push(SettingsFault::new(line, key, message));
    }
}

/// One object of a settings file, read key by key.
pub(super) struct SectionReader<'a> {
    object: Option<&'a Object<'a>>,
    prefix: String,
    known: HashSet<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Starts with the whole file, which must be one object.
    pub(super) fn root(value: Option<&'a Value<'a>>, context: &mut ReadContext<'_>) -> Self {
        let mut reader = Self { object: None, prefix: String::new(), known: HashSet::new() };
        match value {
            Some(Value::Object(object)) => reader.object = Some(object),
            Some(other) => context.refuse(other.range(), "", "an object"),
            None => context.faults.push(SettingsFault::new(1, "", "the file holds no object")),
        }
        reader
    }

    /// Reads a nested object; an absent one is read as empty.
    pub(super) fn section(&mut self, key: &'static str, context: &mut ReadContext<'_>) -> Self {
        let prefix = format!("{}{key}.", self.prefix);
        let mut reader = Self { object: None, prefix, known: HashSet::new() };
        match self.take(key) {
            Some(Value::Object(object)) => reader.object = Some(object),
            Some(other) => context.refuse(other.range(), &self.path(key), "an object"),
            None => {}
        }
        reader
    }

    /// Reads a string.
    pub(super) fn text(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<String>> {
        let value = self.take(key)?;
        let found = read_text(value, context);
        if found.is_none() {
            context.refuse(value.range(), &self.path(key), "a string");
        }
        found
    }

    /// Reads a string that must be there.
    pub(super) fn required_text(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<String>> {
        let object = self.object?;
        let found = self.text(key, context);
        if object.get(key).is_none() {
            let line = context.line(object.range);
            context.faults.push(SettingsFault::new(line, &self.path(key), "is missing"));
        }
        found
    }

    /// Reads a whole number of at least 0.
    pub(super) fn number(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Option<Located<u64>> {
        let value = self.take(key)?;
        let parsed = value.as_number_lit().and_then(|number| number.value.parse().ok());
        if parsed.is_none() {
            context.refuse(value.range(), &self.path(key), "a whole number of at least 0");
        }
        Some(Located { value: parsed?, line: context.line(value.range()) })
    }

    /// Reads a list of strings; an absent one is read as empty.
    pub(super) fn texts(
        &mut self,
        key: &'static str,
        context: &mut ReadContext<'_>,
    ) -> Vec<Located<String>> {
        match self.take(key) {
            Some(Value::Array(array)) => read_texts(array, &self.path(key), context),
            Some(other) => {
                context.refuse(other.range(), &self.path(key), "a list of strings");
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Reports each key that was never asked for and each that stands twice.
    pub(super) fn finish(self, context: &mut ReadContext<'_>) {
        let Some(object) = self.object else { return };
        let mut seen = HashSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let line = context.line(property.range);
            let path = format!("{}{name}", self.prefix);
            if !self.known.contains(name) {
                let found = excerpt(context.text, property.value.range());
                let message = format!("unknown key with value {found}");
                context.faults.push(SettingsFault::new(line, &path, message));
                continue;
            }
            if seen.insert(name) {
                continue;
            }
            let found = excerpt(context.text, property.value.range());
            let message = format!("stands twice, here with value {found}");
            context.faults.push(SettingsFault::new(line, &path, message));
        }
    }

    fn take(&mut self, key: &'static str) -> Option<&'a Value<'a>> {
        self.known.insert(key);
        Some(&self.object?.get(key)?.value)
    }

    fn path(&self, key: &str) -> String {
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
            None => context.refuse(element.range(), key, "a string"),
        }
    }
    texts
}

fn excerpt(text: &str, range: Range) -> String {
    shorten(text.get(range.start..range.end).unwrap_or_default())
}
