//! One attempt on its way to an agent, and its frames on their way back.

use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use awc::error::SendRequestError;
use bytes::BytesMut;
use futures_util::StreamExt;
use tamaracksail_policy::entry::Event;
use tamaracksail_wire as wire;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};
use wire::{Content, Dispatch, Frame};

use crate::control::{Control, Input};

/// How much longer than its deadline an attempt's connection is kept.
const GRACE: Duration = Duration::from_secs(5);

/// An attempt to send.
pub struct Attempt {
    /// Where the agent listens.
    pub address: SocketAddr,
    /// What to do.
    pub dispatch: Dispatch,
    /// What to send to the backend server.
    pub content: Content,
    /// The W3C trace context.
    pub traceparent: Option<String>,
}

/// Sends an attempt and passes its frames to the control thread until it is over.
pub async fn run(control: Addr<Control>, http: awc::Client, attempt: Attempt) {
    let id = attempt.dispatch.attempt;
    let limit = attempt.dispatch.timeout + GRACE;
    let passed = actix_rt::time::timeout(limit, pass(&control, &http, attempt)).await;
    let sent = match passed {
        Ok(Ok(())) => return,
        Ok(Err(sent)) => sent,
        Err(_) => true,
    };
    control.do_send(Input(Event::LinkFailed { attempt: id, sent }));
}

/// Passes the frames of one attempt. `Err`: the link failed, and whether a byte may have left.
async fn pass(control: &Addr<Control>, http: &awc::Client, attempt: Attempt) -> Result<(), bool> {
    let id = attempt.dispatch.attempt;
    let peer = attempt.address;
    let limit = attempt.dispatch.timeout + GRACE;
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
            log::info!("dispatch {id} to {peer}: {error}");
            !matches!(error, SendRequestError::Connect(_))
        })?;
    if !response.status().is_success() {
        log::warn!("dispatch {id} to {peer}: answer {}", response.status());
        return Err(true);
    }
    let mut codec = LengthDelimitedCodec::builder()
        .max_frame_length(wire::codec::MAX_BYTES)
        .new_codec();
    let mut buffer = BytesMut::new();
    while let Some(bytes) = response.next().await {
        let bytes = bytes.map_err(|error| {
            log::info!("frames of {id} from {peer}: {error}");
            true
        })?;
        buffer.extend_from_slice(&bytes);
        while let Some(frame) = codec.decode(&mut buffer).map_err(|_| true)? {
            let frame: Frame = wire::decode(&frame).map_err(|error| {
                log::warn!("frames of {id} from {peer}: {error}");
                true
            })?;
            if frame.attempt() != id {
                log::warn!("frames of {id} from {peer}: a frame of {}", frame.attempt());
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
