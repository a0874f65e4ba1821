//! Calls to engines over a daemon's kept connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::call::call;
use crate::serve::daemon_state::DaemonState;
use crate::serve::engine_client::CallResult;
use crate::serve::engine_client::EngineClient;
use crate::store::LocalFuture;

/// Calls engines over the connections of a daemon.
#[derive(Debug)]
pub struct PooledCalls {
    daemon: Rc<DaemonState>,
}

impl PooledCalls {
    /// Uses the connections of a daemon.
    pub fn new(daemon: Rc<DaemonState>) -> Self {
        Self { daemon }
    }
}

impl EngineClient for PooledCalls {
    fn call<'a>(
        &'a self,
        engine: &'a ServerInstance,
        addr: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> LocalFuture<'a, CallResult> {
        Box::pin(call(&self.daemon.pool, engine, addr, request, limit))
    }
}
