//! Invalid input, limits and the admin interface, over real sockets.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use comfreymux_lib::admin_client::AdminClient;
use comfreymux_lib::admin_client::ApplyResult;
use comfreymux_lib::table::Row;
use comfreymux_lib::table_file::read_csv;
use comfreymux_lib::table_file::write_csv;
use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::complete;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rows;
use rstest::rstest;

const CHAT: &str = "/v1/chat/completions";

fn rig(texts: &[(&str, &str)]) -> Rig {
    let mut rig = Rig::default();
    rig.add_engine("e1", "hala-a", &EngineSettings::default());
    rig.add_daemon("d1", "hala-a", texts);
    rig.await_view("d1", "the daemon", |v| v.daemons.len() == 1);
    rig.apply("d1", "first", &[rows::model("hem"), rows::service("booking")]);
    rig.await_view("d1", "the table", |v| v.table.row("hem").is_some());
    rig
}

#[rstest]
#[case::json("{\"model\":", 400, "bad-json")]
#[case::no_messages("{\"model\":\"hem\"}", 400, "bad-json")]
#[case::model("{\"model\":\"nobody\",\"messages\":[]}", 404, "model_not_found")]
#[case::service("{\"model\":\"booking\",\"messages\":[]}", 404, "model_not_found")]
fn bad_body(#[case] body: &str, #[case] status: u16, #[case] code: &str) {
    let rig = rig(&[]);
    let response = minreq::post(rig.url("d1", CHAT)).with_body(body).send().unwrap();
    assert_eq!(response.status_code, status);
    assert_eq!(response.header("x-request-verdict"), Some("did-not-run"));
    assert!(response.as_str().unwrap().contains(code));
}

#[test]
fn body_limit() {
    let rig = rig(&[("body-kib", "1")]);
    let response = minreq::post(rig.url("d1", CHAT)).with_body(vec![b' '; 2000]).send().unwrap();
    assert_eq!(response.status_code, 413);
}

