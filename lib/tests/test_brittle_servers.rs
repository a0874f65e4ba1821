//! Tests that all daemons together send a brittle server no more than it may turn away in a second, whatever its room.

use std::collections::VecDeque;
use std::time::Duration;

use comfreymux_lib::boot_clock::Moment;
use comfreymux_lib::cluster::brittle_servers::BrittleSend;
use comfreymux_lib::cluster::brittle_servers::BrittleServers;
use comfreymux_lib::cluster::server_instance::ServerInstance;
use rstest::rstest;

const STEP: Duration = Duration::from_millis(20);
/// Number of steps in the second over which a server counts.
const SECOND: usize = 50;
const STEPS: usize = 600;
/// Steps until a response, whether the server runs the request or turns it away.
const LATENCY: usize = 3;

fn server() -> ServerInstance {
    ServerInstance::from("s1")
}

fn at(step: usize) -> Moment {
    Duration::from_secs(1000) + STEP * step as u32
}

/// Returns whether a daemon may send one request now.
fn may_send(servers: &BrittleServers, index: usize, daemons: usize, now: Moment) -> bool {
    let mut is_granted = true;
    let is_sender = |_: &ServerInstance, senders| index < senders;
    servers.visit_waits(now, daemons, is_sender, |_, _| is_granted = false);
    is_granted
}

/// Guards against daemons that each stay within the limit, while together they make the server fail. Each daemon always has
/// another request; the server's room changes.
#[rstest]
fn refusals_bounded(
    #[values(1, 6, 25, 83, 400)] daemons: usize,
    #[values(1, 3, 20, 100)] limit: u32,
    #[values(0, 1, 7)] room: usize,
) {
    let fleet: Vec<BrittleServers> = (0..daemons).map(|_| BrittleServers::default()).collect();
    let mut in_flight: VecDeque<(usize, usize, bool, BrittleSend)> = VecDeque::new();
    let mut refusals = Vec::new();
    let mut last_send = 0;
    for step in 0..STEPS {
        let now = at(step);
        let mut refused = 0;
        while in_flight.front().is_some_and(|(due, ..)| *due <= step) {
            let Some((_, index, is_refused, send)) = in_flight.pop_front() else { break };
            fleet[index].record_response(&server(), Some(limit), now);
            if is_refused {
                fleet[index].record_refusal(&server(), now);
            }
            drop(send);
        }
        let room = if step / SECOND % 4 == 3 { room + 2 } else { room };
        for (index, servers) in fleet.iter().enumerate() {
            // Otherwise a daemon without a share forgets the limit after a while and sends one request.
            servers.record_response(&server(), Some(limit), now);
            while may_send(servers, index, daemons, now) {
                let Some(send) = servers.begin_send(&server()) else { break };
                let is_refused =
                    in_flight.iter().filter(|(_, _, refused, _)| !refused).count() >= room;
                refused += usize::from(is_refused);
                last_send = step;
                in_flight.push_back((step + LATENCY, index, is_refused, send));
            }
        }
        refusals.push(refused);
    }
    let most = refusals.windows(SECOND).map(|w| w.iter().sum::<usize>()).max().unwrap_or(0);
    assert!(most <= limit as usize, "{most} turned away in a second");
    assert!(last_send + 2 * SECOND > STEPS, "no request since step {last_send}");
}

/// Guards against a server that keeps a share for good after it has stopped saying that it is brittle.
#[test]
fn end_heard() {
    let servers = BrittleServers::default();
    servers.record_response(&server(), Some(1), at(0));
    let send = servers.begin_send(&server());
    assert!(!may_send(&servers, 0, 1, at(0)));
    servers.record_response(&server(), None, at(1));
    assert!(may_send(&servers, 0, 1, at(1)));
    drop(send);
    assert_eq!(servers.limit(&server()), None);
}
