//! Rollouts of a service's software version, without a network.

mod counts;
mod grants;
mod plans;
mod rates;
mod replay;
