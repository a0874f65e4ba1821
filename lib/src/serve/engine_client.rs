//! The border to engines' own interface.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;

use crate::cluster::server_instance::ServerInstance;
use crate::serve::call::CallError;
use crate::store::LocalFuture;

/// An answer's status and body, or why there is none.
pub type CallResult = Result<(StatusCode, Bytes), CallError>;

/// Makes calls to engines.
pub trait EngineClient: fmt::Debug {
    /// Makes a call to an engine at an address, which must be answered within `limit`.
    fn call<'a>(
        &'a self,
        engine: &'a ServerInstance,
        addr: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> LocalFuture<'a, CallResult>;
}
