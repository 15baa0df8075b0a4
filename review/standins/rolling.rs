//! Gateways are stopped and started in turn; then callers take up streams that broke.
//!
//! All engines run one version of the software, the only one that there has ever been.

use std::time::Duration;

use crate::deployment::{config, customer, weights};
use crate::store::Store;
use crate::taken_up::{Fleet, judge, start_engine};
use crate::{Setting, Verdict};

/// `ContactMs`, and half a second.
const IN_TOUCH: Duration = Duration::from_millis(3_500);
/// Pause between the return of a gateway and the stop of the next one.
const TURN_PAUSE: Duration = Duration::from_secs(2);
/// Event after which a caller's own connection breaks.
const BROKEN_AFTER: u64 = 5;

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("config", "main", &config(1, &customer("teifi", false)));
    store.put("versions", "m0", &weights());
    for id in ["i-1", "i-2", "i-3"] {
        start_engine(&store, id, "bale-llm", record);
    }
    let Some(mut fleet) = Fleet::start(setting, &store) else {
        return Verdict::NotRun("the gateways did not start");
    };
    for number in 0..2 {
        if !setting.has_trouble {
            continue;
        }
        record.line(format!("front-{} gets SIGTERM", number + 1));
        if !fleet.gateways[number].stop() {
            return Verdict::NotRun("a gateway did not end within its grace");
        }
        fleet.gateways[number] = fleet.start_one(number);
        if !fleet.gateways[number].is_ready() {
            return Verdict::NotRun("a gateway did not return");
        }
        record.line(format!("front-{} is ready again", number + 1));
        std::thread::sleep(TURN_PAUSE);
    }
    std::thread::sleep(IN_TOUCH);
    judge(setting, &fleet, BROKEN_AFTER, || {})
}
