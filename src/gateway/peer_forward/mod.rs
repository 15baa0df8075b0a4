//! Help between VMs: a VM that is cut from the upstreams of a service passes its callers' requests
//! to another VM.
//!
//! A VM is cut from a service if its new connections to several upstreams fail, those to a few
//! others as well, and none has succeeded since. It then sends requests on as its callers sent them, with the time that is left,
//! to the listener of another VM for its peers. That VM handles them like those of its own callers:
//! it checks the key, charges the customer and chooses the upstream. It never passes them on again,
//! and says at once if it cannot help. What it answers is returned unchanged.
//!
//! A request is passed on only while no upstream can have run it. After that, a hop that breaks is
//! reported as one whose outcome is unknown.
//!
//! The decisions are made by [`UpstreamPaths`] (which services this VM is cut from) and [`Helpers`]
//! (whom to ask), which perform no I/O; the time is passed in.

mod forward;
mod helpers;
mod paths;
mod probe;
mod relayed_body;

pub(super) use forward::{FORWARD_HEADER, ForwardedRequest, HelpReply, mark_reply};
pub use helpers::{Helpers, HelpersSettings, KnownVm};
pub use paths::{PathChange, PathState, UpstreamPaths, UpstreamPathsSettings};
