//! Tests of `anvilgw-bench report` and the page that it writes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const REPORT: &str = r#"{"experiment":"a<b","seed":7,"target":{"p99_ms":1.0},
"baseline":{"p99_ms":2.0},"product":{"p99_ms":0.5,"requests":3},"ratio":{},"pass":true}"#;

/// Creates a directory with one result file.
fn create_results(name: &str, file: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&directory).unwrap();
    fs::write(directory.join("one.json"), file).unwrap();
    directory
}

fn run_report(directory: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_anvilgw-bench"))
        .arg("report")
        .arg(directory)
        .output()
        .unwrap()
}

/// Guards against a page without plots or figures, external resources in the page, and report text
/// that is inserted as markup.
#[test]
fn page_is_self_contained_and_escapes_report_text() {
    let directory = create_results("page", &REPORT.replace('\n', ""));
    let output = run_report(&directory);
    assert!(output.status.success(), "{output:?}");
    let page = fs::read_to_string(directory.join("report.html")).unwrap();
    for part in ["a&lt;b", "seed 7", "targets met", "<svg", "<td>2.000</td>"] {
        assert!(page.contains(part), "no {part:?} in {page}");
    }
    for part in ["a<b", "<script", "<link", "src=", "href="] {
        assert!(!page.contains(part), "{part:?} in {page}");
    }
}

/// Guards against a file without a report being skipped without an error.
#[test]
fn file_without_report_is_an_error() {
    let directory = create_results("broken", "no report");
    let output = run_report(&directory);
    assert!(!output.status.success(), "{output:?}");
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("one.json"), "{message}");
}
