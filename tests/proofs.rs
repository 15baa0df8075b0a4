//! Every test that the page of proofs names is there, and the page follows its own form.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../docs/PROOFS.md");
const PROMISES: usize = 13;

#[test]
fn every_named_test_exists() {
    let tests = tests_by_file();
    let missing: Vec<String> = named_tests(PAGE)
        .into_iter()
        .filter(|(file, name)| !tests.get(file).is_some_and(|names| names.contains(name)))
        .map(|(file, name)| format!("{file}::{name}"))
        .collect();
    assert!(missing.is_empty(), "not in tests/: {missing:?}");
}

#[test]
fn every_promise_names_a_test_or_is_not_proved() {
    let rows: Vec<&str> = table_rows(section("## What must always hold")).collect();
    assert_eq!(rows.len(), PROMISES);
    for row in rows.into_iter().chain(table_rows(section("## What fails"))) {
        let is_covered = !named_tests(row).is_empty() || row.contains("not proved");
        assert!(is_covered, "neither a test nor a reason: {row}");
    }
}

#[test]
fn names_are_found_in_a_row() {
    let row = "| p | `stream::a_b`, `limit_core::c` | `cargo test --test stream` | `Code::ALL` |";
    let names = named_tests(row);
    let expected = [("limit_core", "c"), ("stream", "a_b")];
    assert_eq!(names, expected.map(|(f, n)| (f.into(), n.into())).into());
}

/// Returns `file::name` of each code span that has this form, all in lower case.
fn named_tests(text: &str) -> BTreeSet<(String, String)> {
    text.split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|span| span.split_once("::"))
        .filter(|(file, name)| is_name(file) && is_name(name))
        .map(|(file, name)| (file.to_owned(), name.to_owned()))
        .collect()
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_')
}

fn section(heading: &str) -> &'static str {
    let (_, rest) = PAGE
        .split_once(&format!("{heading}\n"))
        .unwrap_or_else(|| panic!("no section {heading}"));
    rest.split("\n## ").next().unwrap_or(rest)
}

fn table_rows(section: &str) -> impl Iterator<Item = &str> {
    section
        .lines()
        .filter(|line| line.starts_with("| "))
        .skip(1)
}

/// Returns the functions marked as tests in each file or folder directly under `tests/`.
fn tests_by_file() -> BTreeMap<String, BTreeSet<String>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directories = [root.join("tests"), root.join("platform/tests")];
    let paths = directories.iter().flat_map(|directory| paths_in(directory));
    paths
        .map(|path| {
            let stem = path.file_stem().expect("file has a name");
            (stem.to_string_lossy().into_owned(), tests_of(&path))
        })
        .collect()
}

fn paths_in(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("tests are there");
    entries
        .map(|entry| entry.expect("entry is readable").path())
        .filter(|path| path.is_dir() || path.extension().is_some_and(|found| found == "rs"))
        .collect()
}

/// Returns the tests of a file, or of all files of a folder.
fn tests_of(path: &Path) -> BTreeSet<String> {
    if path.is_dir() {
        return paths_in(path)
            .iter()
            .flat_map(|path| tests_of(path))
            .collect();
    }
    test_names(&std::fs::read_to_string(path).expect("file is readable"))
}

fn test_names(text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    let mut is_marked = false;
    for line in text.lines().map(str::trim_start) {
        is_marked |= ["#[test]", "#[rstest", "#[tokio::test"]
            .iter()
            .any(|mark| line.starts_with(mark));
        let Some(name) = function_name(line) else {
            continue;
        };
        if std::mem::take(&mut is_marked) {
            names.insert(name.to_owned());
        }
    }
    names
}

fn function_name(line: &str) -> Option<&str> {
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let line = line.strip_prefix("async ").unwrap_or(line);
    line.strip_prefix("fn ")?.split(['(', '<']).next()
}
