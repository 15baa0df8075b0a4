//! Plot of the costs against the number of upstreams, as SVG text.

use crate::Cost;

const PANEL_PX: f64 = 260.0;
const PLOT_PX: f64 = 170.0;
const LEFT_PX: f64 = 55.0;
const TOP_PX: f64 = 40.0;
const HEIGHT_PX: f64 = 270.0;

/// One panel: its title and one measure of each cost.
struct Panel {
    title: &'static str,
    measure: fn(&Cost) -> f64,
}

const PANELS: [Panel; 5] = [
    Panel {
        title: "document, KB",
        measure: |cost| cost.text_kb,
    },
    Panel {
        title: "parse and check, ms",
        measure: |cost| cost.parse_ms,
    },
    Panel {
        title: "compile, ms",
        measure: |cost| cost.compile_ms,
    },
    Panel {
        title: "snapshot, MB",
        measure: |cost| cost.snapshot_mb,
    },
    Panel {
        title: "engine tables, MB",
        measure: |cost| cost.chooser_mb,
    },
];

/// Returns the plot, one panel for each measure.
pub(crate) fn svg(costs: &[Cost]) -> String {
    let width = PANEL_PX * PANELS.len() as f64;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {width} {HEIGHT_PX}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{width}\" height=\"{HEIGHT_PX}\" fill=\"white\"/>\n"
    );
    for (number, panel) in PANELS.iter().enumerate() {
        text += &draw(panel, costs, number as f64 * PANEL_PX + LEFT_PX);
    }
    text + "</svg>\n"
}

fn draw(panel: &Panel, costs: &[Cost], left: f64) -> String {
    let largest = costs.iter().map(panel.measure).fold(0.0, f64::max);
    let most = costs.iter().map(|cost| cost.upstreams).max().unwrap_or(1);
    let bottom = TOP_PX + PLOT_PX;
    let points: Vec<(f64, f64)> = costs
        .iter()
        .map(|cost| {
            let x = left + PLOT_PX * cost.upstreams as f64 / most as f64;
            (
                x,
                bottom - PLOT_PX * (panel.measure)(cost) / largest.max(f64::MIN_POSITIVE),
            )
        })
        .collect();
    let line: Vec<String> = points
        .iter()
        .map(|(x, y)| format!("{x:.1},{y:.1}"))
        .collect();
    let mut text = format!(
        "<text x=\"{left}\" y=\"20\">{}</text>\n\
         <path d=\"M{left} {TOP_PX}V{bottom}h{PLOT_PX}\" fill=\"none\" stroke=\"black\"/>\n\
         <polyline points=\"{}\" fill=\"none\" stroke=\"steelblue\"/>\n",
        panel.title,
        line.join(" "),
    );
    for ((x, y), cost) in points.iter().zip(costs) {
        text += &format!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"steelblue\"/>\n\
             <text x=\"{:.1}\" y=\"{y:.1}\" text-anchor=\"end\">{:.2}</text>\n\
             <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>\n",
            x - 6.0,
            (panel.measure)(cost),
            bottom + 16.0,
            cost.upstreams,
        );
    }
    let x = left + PLOT_PX / 2.0;
    let y = bottom + 36.0;
    text + &format!("<text x=\"{x}\" y=\"{y}\" text-anchor=\"middle\">upstreams</text>\n")
}
