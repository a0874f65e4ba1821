//! A simulated model engine in virtual time: the models in its memory and its handling of orders.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymux_lib::host::CachedCheckpoint;
use comfreymux_lib::host::ModelReport;
use comfreymux_lib::host::Order;
use comfreymux_lib::host::OrderAction;
use comfreymux_lib::host::OrderAnswer;
use comfreymux_lib::host::ServerReport;
use comfreymux_lib::ids::Fence;
use comfreymux_lib::ids::Incarnation;
use comfreymux_lib::ids::Mebibytes;
use comfreymux_lib::ids::ModelName;
use comfreymux_lib::ids::Position;
use comfreymux_lib::record::Source;

/// A model in an engine's memory, loaded or loading.
#[derive(Clone, Debug)]
pub struct Held {
    /// When its load is complete.
    pub ready: Duration,
    /// Ticket of the order that loaded it.
    pub ticket: Position,
    /// Memory in use, in MiB.
    pub memory_mib: Mebibytes,
    /// Requests in progress.
    pub active: u32,
    /// Requests started since the load.
    pub served: u64,
}

/// A simulated model engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Accelerator memory, in MiB. Loads that exceed it are accepted all the same, so that a fault of the
    /// planner is detected.
    pub memory_mib: Mebibytes,
    /// Whether orders with a stale fencing number or incarnation are refused.
    pub fencing: bool,
    /// Number of starts so far.
    pub incarnation: Incarnation,
    /// Whether the host has announced its removal.
    pub leaving: bool,
    /// Models loaded or loading.
    pub held: BTreeMap<ModelName, Held>,
    /// Checkpoints with a local copy, which load without the weight store.
    pub cached: BTreeMap<ModelName, Source>,
    /// Loads started, over all incarnations.
    pub loads: u64,
    fence: Fence,
}

impl FakeEngine {
    /// Creates an empty engine.
    pub fn new(memory_mib: Mebibytes, fencing: bool) -> Self {
        Self {
            memory_mib,
            fencing,
            incarnation: 1,
            leaving: false,
            held: BTreeMap::new(),
            cached: BTreeMap::new(),
            loads: 0,
            fence: 0,
        }
    }

    /// Replaces the host: the next incarnation has nothing loaded and knows no fencing number, but keeps the
    /// local copies.
    pub fn replace(&mut self) {
        let cached = std::mem::take(&mut self.cached);
        *self = Self {
            incarnation: self.incarnation + 1,
            loads: self.loads,
            ..Self::new(self.memory_mib, self.fencing)
        };
        self.cached = cached;
    }

    /// Returns the source that a load of `model` reads from.
    pub fn source(&self, model: &str) -> Source {
        self.cached.get(model).copied().unwrap_or(Source::Remote)
    }

    /// Handles an order; a load that it starts takes `time`.
    pub fn order(&mut self, now: Duration, order: &Order, time: Duration) -> OrderAnswer {
        let is_stale = order.fence < self.fence || order.incarnation != self.incarnation;
        if self.fencing && is_stale {
            return OrderAnswer::Stale;
        }
        self.fence = self.fence.max(order.fence);
        match order.action {
            OrderAction::Load => {
                if let Some(held) = self.held.get_mut(&order.model) {
                    held.ticket = held.ticket.max(order.ticket);
                } else {
                    self.loads += 1;
                    let held = Held {
                        ready: now + time,
                        ticket: order.ticket,
                        memory_mib: order.memory_mib,
                        active: 0,
                        served: 0,
                    };
                    self.held.insert(order.model.clone(), held);
                    self.cached.insert(order.model.clone(), Source::Disk);
                }
                OrderAnswer::Done
            }
            OrderAction::Unload => {
                if self.held.get(&order.model).is_some_and(|h| h.active > 0) {
                    return OrderAnswer::Busy;
                }
                self.held.remove(&order.model);
                OrderAnswer::Done
            }
        }
    }

    /// Returns the memory in use, in MiB.
    pub fn used_mib(&self) -> Mebibytes {
        self.held.values().map(|h| h.memory_mib).sum()
    }

    /// Returns whether `model` is loaded and can serve.
    pub fn is_ready(&self, now: Duration, model: &str) -> bool {
        self.held.get(model).is_some_and(|h| h.ready <= now)
    }

    /// Returns the server's report of its state.
    pub fn report(&self, now: Duration) -> ServerReport {
        let line = |(model, held): (&ModelName, &Held)| ModelReport {
            model: model.clone(),
            loaded: held.ready <= now,
            active: held.active,
            served: held.served,
            ticket: held.ticket,
        };
        let cached = |(model, source): (&ModelName, &Source)| CachedCheckpoint {
            model: model.clone(),
            source: *source,
        };
        ServerReport {
            incarnation: self.incarnation,
            fence: self.fence,
            leaving: self.leaving,
            models: self.held.iter().map(line).collect(),
            cached: self.cached.iter().map(cached).collect(),
        }
    }
}
