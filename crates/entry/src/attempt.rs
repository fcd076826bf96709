//! Sends an attempt to an agent, and passes the frames that the agent returns to the control
//! actor.

use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use bytes::BytesMut;
use futures_util::StreamExt;
use tamaracksail_control::delivery::is_unsent;
use tamaracksail_policy::entry::Event;
use tamaracksail_wire as wire;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};
use wire::{Content, Dispatch, Frame};

use crate::control::{Control, Input};

/// How much longer than the attempt's timeout its connection is kept open.
const CONNECTION_GRACE: Duration = Duration::from_secs(5);

/// An attempt to send to an agent.
pub struct Attempt {
    /// The address of the agent.
    pub address: SocketAddr,
    /// The dispatch message.
    pub dispatch: Dispatch,
    /// The request for the backend server.
    pub content: Content,
    /// The W3C trace context.
    pub traceparent: Option<String>,
}

/// Sends an attempt and passes its frames to the control actor until the attempt ends.
pub async fn run(control: Addr<Control>, http: awc::Client, attempt: Attempt) {
    let id = attempt.dispatch.attempt;
    let limit = attempt.dispatch.timeout + CONNECTION_GRACE;
    let result = actix_rt::time::timeout(limit, forward_frames(&control, &http, attempt)).await;
    let sent = match result {
        Ok(Ok(())) => return,
        Ok(Err(sent)) => sent,
        Err(_) => true,
    };
    control.do_send(Input(Event::LinkFailed { attempt: id, sent }));
}

/// Sends the attempt and passes its frames to the control actor.
///
/// # Errors
/// If the connection failed. The value is true if some of the attempt may have reached the agent.
async fn forward_frames(
    control: &Addr<Control>,
    http: &awc::Client,
    attempt: Attempt,
) -> Result<(), bool> {
    let id = attempt.dispatch.attempt;
    let peer = attempt.address;
    let limit = attempt.dispatch.timeout + CONNECTION_GRACE;
    let message = wire::Attempt {
        dispatch: attempt.dispatch,
        content: attempt.content,
        traceparent: attempt.traceparent,
    };
    let request = http
        .post(format!("http://{peer}/v1/attempts"))
        .timeout(limit);
    let mut response = request
        .send_body(wire::encode(&message))
        .await
        .map_err(|error| {
            log::info!("sending attempt {id} to {peer} failed: {error}");
            !is_unsent(&error)
        })?;
    if !response.status().is_success() {
        log::warn!(
            "sending attempt {id} to {peer} failed: HTTP status {}",
            response.status()
        );
        return Err(true);
    }
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(wire::codec::MAX_BYTES)
        .new_codec();
    let mut buffer = BytesMut::new();
    while let Some(bytes) = response.next().await {
        let bytes = bytes.map_err(|error| {
            log::info!("reading frames of attempt {id} from {peer} failed: {error}");
            true
        })?;
        buffer.extend_from_slice(&bytes);
        while let Some(frame) = codec.decode(&mut buffer).map_err(|_| true)? {
            let frame: Frame = wire::decode(&frame).map_err(|error| {
                log::warn!("decoding a frame of attempt {id} from {peer} failed: {error}");
                true
            })?;
            if frame.attempt() != id {
                log::warn!(
                    "received a frame of attempt {} from {peer} instead of attempt {id}",
                    frame.attempt()
                );
                return Err(true);
            }
            let is_last = matches!(frame, Frame::End { .. } | Frame::Failed { .. });
            control.do_send(Input(Event::Frame(frame)));
            if is_last {
                return Ok(());
            }
        }
    }
    Err(true)
}
