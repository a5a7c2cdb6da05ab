//! Shortens excerpts of the input that are quoted in error messages.

/// Maximum length of a quoted excerpt, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// Returns the first line of `text`, truncated to `MAX_QUOTED_CHARS` characters,
/// with `...` appended if anything was left out.
pub(crate) fn shorten(text: &str) -> String {
    let first_line = text.lines().next().unwrap_or_default();
    let mut short: String = first_line.chars().take(MAX_QUOTED_CHARS).collect();
    if short.len() < text.len() {
        short.push_str("...");
    }
    short
}
