"""Every event of an entry on the operators' platform stands in docs/telemetry.md."""

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from tools.tests._pages import ROOT

PACKAGES = (
    "rhubarbhinge/delegation",
    "rhubarbhinge/forward",
    "rhubarbhinge/gateway",
    "rhubarbhinge/gather",
    "rhubarbhinge/peers",
    "rhubarbhinge/published",
    "rhubarbhinge/quarantine",
    "platform/rhubarbhinge_platform",
)
PASSED_ON = frozenset(("level", "services"))
"""Keywords of the calls that are no fields of the event."""


def logged() -> Iterator[tuple[str, set[str]]]:
    """Give name and fields of each event that the code writes."""
    for package in PACKAGES:
        for path in Path(ROOT, package).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and _is_event(node):
                    fields = {word.arg for word in node.keywords if word.arg} - PASSED_ON
                    yield node.args[0].value, fields


def _is_event(call: ast.Call) -> bool:
    name = getattr(call.func, "attr", getattr(call.func, "id", ""))
    first = call.args[0] if call.args else None
    return name in ("log_event", "note") and isinstance(first, ast.Constant)


class EventsTest(unittest.TestCase):
    def test_each_event_and_its_fields_are_documented(self):
        text = (ROOT / "docs" / "telemetry.md").read_text()
        section = text[text.index("## Events of an entry on the operators") :]
        rows = [line for line in section.splitlines() if line.startswith("| `")]
        seen = 0
        for name, fields in logged():
            with self.subTest(name):
                found = [row for row in rows if f"`{name}`" in row.split("|")[1]]
                self.assertEqual(len(found), 1, name)
                told = set(re.findall(r"[a-z_]+", found[0].split("|")[2]))
                self.assertEqual(fields - told, set())
            seen += 1
        self.assertGreater(seen, 20)
