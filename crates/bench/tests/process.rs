//! Child processes exit on signals, and are killed when their group is dropped.

use std::{env, path::Path, time::Duration};

use carobstep_bench::{BenchErrorKind, ProcessGroup, ProcessSignal};

const SHELL_DIR: &str = "/bin";

fn group() -> ProcessGroup {
    ProcessGroup::new(Path::new(SHELL_DIR), &env::temp_dir())
}

fn script(text: &str) -> Vec<String> {
    vec!["-c".to_owned(), text.to_owned()]
}

#[tokio::test]
async fn reads_the_ready_line_and_stops_on_a_signal() {
    let mut group = group();
    let args = script("echo other; echo 'ready {\"port\":7}'; exec sleep 60");
    let (key, ready) = group.spawn("bench-test-signal", "sh", &args).await.unwrap();
    assert_eq!(ready["port"], 7);
    assert!(group.is_running(key));
    group.signal(key, ProcessSignal::Terminate).unwrap();
    let status = group.wait(key, Duration::from_secs(30)).await.unwrap();
    assert!(!status.success());
    assert!(group.signal(key, ProcessSignal::Kill).is_err());
}

#[tokio::test]
async fn reports_a_program_that_exits_before_it_is_ready() {
    let error = group().spawn("bench-test-exit", "sh", &script("exit 3")).await.unwrap_err();
    assert_eq!(error.kind(), BenchErrorKind::Process);
}

#[tokio::test]
async fn kills_a_frozen_child_on_drop() {
    let mut group = group();
    let args = script("echo 'ready {}'; exec sleep 60");
    let (key, _) = group.spawn("bench-test-drop", "sh", &args).await.unwrap();
    let pid = group.pid(key);
    group.signal(key, ProcessSignal::Freeze).unwrap();
    drop(group);
    assert!(!Path::new(&format!("/proc/{pid}")).exists());
}
