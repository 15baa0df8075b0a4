//! Memory of a process, as the operating system states it.

/// Returns a figure of a process in kB: `VmRSS:` for what it takes, `VmHWM:` for its peak.
pub fn memory_kb(pid: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let text = line.unwrap_or_default().trim().trim_end_matches("kB");
    text.trim().parse().unwrap_or(0)
}
