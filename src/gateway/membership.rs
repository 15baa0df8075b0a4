//! Registration of this VM in the store, and reads of the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::event_log::LogEvent;
use super::model::Member;
use super::state::Gateway;

/// Maximum interval between two reads of the list of VMs in the store, in a small fleet.
const MEMBER_LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Minimum time per VM between the reads of all VMs, which bounds their rate at the store.
const MEMBER_LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(500);
/// Time from the first to the second read of the list, by which VMs that started together have
/// registered.
const FIRST_MEMBER_LIST_INTERVAL: Duration = Duration::from_millis(2_000);
/// Maximum delay before a failed membership call to the store is repeated.
const STORE_RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Maximum delay of the registration after the store was restored, so that the entries are back
/// within two seconds.
const RESTORED_REGISTRATION_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// Registers this VM in the store and reads the list of VMs at intervals, until dropped.
pub(super) async fn maintain_membership(gateway: Arc<Gateway>) {
    let member = Member {
        vm: gateway.settings.vm.clone(),
        peer_address: gateway.settings.peer_address,
        availability_zone: gateway.settings.availability_zone.clone(),
    };
    register(&gateway, &member).await;
    let mut interval = FIRST_MEMBER_LIST_INTERVAL;
    loop {
        let wait = match gateway.platform.store.members().await {
            Ok(members) => {
                let vms = members.len() as u32;
                apply_members(&gateway, members);
                gateway.state().is_member_list_read = true;
                // Introduces this VM to those that it has learned of.
                gateway.heartbeat_due.notify_one();
                let next = MEMBER_LIST_INTERVAL.max(MEMBER_LIST_INTERVAL_PER_VM * vms);
                let wait = std::mem::replace(&mut interval, next);
                // The hubs of a zone inform its other VMs of later registrations.
                let is_hub = gateway.state().peers.is_hub(gateway.now());
                if is_hub { wait } else { next }
            }
            Err(failure) => {
                let reason = failure.to_string();
                gateway.event_log.log(&LogEvent::MembershipCallFailed {
                    call: "members",
                    reason,
                });
                STORE_RETRY_DELAY_MAX
            }
        };
        tokio::select! {
            () = tokio::time::sleep(with_jitter(wait)) => {}
            () = gateway.store_restored.notified() => {
                // The entry may be missing in the copy. All VMs write theirs, spread over a second.
                tokio::time::sleep(with_jitter(RESTORED_REGISTRATION_DELAY_MAX)).await;
                register(&gateway, &member).await;
            }
        }
    }
}

/// Registers this VM, repeatedly until the store has accepted it.
async fn register(gateway: &Gateway, member: &Member) {
    while let Err(failure) = gateway.platform.store.register(member.clone()).await {
        let reason = failure.to_string();
        gateway.event_log.log(&LogEvent::MembershipCallFailed {
            call: "register",
            reason,
        });
        tokio::time::sleep(with_jitter(STORE_RETRY_DELAY_MAX)).await;
    }
}

fn apply_members(gateway: &Gateway, members: Vec<Result<Member, String>>) {
    let now = gateway.now();
    for member in members {
        match member {
            Ok(member) if member.vm == gateway.settings.vm => {}
            Ok(member) => {
                let (address, zone) = (member.peer_address, member.availability_zone);
                gateway.state().peers.add_address(address, zone, now);
            }
            Err(reason) => {
                let call = "members";
                gateway
                    .event_log
                    .log(&LogEvent::MembershipCallFailed { call, reason });
            }
        }
    }
}

/// Returns a random time from half of `time` to `time`.
fn with_jitter(time: Duration) -> Duration {
    rand::rng().random_range(time / 2..=time)
}
