//! Checks of the operators' documentation: its commands run, and its tables list
//! every counter and reason.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{self, Command},
};

use carobstep_node::NodeEvent;
use carobstep_wire::{RefusalReason, RetryReason};
use strum::IntoEnumIterator;
use yare::parameterized;

const ROOT: &str = env!("CARGO_MANIFEST_DIR");

/// Address that the pages and their example files use, which each run replaces by
/// one of its own.
const PAGE_ADDRESS: &str = "127.0.0.77";

/// Start of the script that runs a page: traces each command, and on exit prints
/// the state of the background jobs and kills those that still run.
const SCRIPT_PRELUDE: &str = "\
set -x
trap 'set +x; jobs -l >&2; jobs -p > jobs; kill -KILL $(cat jobs) 2> /dev/null || true' EXIT
";

/// Time limit for the commands of one page, in seconds.
const PAGE_TIMEOUT_SECONDS: &str = "300";

/// Reads a file, by its path relative to the root of the repository.
fn read(path: &str) -> String {
    fs::read_to_string(Path::new(ROOT).join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns a page's code blocks that have a language tag, in order.
fn code_blocks(page: &str, tag: &str) -> Vec<String> {
    let mut blocks = Vec::new();
    for block in page.split(&format!("```{tag}\n")).skip(1) {
        let end = block.find("```").expect("the block ends");
        blocks.push(block[..end].to_owned());
    }
    blocks
}

/// Returns a loopback address for this process and page, so that concurrent runs
/// don't collide.
fn loopback_address(page_number: u8) -> String {
    let [.., high, low] = process::id().to_be_bytes();
    format!("127.{}.{high}.{}", 80 + page_number, low.clamp(1, 254))
}

/// Creates a directory with copies of the example files that use another address.
fn stage_examples(name: &str, address: &str) -> PathBuf {
    let dir = env::temp_dir().join(format!("carobstep-pages-{name}-{}", process::id()));
    let examples = dir.join("examples/guide");
    fs::create_dir_all(&examples).expect("a directory for the page");
    for entry in fs::read_dir(Path::new(ROOT).join("examples/guide")).expect("the examples") {
        let path = entry.expect("an example").path();
        let text = fs::read_to_string(&path).expect("an example's text");
        let name = path.file_name().expect("an example's name");
        fs::write(examples.join(name), text.replace(PAGE_ADDRESS, address)).expect("a copy");
    }
    dir
}

#[parameterized(
    guide = { "GUIDE", 0 },
    operations = { "OPERATIONS", 1 },
)]
fn every_command_of_the_page_runs(name: &str, page_number: u8) {
    let address = loopback_address(page_number);
    let dir = stage_examples(name, &address);
    let commands = code_blocks(&read(&format!("docs/{name}.md")), "sh").concat();
    assert!(commands.contains("carobstepd"), "{name} has no commands");
    let script = format!("{SCRIPT_PRELUDE}{commands}").replace(PAGE_ADDRESS, &address);
    fs::write(dir.join("page.sh"), script).expect("the script");
    let bin_dir = Path::new(env!("CARGO_BIN_EXE_carobstepd")).parent().expect("a directory");
    let path = format!("{}:{}", bin_dir.display(), env::var("PATH").unwrap_or_default());
    let output = Command::new("timeout")
        .args(["-k", "10", PAGE_TIMEOUT_SECONDS, "sh", "-e", "page.sh"])
        .env("PATH", path)
        .current_dir(&dir)
        .output()
        .expect("sh runs");
    assert!(
        output.status.success(),
        "{name} ended with {} in {}\n{}\n{}",
        output.status,
        dir.display(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    fs::remove_dir_all(&dir).expect("the directory can be removed");
}

/// Commands that build or test the whole workspace are in `bash` blocks, which
/// this file doesn't run. CI must run them.
#[test]
fn every_long_command_of_the_pages_is_run_by_ci() {
    let script = read(".ci/run");
    let script: Vec<&str> = script.lines().map(str::trim).collect();
    for name in ["GUIDE", "OPERATIONS"] {
        for line in code_blocks(&read(&format!("docs/{name}.md")), "bash").concat().lines() {
            assert!(script.contains(&line), "{name}: {line:?} is not in .ci/run");
        }
    }
}

/// Checks that a page has a table row for each variant of an enum.
macro_rules! assert_rows {
    ($page:expr, $values:ty, $prefix:literal) => {
        for value in <$values>::iter() {
            let row = format!(concat!("| `", $prefix, "{}` | "), value);
            assert!($page.contains(&row), "docs/OPERATIONS.md lacks the row {row:?}");
        }
    };
}

#[test]
fn every_counter_and_reason_has_a_row() {
    let page = read("docs/OPERATIONS.md");
    assert_rows!(page, NodeEvent, "");
    assert_rows!(page, RefusalReason, "refused.");
    assert_rows!(page, RetryReason, "retried.");
}
