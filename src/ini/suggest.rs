//! Suggestions for misspelt names in error messages.

const SUGGESTION_MAX_BYTES: usize = 64;
const SUGGESTION_MIN_SIMILARITY: f64 = 0.8;

/// Returns a clause that lists the known names and suggests the most similar one if it is similar
/// enough.
pub(crate) fn list_known_names<'a>(
    given: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> String {
    let list = known.clone().collect::<Vec<_>>().join(", ");
    match closest_match(given, known) {
        Some(name) => format!("one of {list}; did you mean {name:?}?"),
        None => format!("one of {list}"),
    }
}

fn closest_match<'a>(given: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    if given.len() > SUGGESTION_MAX_BYTES {
        return None;
    }
    known
        .map(|name| (strsim::jaro_winkler(given, name), name))
        .filter(|(similarity, _)| *similarity >= SUGGESTION_MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, name)| name)
}
