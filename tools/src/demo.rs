//! The demo: two daemons on real sockets in front of embedded stand-ins.

use std::io;
use std::io::Write;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use comfreymux_lib::event::EditAnswer;
use comfreymux_lib::logging;
use comfreymux_lib::node::ControlInput;
use comfreymux_lib::table::Edit;
use comfreymux_lib::table::Row;

use comfreymux_testutils::engine_settings::EngineSettings;
use comfreymux_testutils::rig::Rig;
use comfreymux_testutils::rig::complete;
use comfreymux_testutils::rig::wait_for;
use comfreymux_testutils::rig::words;
use comfreymux_testutils::rows;
use comfreymux_testutils::service_standin::ServiceFaults;

const CHAT: &str = "/v1/chat/completions";
/// Number of callers in the burst.
const BURST: usize = 24;
/// Tokens in each response of the burst.
const TOKENS: u64 = 20;
/// Names of the demo's daemons.
const DAEMONS: [&str; 2] = ["entry-1", "entry-2"];

struct Demo<'a> {
    out: &'a mut dyn Write,
    rig: Rig,
    broken: u32,
}

/// Runs the demo; returns the number of violated guarantees.
///
/// # Errors
///
/// Writing to `out` failed.
pub fn run(out: &mut dyn Write) -> io::Result<u32> {
    let rig = Rig::new(logging::to_nowhere());
    let mut demo = Demo { out, rig, broken: 0 };
    demo.start()?;
    demo.burst()?;
    demo.booking()?;
    demo.race()?;
    demo.stop()?;
    if demo.broken == 0 {
        writeln!(demo.out, "all promises held")?;
    } else {
        writeln!(demo.out, "{} promises broke", demo.broken)?;
    }
    Ok(demo.broken)
}

