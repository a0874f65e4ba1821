//! The immutable view of the fleet that routers use; it is replaced as a whole on each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::Controller;
use crate::host::HostRole;
use crate::ids::CentreId;
use crate::ids::ModelName;
use crate::ids::ServerId;
use crate::record::Phase;
use crate::table::Table;

/// A backend server that serves a model or plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replica {
    /// The backend server.
    pub server: ServerId,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: CentreId,
}

/// What the routers of one daemon know at one time.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    /// The operators' table at the applied offset of the log.
    pub table: Table,
    /// Replicas by model or plain service. Invariant: none is on a backend server that is leaving
    /// or suspected to have failed.
    pub replicas: BTreeMap<ModelName, Vec<Replica>>,
    /// Models that are being loaded; one entry for each load in progress.
    pub loading: Vec<ModelName>,
    /// Addresses of the daemons, by name.
    pub daemons: BTreeMap<ServerId, SocketAddr>,
    /// Whether the log has been read since the start of the daemon.
    pub ready: bool,
    /// Whether the log service answers.
    pub log_up: bool,
}

impl RoutingView {
    /// Creates the view of the current state of `control`.
    pub fn new(control: &Controller, now: Duration) -> Self {
        let mut view = Self {
            table: control.state().table.clone(),
            ready: control.is_ready(),
            log_up: control.is_log_up(now),
            ..Self::default()
        };
        let slots = control.state().slots.values();
        for slot in slots {
            match slot.phase {
                Phase::Loaded => view.add(control, now, &slot.model, &slot.server),
                Phase::Loading(_) => view.loading.push(slot.model.clone()),
                Phase::Reserved | Phase::Draining => {}
            }
        }
        for hint in control.hints(now).into_iter().chain(control.own_hints()) {
            view.add(control, now, &hint.model, &hint.server);
        }
        for member in control.fleet().with_role(HostRole::Service) {
            for service in &member.host.services {
                view.add(control, now, service, &member.host.id);
            }
        }
        for member in control.fleet().with_role(HostRole::Entry) {
            view.daemons.insert(member.host.id.clone(), member.host.addr);
        }
        view
    }

    fn add(&mut self, control: &Controller, now: Duration, model: &ModelName, server: &ServerId) {
        let member = control.fleet().get(server);
        let Some(member) = member.filter(|m| m.is_usable(now)) else {
            return;
        };
        let replica = Replica {
            server: server.clone(),
            addr: member.host.addr,
            centre: member.host.centre.clone(),
        };
        let replicas = self.replicas.entry(model.clone()).or_default();
        if !replicas.contains(&replica) {
            replicas.push(replica);
        }
    }

    /// Returns the replicas of `model`.
    pub fn replicas_of(&self, model: &str) -> &[Replica] {
        self.replicas.get(model).map_or(&[], Vec::as_slice)
    }
}
