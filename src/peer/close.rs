//! Application error codes with which connections are closed and streams reset.

use quinn::{Connection, VarInt};

/// Closes a connection with one of the codes in [`close_code`].
pub(super) fn close_connection(connection: &Connection, code: u32) {
    connection.close(VarInt::from_u32(code), &[]);
}

/// Application error codes; the values are part of the protocol.
pub(super) mod close_code {
    /// The peer uses another protocol version, or its certificate names no VM.
    pub(in crate::peer) const PROTOCOL_MISMATCH: u32 = 1;
    /// The peer exceeded its connection or request limit.
    pub(in crate::peer) const RATE_EXCEEDED: u32 = 2;
    /// The message is oversized, malformed or incomplete, or was dropped by the handler.
    pub(in crate::peer) const MESSAGE_UNUSABLE: u32 = 3;
    /// The connection is discarded by its client, which opens another when needed.
    pub(in crate::peer) const REPLACED: u32 = 4;
}
