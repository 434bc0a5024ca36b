//! Each `.yaml` file under `cases/` holds invalid settings, and the `.findings` file of the same name lists the
//! expected findings. Guards against a fault that is missed, reported twice, or reported at a wrong location.

use std::path::Path;

use coltsfootkeel_settings::DaemonSettings;

fn findings_match(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let name = path.file_name().unwrap().to_string_lossy();
    let expected = std::fs::read_to_string(path.with_extension("findings"))?;
    let findings = DaemonSettings::parse(&name, &text).expect_err("a case has at least one fault");
    assert_eq!(findings.to_string(), expected);
    Ok(())
}

datatest_stable::harness! {
    { test = findings_match, root = "tests/cases", pattern = r"\.yaml$" },
}
