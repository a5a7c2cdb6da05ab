//! Tests of the operator's command line.

mod command_line;
mod commands;
mod submission;
mod support;
