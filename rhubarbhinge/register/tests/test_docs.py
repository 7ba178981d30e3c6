"""docs/register.md lists each fault code that the checks give."""

import re
import unittest
from pathlib import Path

SOURCES = Path("rhubarbhinge/register").glob("_*.py")
CODE = re.compile(r"[\"`]([a-z]+(?:-[a-z]+)+)[\"`]")
"""Codes are the only words with dashes that stand alone, in the sources and in the page."""


class DocsTest(unittest.TestCase):
    def test_each_code_is_described(self):
        text = Path("docs/register.md").read_text()
        described = set(CODE.findall(text.partition("## Faults")[2]))
        given = {code for path in SOURCES for code in CODE.findall(path.read_text())}
        self.assertGreater(len(given), 15)
        self.assertEqual(given, described)


if __name__ == "__main__":
    unittest.main()
