//! Streams that fail or are abandoned, over real sockets.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use comfreymux_testutils::engine_settings::EngineFaults;
use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::complete;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rig::words;
use comfreymux_testutils::rows;
use rstest::rstest;

const CHAT: &str = "/v1/chat/completions";
const TOKENS: u64 = 12;

/// Starts one daemon and one engine with a loaded model.
fn rig(repeat: bool) -> Rig {
    let mut rig = Rig::default();
    rig.add_engine("e1", "hala-a", &EngineSettings::default());
    rig.add_daemon("d1", "hala-a", &[("idle-timeout", "1s")]);
    rig.await_view("d1", "the daemon", |v| v.daemons.len() == 1);
    rig.apply("d1", "first", &[comfreymux_lib::table::Row { repeat, ..rows::model("grant") }]);
    rig.await_view("d1", "the table", |v| v.table.row("grant").is_some());
    let (status, _) = complete(&rig.url("d1", CHAT), "grant", true, 1).unwrap();
    assert_eq!(status, 200);
    rig
}

fn fault(kind: &str, after: u64) -> EngineFaults {
    let mut faults = EngineFaults { after, ..EngineFaults::default() };
    match kind {
        "stall" => faults.stall = 1,
        "cut" => faults.cut = 1,
        "error" => faults.error = 1,
        "crossed" => faults.crossed = 1,
        "silent" => faults.silent = 1,
        _ => unreachable!("unknown kind of fault: {kind}"),
    }
    faults
}

#[rstest]
#[case::stalled_first("stall", 0)]
#[case::stalled_midway("stall", 5)]
#[case::cut_first("cut", 0)]
#[case::cut_midway("cut", 5)]
#[case::cut_unmarked("cut", TOKENS)]
#[case::error_first("error", 0)]
#[case::error_midway("error", 5)]
#[case::crossed("crossed", 0)]
#[case::silent("silent", 0)]
fn stream_resumed(#[case] kind: &str, #[case] after: u64) {
    // The engine's stream fails before the first token, after some tokens or before the end marker.
    // The daemon resumes it on a new connection, and the caller gets every token once.
    let rig = rig(true);
    rig.engines["e1"].set_faults(fault(kind, after));
    let (status, body) = complete(&rig.url("d1", CHAT), "grant", true, TOKENS).unwrap();
    assert_eq!(status, 200, "{body}");
    let (words, done) = words(&body);
    let expected: Vec<String> = (0..TOKENS).map(|i| format!("t{i}")).collect();
    assert_eq!(words, expected);
    assert!(done);
}

#[rstest]
#[case::stalled("stall", "may-have-run")]
#[case::cut("cut", "may-have-run")]
#[case::error("error", "engine overloaded")]
fn stream_named(#[case] kind: &str, #[case] named: &str) {
    // A stream that may not be repeated fails after five tokens. The caller gets these five and an
    // error event with the cause, but no end marker.
    let rig = rig(false);
    rig.engines["e1"].set_faults(fault(kind, 5));
    let (status, body) = complete(&rig.url("d1", CHAT), "grant", true, TOKENS).unwrap();
    assert_eq!(status, 200);
    let (words, done) = words(&body);
    assert_eq!(words.len(), 5);
    assert!(!done);
    assert!(body.contains("\"error\"") && body.contains(named), "{body}");
}

#[test]
fn error_unstarted() {
    // The engine accepts a request and streams only an error object. Since no token was sent, the
    // caller gets an error status instead of an empty answer.
    let rig = rig(false);
    rig.engines["e1"].set_faults(fault("error", 0));
    let (status, body) = complete(&rig.url("d1", CHAT), "grant", true, TOKENS).unwrap();
    assert_eq!(status, 502);
    assert!(body.contains("may-have-run") && body.contains("engine overloaded"), "{body}");
}

#[test]
fn caller_gone() {
    // A caller disconnects in the middle of a long stream. The daemon and the engine end the
    // request.
    let rig = rig(true);
    let body = r#"{"model":"grant","stream":true,"max_tokens":100000,"messages":[]}"#;
    let mut caller = TcpStream::connect(rig.daemons["d1"].addr).unwrap();
    let head =
        format!("POST {CHAT} HTTP/1.1\r\nHost: d\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    caller.write_all(head.as_bytes()).unwrap();
    let mut some = [0; 200];
    caller.read_exact(&mut some).unwrap();
    drop(caller);
    let node = rig.daemons["d1"].node();
    wait_for("the end of the request at the daemon", || node.limits().total() == 0);
    wait_for("an idle engine", || rig.engines["e1"].report().models[0].active == 0);
}

#[test]
fn silent_once() {
    // One connection to an engine hangs while new ones work. The daemon must not stop using the
    // engine: it serves the next requests.
    let rig = rig(true);
    rig.engines["e1"].set_faults(fault("silent", 0));
    for _ in 0..3 {
        let (status, _) = complete(&rig.url("d1", CHAT), "grant", true, 2).unwrap();
        assert_eq!(status, 200);
    }
}
