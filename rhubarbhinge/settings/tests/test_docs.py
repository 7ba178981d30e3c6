"""Test that docs/settings.md lists all settings and no others."""

import dataclasses
import unittest
from pathlib import Path

from rhubarbhinge.settings import KEY_FILE, SETTINGS, NodeSettings


class DocsTest(unittest.TestCase):
    def test_table_lists_exactly_the_settings(self):
        lines = Path("docs/settings.md").read_text().splitlines()
        rows = [line for line in lines if "`RHUBARBHINGE_" in line and line.startswith("|")]
        defaults = {field.name: field.default for field in dataclasses.fields(NodeSettings)}
        expected = {_row(KEY_FILE, "")}
        for setting in SETTINGS:
            default = "required" if setting.required else defaults[setting.name] or "none"
            expected.add(_row(setting, default))
        self.assertEqual(set(rows), expected)


def _row(setting, default):
    flag = "none" if setting.secret else f"`{setting.flag}`"
    cells = (flag, f"`{setting.variable}`", str(default), setting.summary)
    return ("| " + " | ".join(cells) + " |").replace("|  |", "| |")


if __name__ == "__main__":
    unittest.main()
