//! Client for the control interface of model engines: fetches their reports and sends orders.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;

use thiserror::Error;

use crate::host::Order;
use crate::host::OrderAnswer;
use crate::host::ServerReport;

/// Timeout for a report or for the answer to an order, in whole seconds.
const TIMEOUT_S: u64 = 2;

/// An engine returned no readable report.
#[derive(Debug, Error)]
#[error("no report: {0}")]
pub struct ReportError(pub String);

/// The control interface of model engines.
pub trait EngineControl: fmt::Debug + Send + Sync {
    /// Fetches the report of the engine at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not answer or its answer cannot be decoded.
    fn fetch_report(&self, addr: SocketAddr) -> Result<ServerReport, ReportError>;

    /// Sends an order. A load continues after the answer; its progress appears in the reports.
    fn send_order(&self, addr: SocketAddr, order: &Order) -> OrderAnswer;
}

/// Control of model engines over HTTP.
#[derive(Debug, Default)]
pub struct HttpEngineControl;

impl EngineControl for HttpEngineControl {
    fn fetch_report(&self, addr: SocketAddr) -> Result<ServerReport, ReportError> {
        let response = minreq::get(format!("http://{addr}/report"))
            .with_timeout(TIMEOUT_S)
            .with_follow_redirects(false)
            .send()
            .map_err(|e| ReportError(e.to_string()))?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| ReportError(e.to_string()))
    }

    fn send_order(&self, addr: SocketAddr, order: &Order) -> OrderAnswer {
        let Ok(body) = serde_json::to_vec(order) else {
            return OrderAnswer::Unsent;
        };
        let request = minreq::post(format!("http://{addr}/order")).with_body(body);
        // One connection and one write: the HTTP client never sends the order again.
        let sent = request.with_timeout(TIMEOUT_S).with_follow_redirects(false).send();
        match sent {
            Ok(response) if response.status_code == 200 => {
                serde_json::from_slice(response.as_bytes()).unwrap_or(OrderAnswer::Unknown)
            }
            // A refused connection carried no data.
            Err(minreq::Error::IoError(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                OrderAnswer::Unsent
            }
            Ok(_) | Err(_) => OrderAnswer::Unknown,
        }
    }
}
