//! One daemon's control in virtual time.

use std::time::Duration;

use comfreymux_lib::control::Controller;
use comfreymux_lib::demand::WaitingRequests;
use comfreymux_lib::ids::CentreId;
use comfreymux_lib::ids::Incarnation;

/// One daemon's control.
#[derive(Debug)]
pub struct FakeDaemon {
    /// Its data centre.
    pub centre: CentreId,
    /// Its start count.
    pub incarnation: Incarnation,
    /// Its state machine; none while it is dead.
    pub control: Option<Controller>,
    /// Until when it is paused.
    pub paused: Duration,
    /// Whether it is cut off from the platform.
    pub cut: bool,
    /// Rate of its clock; 1 is true.
    pub rate: f64,
    /// Requests that wait at it.
    pub waiting: Vec<WaitingRequests>,
    pub(crate) started: Duration,
    pub(crate) saw_hosts: u64,
}
