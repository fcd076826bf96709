//! What peers of the tests share.

use std::io::Read;
use std::net::TcpStream;

/// Reads a request without a body. Returns whether one arrived.
pub fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut buffer = [0; 1024];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend(&buffer[..length]),
            _ => return false,
        }
    }
    true
}