impl Demo<'_> {
    fn check(&mut self, holds: bool, promise: &str) -> io::Result<()> {
        self.broken += u32::from(!holds);
        writeln!(self.out, "  [{}] {promise}", if holds { "held" } else { "BROKE" })
    }

    fn start(&mut self) -> io::Result<()> {
        let rig = &mut self.rig;
        rig.add_engine("gpu-1", "makati-a", &EngineSettings::default());
        rig.add_engine("gpu-2", "pasig-b", &EngineSettings::default());
        rig.add_service("app-1", "makati-a", "booking");
        rig.add_daemon(DAEMONS[0], "makati-a", &[]);
        rig.add_daemon(DAEMONS[1], "pasig-b", &[]);
        for daemon in DAEMONS {
            rig.await_view(daemon, "the daemons", |v| v.daemons.len() == DAEMONS.len());
        }
        rig.apply(DAEMONS[0], "demo-1", &[rows::model("hem"), rows::service("booking")]);
        for daemon in DAEMONS {
            rig.await_view(daemon, "the table", |v| {
                v.table.row("hem").is_some() && !v.replicas_of("booking").is_empty()
            });
        }
        writeln!(
            self.out,
            "two daemons in two data centres, two engines, one booking service; a table of two rows"
        )
    }

    fn burst(&mut self) -> io::Result<()> {
        writeln!(self.out, "a burst of {BURST} callers on the cold model `hem`, at both daemons")?;
        let started_at = Instant::now();
        let callers: Vec<_> = (0..BURST)
            .map(|i| {
                let url = self.rig.url(DAEMONS[i % DAEMONS.len()], CHAT);
                thread::spawn(move || {
                    let answer = complete(&url, "hem", true, TOKENS);
                    (started_at.elapsed(), answer)
                })
            })
            .collect();
        let mut times = Vec::new();
        let mut whole = 0;
        for caller in callers {
            let Ok((time, Ok((200, body)))) = caller.join() else {
                continue;
            };
            let (tokens, done) = words(&body);
            whole += usize::from(done && tokens.len() as u64 == TOKENS);
            times.push(time);
        }
        times.sort();
        let last = times.last().copied().unwrap_or_default();
        writeln!(self.out, "  whole answers: {whole}, the last after {:.2}s", last.as_secs_f64())?;
        let loads: u64 = self.rig.engines.values().map(|e| e.audit().loads).sum();
        self.check(whole == BURST, "every caller got the whole answer")?;
        self.check(loads == 1, "the table's one replica was loaded once")
    }

    fn booking(&mut self) -> io::Result<()> {
        writeln!(self.out, "one booking sent at the same moment through both daemons")?;
        self.rig.services["app-1"].set_faults(ServiceFaults { slow_ms: 200, ..Default::default() });
        let callers: Vec<_> = DAEMONS
            .iter()
            .map(|daemon| {
                let request = minreq::post(self.rig.url(daemon, "/services/booking/confirm"))
                    .with_header("Idempotency-Key", "fitting-42")
                    .with_body("fitting 42")
                    .with_timeout(20);
                thread::spawn(move || request.send().map(|r| r.status_code))
            })
            .collect();
        let answered =
            callers.into_iter().map(|c| matches!(c.join(), Ok(Ok(200)))).filter(|ok| *ok).count();
        let runs = self.rig.services["app-1"].runs().get("fitting 42").copied().unwrap_or(0);
        writeln!(self.out, "  answered: {answered}, ran: {runs}")?;
        self.check(runs == 1, "the booking ran once")?;
        self.check(answered == DAEMONS.len(), "both senders got its answer")
    }

    fn race(&mut self) -> io::Result<()> {
        writeln!(self.out, "two operators edit one row through two daemons at once")?;
        let base = |daemon: &str| {
            let view = self.rig.daemons[daemon].node().view.load_full();
            view.table.versioned_row("hem").cloned()
        };
        let edits: Vec<_> = DAEMONS
            .iter()
            .filter_map(|daemon| {
                let seen = base(daemon)?;
                let row = Row { limit: seen.row.limit + 1, ..seen.row };
                let change = comfreymux_lib::table::RowChange {
                    name: row.name.clone(),
                    base: seen.version,
                    row: Some(row),
                };
                let id = format!("race-{daemon}").into();
                Some(Edit { id, author: (*daemon).into(), changes: vec![change] })
            })
            .collect();
        let started_at = Instant::now();
        let answers: Vec<_> = DAEMONS
            .iter()
            .zip(edits)
            .map(|(daemon, edit)| {
                let (sender, receiver) = flume::bounded(1);
                self.rig.daemons[*daemon].node().send(ControlInput::Edit(edit, sender));
                receiver
            })
            .collect();
        let answers: Vec<_> =
            answers.iter().map(|r| r.recv_timeout(Duration::from_secs(5)).ok()).collect();
        let accepted =
            answers.iter().flatten().filter(|a| matches!(a, EditAnswer::Accepted(_))).count();
        for daemon in DAEMONS {
            self.rig.await_view(daemon, "the edit", |v| {
                v.table.row("hem").is_some_and(|r| r.limit == rows::model("hem").limit + 1)
            });
        }
        let time = started_at.elapsed().as_secs_f64();
        writeln!(self.out, "  accepted: {accepted}, in force at both after {time:.2}s")?;
        self.check(accepted == 1, "one edit was accepted, the other told of the conflict")
    }

    fn stop(&mut self) -> io::Result<()> {
        writeln!(self.out, "a planned stop of one daemon while it streams")?;
        let url = self.rig.url(DAEMONS[0], CHAT);
        let caller = thread::spawn(move || complete(&url, "hem", true, 100));
        let node = std::sync::Arc::clone(self.rig.daemons[DAEMONS[0]].node());
        wait_for("the stream's start", || node.limits().total() > 0);
        let uncut =
            self.rig.daemons.remove(DAEMONS[0]).is_some_and(comfreymux_lib::daemon::Daemon::stop);
        let whole = match caller.join() {
            Ok(Ok((200, body))) => words(&body).1,
            _ => false,
        };
        self.check(uncut && whole, "nothing in progress was cut")
    }
}