#[rstest]
#[case::deadline("X-Deadline-Ms", "soon")]
#[case::priority("X-Priority", "900")]
#[case::key("Idempotency-Key", "")]
fn bad_header(#[case] name: &str, #[case] value: &str) {
    let rig = rig(&[]);
    let response = minreq::post(rig.url("d1", CHAT))
        .with_header(name, value)
        .with_body(r#"{"model":"hem","messages":[]}"#)
        .send()
        .unwrap();
    assert_eq!(response.status_code, 400);
    assert!(response.as_str().unwrap().contains(name));
}

#[test]
fn body_cut() {
    // A caller's connection closes in the middle of the body. The request must not run, and the
    // daemon serves the next one.
    let rig = rig(&[]);
    let mut caller = TcpStream::connect(rig.daemons["d1"].addr).unwrap();
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: d\r\nContent-Length: 500\r\n\r\n{{\"model\"");
    caller.write_all(head.as_bytes()).unwrap();
    caller.shutdown(Shutdown::Write).unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).unwrap();
    assert!(answer.is_empty() || answer.contains("400"), "{answer}");
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
    assert_eq!(rig.engines["e1"].audit().served, 1);
}

#[test]
fn deadline_refused() {
    // A cold model cannot be ready in 50 ms. The request is refused at once with a Retry-After
    // header instead of waiting for a deadline that cannot be met.
    let rig = rig(&[]);
    let response = minreq::post(rig.url("d1", CHAT))
        .with_header("X-Deadline-Ms", "50")
        .with_body(r#"{"model":"hem","messages":[]}"#)
        .send()
        .unwrap();
    assert_eq!(response.status_code, 503);
    assert_eq!(response.header("x-request-verdict"), Some("did-not-run"));
    assert!(response.header("retry-after").is_some());
    assert!(response.as_str().unwrap().contains("deadline-too-near"));
}

#[test]
fn caller_limit() {
    // One caller exceeds its limit of concurrent requests; other callers are still served.
    let rig = rig(&[("caller-requests", "1")]);
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
    let node = rig.daemons["d1"].node();
    // A request counts until shortly after its answer.
    wait_for("the end of the first request", || node.limits().total() == 0);
    let url = rig.url("d1", CHAT);
    let slow = std::thread::spawn(move || complete(&url, "hem", true, 200));
    wait_for("the stream", || node.limits().total() == 1);
    let (status, body) = complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap();
    assert_eq!(status, 429, "{body}");
    let other = minreq::post(rig.url("d1", CHAT))
        .with_header("X-Caller", "other")
        .with_body(r#"{"model":"hem","messages":[],"max_tokens":1}"#)
        .send()
        .unwrap();
    assert_eq!(other.status_code, 200);
    assert_eq!(slow.join().unwrap().unwrap().0, 200);
}

#[test]
fn operator_edits() {
    // Two operators edit the same version of the table. The second edit to arrive is rejected as a
    // conflict, and an unchanged table is not an edit.
    let rig = rig(&[]);
    let client = AdminClient::new(format!("http://{}", rig.daemons["d1"].addr));
    let table = client.table().unwrap();
    let rows: Vec<Row> = table.iter().map(|v| v.row.clone()).collect();
    assert_eq!(client.apply(&rows, "a", "same").unwrap(), ApplyResult::Unchanged);
    let mut changed = rows.clone();
    changed[1].limit = 9;
    let stale = table.diff(&changed);
    assert!(matches!(client.apply(&changed, "a", "one").unwrap(), ApplyResult::Accepted(_)));
    let edit = comfreymux_lib::table::Edit { id: "two".into(), author: "b".into(), changes: stale };
    assert_eq!(client.send_edit(&edit).unwrap(), ApplyResult::Conflict("hem".into()));
    assert_eq!(client.get("history").unwrap()["edits"].as_array().unwrap().len(), 3);
    assert_eq!(client.get("status").unwrap()["log_up"], true);
}

#[test]
fn explained_request() {
    let rig = rig(&[]);
    let response = minreq::post(rig.url("d1", CHAT))
        .with_body(r#"{"model":"hem","messages":[],"max_tokens":1}"#)
        .send()
        .unwrap();
    let id = response.header("x-request-id").unwrap();
    let client = AdminClient::new(format!("http://{}", rig.daemons["d1"].addr));
    let lines = client.get(&format!("explain?id={id}")).unwrap();
    let actions: Vec<&str> =
        lines["lines"].as_array().unwrap().iter().map(|l| l["action"].as_str().unwrap()).collect();
    assert_eq!(actions, ["wait", "route", "done"]);
    let model = client.get("explain?id=hem").unwrap().to_string();
    assert!(model.contains("place") && model.contains("ready"), "{model}");
}

#[test]
fn metrics_shown() {
    let rig = rig(&[]);
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", true, 3).unwrap().0, 200);
    let text = minreq::get(rig.url("d1", "/metrics")).send().unwrap();
    let text = text.as_str().unwrap();
    for name in ["cold_start", "requests", "first_token", "tokens", "control_bytes"] {
        assert!(text.contains(name), "{name} in {text}");
    }
}

#[test]
fn models_listed() {
    let rig = rig(&[]);
    let list = minreq::get(rig.url("d1", "/v1/models")).send().unwrap();
    let value: serde_json::Value = serde_json::from_slice(list.as_bytes()).unwrap();
    assert_eq!(value["data"].as_array().unwrap().len(), 1);
    assert_eq!(value["data"][0]["id"], "hem");
}

#[test]
fn stop_uncut() {
    // A daemon stops gracefully while a stream is in progress. The stream is completed first.
    let mut rig = rig(&[]);
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
    let url = rig.url("d1", CHAT);
    let stream = std::thread::spawn(move || complete(&url, "hem", true, 100));
    wait_for("the stream", || rig.engines["e1"].audit().served == 2);
    assert!(rig.daemons.remove("d1").unwrap().stop());
    let (status, body) = stream.join().unwrap().unwrap();
    assert_eq!(status, 200);
    assert!(body.contains("[DONE]"));
}

#[test]
fn table_round() {
    let rows = [rows::model("hem"), rows::service("booking")];
    assert_eq!(read_csv(&write_csv(&rows)).unwrap(), rows);
}

#[test]
fn table_faults() {
    // A table file has five faults. The error lists all of them with line and column.
    let text = "name,kind,base,weight,limit,replicas,memory_mib,load_mib,priority,idle_price,repeat\n\
                a b,model,,1,1,1,1,1,1,1,yes\n\
                c,adapter,,0,1,1,1,1,1,1,yes\n\
                d,model,,1,1,1,1,1,1,-3,maybe\n";
    let error = read_csv(text).unwrap_err();
    let found: Vec<(u64, &str)> = error.faults.iter().map(|f| (f.line, f.column)).collect();
    assert_eq!(found, [(2, "name"), (3, "weight"), (3, "base"), (4, "idle_price"), (4, "repeat")]);
}

#[test]
fn headers_large() {
    // A caller sends a header of 1 MiB. It is refused or disconnected, and the next caller is
    // served.
    let rig = rig(&[]);
    let mut caller = TcpStream::connect(rig.daemons["d1"].addr).unwrap();
    let head = format!("GET /healthz HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(1 << 20));
    // The daemon may close the connection before the head is written.
    let _cut = caller.write_all(head.as_bytes());
    let mut answer = Vec::new();
    let _reset = caller.shutdown(Shutdown::Write);
    let _reset = caller.read_to_end(&mut answer);
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
}

#[test]
fn reader_stopped() {
    // A caller requests a stream of 10^9 tokens and stops reading. The request ends once nothing
    // could be sent for the send timeout, though the connection stays open. Other callers are
    // served meanwhile.
    let mut rig = Rig::default();
    let fast = EngineSettings { gap: Duration::ZERO, ..EngineSettings::default() };
    rig.add_engine("e1", "hala-a", &fast);
    rig.add_daemon("d1", "hala-a", &[]);
    rig.await_view("d1", "the daemon", |v| v.daemons.len() == 1);
    rig.apply("d1", "first", &[rows::model("hem")]);
    let body = r#"{"model":"hem","stream":true,"max_tokens":1000000000,"messages":[]}"#;
    let mut caller = TcpStream::connect(rig.daemons["d1"].addr).unwrap();
    let length = body.len();
    let head = format!("POST {CHAT} HTTP/1.1\r\nHost: d\r\nContent-Length: {length}\r\n\r\n{body}");
    caller.write_all(head.as_bytes()).unwrap();
    let mut first = [0; 16];
    caller.read_exact(&mut first).unwrap();
    assert_eq!(complete(&rig.url("d1", CHAT), "hem", false, 1).unwrap().0, 200);
    let node = rig.daemons["d1"].node();
    wait_for("the end of the stream", || node.limits().total() == 0);
    drop(caller);
}
