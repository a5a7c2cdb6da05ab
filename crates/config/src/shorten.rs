//! Shortens pieces of the input that messages quote.

/// Longest piece that a message quotes, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// The start of the first line; dots follow it when it is not the whole.
pub(crate) fn shorten(whole: &str) -> String {
    let first_line = whole.lines().next().unwrap_or_default();
    let mut short: String = first_line.chars().take(MAX_QUOTED_CHARS).collect();
    if short.len() < whole.len() {
        short.push_str("...");
    }
    short
}
