//! The page of results.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const REPORT: &str = r#"{"experiment":"a<b","seed":7,"target":{"p99_ms":1.0},
"baseline":{"p99_ms":2.0},"product":{"p99_ms":0.5,"requests":3},"ratio":{},"pass":true}"#;

fn directory(name: &str, file: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    fs::write(directory.join("one.json"), file).unwrap();
    directory
}

fn report(directory: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_anvilgw-bench"))
        .arg("report")
        .arg(directory)
        .output()
        .unwrap()
}

/// Guards against a page without plots or figures, one that loads something from elsewhere, and
/// text of a report that becomes markup.
#[test]
fn the_page_shows_each_report_on_its_own() {
    let directory = directory("page", &REPORT.replace('\n', ""));
    let output = report(&directory);
    assert!(output.status.success(), "{output:?}");
    let page = fs::read_to_string(directory.join("report.html")).unwrap();
    for part in ["a&lt;b", "seed 7", "targets met", "<svg", "<td>2.000</td>"] {
        assert!(page.contains(part), "no {part:?} in {page}");
    }
    for part in ["a<b", "<script", "<link", "src=", "href="] {
        assert!(!page.contains(part), "{part:?} in {page}");
    }
}

/// Guards against a file without a report that is passed over in silence.
#[test]
fn a_file_without_a_report_is_an_error() {
    let directory = directory("broken", "no report");
    let output = report(&directory);
    assert!(!output.status.success(), "{output:?}");
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("one.json"), "{message}");
}
