//! Which statuses are the answer of a server.

use http::StatusCode;

/// Returns whether a status may be that of a final response.
///
/// Informational ones precede the response, except the switch to another protocol, which no request asks for. HTTP defines none
/// from 600 on, which its parsers let pass.
pub(super) fn is_answer(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
