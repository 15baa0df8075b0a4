//! Settings of the entry and steward daemons, parsed from an INI file.

mod load;
mod model;
mod page;
mod table;

pub use load::SettingsError;
pub use model::{
    DrainSettings, LimitSettings, LogFormat, LogSettings, PeerSettings, PlatformSettings,
    ProcessSettings, Settings, UpstreamSettings,
};
pub use page::settings_page;
