//! Generates `docs/SETTINGS.md` from the table of settings keys.

use super::Settings;
use super::table::SECTIONS;

const PAGE_HEADER: &str = "# Settings\n\nGenerated from `src/settings/table.rs` by `celerylever settings-page`; a test compares the two.\n\
A daemon reads one INI file. All faults are reported at once; unknown sections and keys are rejected.\n";

/// Returns the text of `docs/SETTINGS.md`.
pub fn settings_page() -> String {
    let mut page = PAGE_HEADER.to_owned();
    for section in SECTIONS {
        page.push_str(&format!(
            "\n## `[{}]`\n\n{}\n\n",
            section.name, section.meaning
        ));
        page.push_str("| key | unit | default | allowed | meaning |\n|---|---|---|---|---|\n");
        for key in section.keys {
            page.push_str(&key.page_row(&mut Settings::default()));
        }
    }
    page
}
