//! Options of accepted connections.

use std::any::Any;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;

/// Sets `TCP_NODELAY`. Without it, a streamed token waits for the acknowledgement of the previous
/// one. To be passed to `HttpServer::on_connect`.
pub fn no_delay(connection: &dyn Any, _: &mut Extensions) {
    if let Some(stream) = connection.downcast_ref::<TcpStream>()
        && let Err(error) = stream.set_nodelay(true)
    {
        log::debug!("accept: {error}");
    }
}
