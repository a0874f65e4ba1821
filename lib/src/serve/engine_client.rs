//! Interface for HTTP calls to engines.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::call::CallError;
use crate::store::LocalFuture;

/// A response, or why there is none.
pub type CallResult = Result<Response<Bytes>, CallError>;

/// Makes calls to engines.
pub trait EngineClient: fmt::Debug {
    /// Sends a request to `engine` at `addr`. The call fails if no response arrives within `limit`.
    fn call<'a>(
        &'a self,
        engine: &'a ServerInstance,
        addr: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> LocalFuture<'a, CallResult>;
}
