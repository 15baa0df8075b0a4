//! Closing of connections, with codes that say why.

use quinn::{Connection, VarInt};

/// Closes a connection with a code of [`close_code`].
pub(super) fn close_connection(connection: &Connection, code: u32) {
    connection.close(VarInt::from_u32(code), &[]);
}

/// Codes with which connections are closed and streams reset.
pub(super) mod close_code {
    /// The peer speaks another version of the protocol.
    pub(in crate::peer) const PROTOCOL_MISMATCH: u32 = 1;
    /// The peer is not allowed that much.
    pub(in crate::peer) const RATE_EXCEEDED: u32 = 2;
    /// The message cannot be used.
    pub(in crate::peer) const MESSAGE_UNUSABLE: u32 = 3;
    /// The connection is replaced.
    pub(in crate::peer) const REPLACED: u32 = 4;
}
