//! Ways in which servers treat most requests throughout a soak.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use comfreymux_platform_testutils::server_standin::Behaviour;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use crate::callers::CallerRecord;
use crate::world::World;

/// How a request fails at a server whose health checks are good.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It is refused without running.
    Refuse,
    /// It runs and is never answered.
    Hang,
    /// It runs, and its connection closes without a response.
    Lose,
    /// It runs and is answered with status 500.
    Fail,
}

/// Fraction of the requests that fail.
const FAILED_FRACTION: f64 = 0.8;
/// Responses of each server that are scripted at a time, and the interval between looks for servers with fewer.
const SCRIPTED: usize = 2000;
const REFILL_INTERVAL: Duration = Duration::from_millis(200);

impl FromStr for Failure {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "refuse" => Ok(Self::Refuse),
            "hang" => Ok(Self::Hang),
            "lose" => Ok(Self::Lose),
            "fail" => Ok(Self::Fail),
            _ => Err(format!("{text} is none of refuse, hang, lose, fail")),
        }
    }
}

impl Failure {
    fn behaviour(self) -> Behaviour {
        match self {
            Self::Refuse => Behaviour::RefuseUnrun,
            Self::Hang => Behaviour::Hang,
            Self::Lose => Behaviour::LoseAnswer,
            Self::Fail => Behaviour::Fail,
        }
    }

    /// Makes all servers fail most requests in this way until the troubles end.
    pub async fn inject(self, world: Rc<World>, seen: Rc<CallerRecord>, mut rng: ChaCha8Rng) {
        while !seen.faults_over.get() {
            for server in world.servers.borrow().iter() {
                let mut script = server.script.borrow_mut();
                while script.len() < SCRIPTED {
                    let fails = rng.random_bool(FAILED_FRACTION);
                    script.push_back(if fails { self.behaviour() } else { Behaviour::Answer });
                }
            }
            sleep(REFILL_INTERVAL).await;
        }
    }
}
