//! Rollouts of a service's software version, replayed without a network.

mod rates;
mod replay;
