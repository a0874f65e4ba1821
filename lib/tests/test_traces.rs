//! Replays recorded traces and checks the outcomes that they expect.

use std::path::Path;
use std::path::PathBuf;

use comfreymux_lib::trace;
use comfreymux_lib::trace::ReplayError;

fn traces() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../traces")
}

#[test]
fn recorded_traces() {
    // The current code makes the same decisions as the daemons did when the traces were recorded.
    let mut count = 0;
    for file in std::fs::read_dir(traces()).unwrap() {
        let path = file.unwrap().path();
        if path.extension().is_some_and(|e| e == "jsonl") {
            let replayed = trace::replay(&path).unwrap_or_else(|e| panic!("{path:?}: {e}"));
            assert!(replayed.met > 0, "{path:?} expects no outcome");
            count += 1;
        }
    }
    assert!(count >= 2, "found only {count} traces");
}

#[test]
fn unmet_outcome() {
    let path = std::env::temp_dir().join(format!("comfreymux-unmet-{}.jsonl", std::process::id()));
    let lines = [
        r#"{"daemon":{"id":"d1","incarnation":1,"centre":"a"}}"#,
        r#"{"event":{"at":{"secs":1,"nanos":0},"event":"Tick"}}"#,
        r#"{"expect":{"what":"lead","least":1,"most":1}}"#,
    ];
    std::fs::write(&path, lines.join("\n")).unwrap();
    let result = trace::replay(&path);
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(result, Err(ReplayError::Unmet { line: 3, found: 0, .. })), "{result:?}");
}
