//! Calls to engines over a daemon's connection pool. What engines report of themselves in the responses counts as in
//! those to callers' requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::call::call;
use crate::serve::daemon_state::DaemonState;
use crate::serve::engine_client::CallResult;
use crate::serve::engine_client::EngineClient;
use crate::store::LocalFuture;

/// An [`EngineClient`] that uses a daemon's connection pool.
#[derive(Debug)]
pub struct PooledEngineClient {
    daemon: Rc<DaemonState>,
}

impl PooledEngineClient {
    /// Creates a client that uses the connection pool of `daemon`.
    pub fn new(daemon: Rc<DaemonState>) -> Self {
        Self { daemon }
    }
}

impl EngineClient for PooledEngineClient {
    fn call<'a>(
        &'a self,
        engine: &'a ServerInstance,
        addr: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> LocalFuture<'a, CallResult> {
        Box::pin(async move {
            let response = call(&self.daemon.pool, engine, addr, request, limit).await?;
            self.daemon.server_paths.borrow_mut().record_response(engine, self.daemon.now());
            let (head, body) = response.into_parts();
            let headers = self.daemon.protocol.parse_response_headers(&head);
            if headers.instance.as_ref().is_none_or(|id| *id == engine.id) {
                self.daemon.apply_notices(engine, &headers);
            }
            Ok(Response::from_parts(head, body))
        })
    }
}
