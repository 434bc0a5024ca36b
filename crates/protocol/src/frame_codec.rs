//! Framing of messages: a length of four bytes, followed by the encoded frame.

use bytes::{Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::messages::PeerFrame;

/// The maximum size of a frame in bytes, without the length prefix. One part of a configuration and its fields fit
/// into a frame.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Why a frame could not be received or sent.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed or a frame was too long.
    #[error("peer connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The content of a frame is not a valid message.
    #[error("peer sent a malformed message: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// Encodes and decodes [`PeerFrame`]s with a length prefix.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec for one direction of a connection.
    #[must_use]
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = PeerFrame;
    type Error = FrameError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<PeerFrame>, FrameError> {
        let Some(frame) = self.lengths.decode(bytes)? else {
            return Ok(None);
        };
        Ok(Some(PeerFrame::decode(frame)?))
    }
}

impl Encoder<PeerFrame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: PeerFrame, bytes: &mut BytesMut) -> Result<(), FrameError> {
        let encoded = Bytes::from(frame.encode_to_vec());
        self.lengths.encode(encoded, bytes)?;
        Ok(())
    }
}
