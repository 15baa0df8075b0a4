//! Requests of an isolated tenant and of another one come without `Token-Count`.

use crate::deployment::customer;
use crate::isolated::{caching_engine, serve_one};
use crate::{Deployment, Setting, Verdict};

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let (address, uses) = caching_engine("i-1", record);
    let customers = [customer("mill", true), customer("depot", false)].join(",");
    let Some(deployment) = Deployment::start(setting, &customers, &[("i-1", address)]) else {
        return Verdict::NotRun("the gateway did not start");
    };
    let has_count = !setting.has_trouble;
    for (tenant, id) in [("mill", "e1"), ("depot", "e2")] {
        if !serve_one(&deployment, record, tenant, id, has_count) {
            return Verdict::NotRun("a request was not served");
        }
    }
    let uses = uses.lock().unwrap();
    let foreign = uses.iter().filter(|one| one.user != one.maker).count();
    record.line(format!("parts used that another tenant made: {foreign}"));
    match foreign {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
