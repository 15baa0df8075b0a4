//! Tests of the share of an engine's last room that one VM may use.

use std::time::Duration;

use celerylever::gateway::{Headroom, HeadroomCause, RecentUse};

const MS: fn(u64) -> Duration = Duration::from_millis;
const VMS: usize = 62;
const REQUEST_TOKENS: u64 = 11_992;

fn headroom(requests: f64, memory_tokens: f64) -> Headroom {
    Headroom {
        requests,
        memory_tokens,
        vms: VMS,
    }
}

/// Returns how many requests all VMs together may send to an engine in one window.
fn sent_by_fleet(headroom: Headroom, now: Duration) -> u32 {
    let mut sent = 0;
    for vm in 0..VMS as u64 {
        let mut recent = RecentUse::default();
        while headroom.refusal(REQUEST_TOKENS, recent, vm, now).is_none() && sent < 1_000 {
            recent.record_sent(REQUEST_TOKENS, now);
            sent += 1;
        }
    }
    sent
}

/// Guards against a fleet of which each VM uses all the room that it sees.
#[test]
fn the_shares_of_all_vms_add_up_to_the_room_that_is_left() {
    let windows = 50;
    let sent = (0..windows).map(|window| sent_by_fleet(headroom(10.0, 1e9), MS(window * 400)));
    let mean = f64::from(sent.sum::<u32>()) / windows as f64;
    assert!((8.5..=11.5).contains(&mean), "{mean}");
}

#[test]
fn there_is_no_limit_while_each_vm_could_send_one_more() {
    let recent = RecentUse::default();
    let room = headroom(62.0, 62.0 * REQUEST_TOKENS as f64);
    assert_eq!(room.refusal(REQUEST_TOKENS, recent, 0, MS(0)), None);
}

#[test]
fn the_cause_is_what_runs_out_first() {
    let recent = RecentUse::default();
    let no_slots = headroom(0.0, 1e9);
    let no_memory = headroom(30.0, 0.0);
    let refusal = |room: Headroom| room.refusal(REQUEST_TOKENS, recent, 0, MS(0));
    assert_eq!(refusal(no_slots), Some(HeadroomCause::Slots));
    assert_eq!(refusal(no_memory), Some(HeadroomCause::Memory));
}

/// Guards against slots that stand idle until the next heartbeats.
#[test]
fn a_vm_may_replace_its_own_request_that_has_ended() {
    let mut recent = RecentUse::default();
    recent.record_ended(REQUEST_TOKENS, MS(10));
    let full = headroom(0.0, 0.0);
    assert_eq!(full.refusal(REQUEST_TOKENS, recent, 0, MS(20)), None);
    recent.record_sent(REQUEST_TOKENS, MS(20));
    assert!(full.refusal(REQUEST_TOKENS, recent, 0, MS(30)).is_some());
}
