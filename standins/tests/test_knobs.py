"""Knobs are checked before they are set."""

import unittest
from dataclasses import fields
from pathlib import Path

from standins._knobs import BadKnobs, changed
from standins.platform import PlatformKnobs
from standins.searcher import SearcherKnobs


class KnobsTest(unittest.TestCase):
    def test_some_are_changed(self):
        knobs = changed(SearcherKnobs(), {"slots": 3, "health_state": None, "median_ms": 4})
        self.assertEqual((knobs.slots, knobs.median_ms), (3, 4))

    def test_unknown_and_wrong_are_named(self):
        bad = changed(
            SearcherKnobs(),
            {"slot": 3, "slots": True, "draining": 1, "sigma": -1, "shed_probability": 1.5},
        )
        self.assertEqual(bad.unknown, ("slot",))
        self.assertEqual(bad.wrong, ("slots", "draining", "sigma", "shed_probability"))

    def test_collections(self):
        self.assertIsInstance(changed(PlatformKnobs(), {"stale_revision": 3}), BadKnobs)
        knobs = changed(PlatformKnobs(), {"cut_off": ["a"]})
        self.assertEqual(knobs.cut_off, ["a"])

    def test_every_knob_is_documented_with_its_default(self):
        page = Path(__file__).parents[2] / "docs" / "standins.md"
        lines = [line.split("|")[1:3] for line in page.read_text().splitlines() if "|" in line]
        told = {name.strip(" `"): default.strip() for name, default in lines}
        for knobs in (SearcherKnobs(), PlatformKnobs()):
            for item in fields(knobs):
                default = getattr(knobs, item.name)
                wanted = (
                    "null" if default is None else f"{default:g}" if item.type is float else None
                )
                self.assertEqual(told.get(item.name), wanted or str(default).lower(), item.name)
