//! Keeps requests that crash engines from further engines.
//!
//! A crash is a strike against what the requests at the engine had in common with those at other
//! crashes. VMs exchange strikes and complete answers, conclude what crashes engines, and refuse
//! requests with it. Single requests, permitted by one VM for the fleet, try whether it still does.
//! What is held is kept in the platform's store and outlasts all VMs.
//!
//! [`CrashGuard`] and what it consists of perform no I/O, and the time is passed in.

mod charges;
mod check;
mod evidence;
mod fingerprint;
pub(in crate::gateway) mod gossip;
mod guard;
mod news;
mod quarantine;
pub(in crate::gateway) mod quarantine_check;
pub(in crate::gateway) mod quarantine_task;
mod record;
mod suspect;
mod watch;

pub use evidence::{Conclusion, CrashEvidence, CrashEvidenceSettings, CrashThresholds, Strike};
pub use fingerprint::{Fingerprint, RequestContent};
pub use guard::{CrashGuard, QuarantineChange};
pub use news::{AnswerNews, CrashNews, StrikeNews};
pub use quarantine::{Quarantine, QuarantineSettings, QuarantineVerdict};
pub use record::{QuarantineRecord, QuarantineSource};
pub use suspect::{Suspect, SuspectKind};
pub use watch::{BrokenConnection, CrashWatch, InterruptedRun};
