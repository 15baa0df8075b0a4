//! A new version of the configuration splits a route between its service and another one; then
//! callers take up streams that began before.

use std::time::Duration;

use crate::deployment::{config, config_with_split, customer, weights};
use crate::store::Store;
use crate::taken_up::{Fleet, judge, start_engine};
use crate::{Setting, Verdict};

/// Event after which a caller's own connection breaks, three seconds after the first.
const BROKEN_AFTER: u64 = 16;
/// Time from the begin of the streams to the new version, `ConfigApplyMs` and more before the break.
const BEGIN_TIME: Duration = Duration::from_millis(300);

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    let customers = customer("teifi", false);
    store.put("config", "main", &config(1, &customers));
    store.put("versions", "m0", &weights());
    for id in ["i-1", "i-2", "i-3"] {
        start_engine(&store, id, "bale-llm", record);
    }
    for id in ["j-1", "j-2"] {
        start_engine(&store, id, "bale-llm-2", record);
    }
    let Some(fleet) = Fleet::start(setting, &store) else {
        return Verdict::NotRun("the gateways did not start");
    };
    judge(setting, &fleet, BROKEN_AFTER, || {
        std::thread::sleep(BEGIN_TIME);
        let config = match setting.has_trouble {
            true => config_with_split(2, &customers),
            false => config(2, &customers),
        };
        let is_split = setting.has_trouble;
        record.line(format!(
            "the store accepts version 2; route split: {is_split}"
        ));
        store.put("config", "main", &config);
    })
}
