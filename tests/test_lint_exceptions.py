"""Each per-file lint exception in pyproject.toml must still be needed, so that the list only shrinks."""

import json
import pathlib
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).parents[1]
FOLDERS = ("corkdeal", "tests", "examples", "benchmarks")


def listed_exceptions():
    """Pairs of file and rule that pyproject.toml exempts, without the pattern for all tests."""
    config = tomllib.loads((ROOT / "pyproject.toml").read_text())
    entries = config["tool"]["ruff"]["lint"]["per-file-ignores"]
    return {(name, rule) for name, rules in entries.items() if "*" not in name for rule in rules}


def found_faults():
    """Pairs of file and rule that ruff reports without any exceptions."""
    checked = subprocess.run(
        [
            *(sys.executable, "-m", "ruff", "check", "--no-cache", "--output-format", "json"),
            *("--config", "lint.per-file-ignores = {}", *FOLDERS),
        ],
        cwd=ROOT,
        capture_output=True,
        timeout=120,
        check=False,
    )
    faults = json.loads(checked.stdout)
    return {(str(pathlib.Path(fault["filename"]).relative_to(ROOT)), fault["code"]) for fault in faults}


def test_each_listed_exception_is_still_needed():
    assert listed_exceptions() - found_faults() == set()
