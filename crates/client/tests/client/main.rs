//! Tests of the operator's command-line client.

mod command_line;
mod commands;
mod edges;
mod pages;
mod submission;
mod support;
