"""Run every unittest in the tree; KNOWN-RED.txt names the failures that CI passes over."""

import sys
import unittest
from pathlib import Path

KNOWN_RED_FILE = Path("KNOWN-RED.txt")
KNOWN_RED_MOST = 3
PACKAGES = ("rhubarbhinge", "standins", "tools")
ADAPTER = "platform"
"""Folder of the adapter's package; no package itself, as the standard library has its name."""


def main() -> int:
    """Run the tests named on the command line, or all of them.

    :returns: 0 when nothing failed but what KNOWN-RED.txt lists, else 1.
    """
    sys.path.insert(0, ADAPTER)
    suite = _suite(sys.argv[1:])
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    known = _known_red()
    bad = _failed(result)
    new = [name for name in bad if name not in known]
    for name in bad:
        if name in known:
            print(f"known red: {name}: {known[name]}")
    skipped = len(result.skipped)
    passed = result.testsRun - len(bad) - skipped
    print(f"{passed} passed, {len(bad)} failed, {skipped} skipped")
    return 1 if new or result.testsRun == 0 else 0


def _failed(result: unittest.TestResult) -> list[str]:
    tests = [test for test, _ in result.failures + result.errors] + result.unexpectedSuccesses
    # A subtest counts as its test, once, however many of its kind failed.
    return sorted({getattr(test, "test_case", test).id() for test in tests})


def _suite(names: list[str]) -> unittest.TestSuite:
    loader = unittest.defaultTestLoader
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for package in PACKAGES:
        for folder in sorted(Path(package).rglob("tests")):
            suite.addTests(loader.discover(str(folder), top_level_dir="."))
    for folder in sorted(Path(ADAPTER).rglob("tests")):
        suite.addTests(loader.discover(str(folder), top_level_dir=ADAPTER))
    return suite


def _known_red() -> dict[str, str]:
    if not KNOWN_RED_FILE.exists():
        return {}
    lines = [line for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_MOST:
        raise SystemExit(f"KNOWN-RED.txt lists {len(lines)} tests; {KNOWN_RED_MOST} at most")
    split = [line.split(",", 1) for line in lines]
    return {name.strip(): cause.strip() for name, cause in split}


if __name__ == "__main__":
    sys.exit(main())
