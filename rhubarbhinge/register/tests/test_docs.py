"""docs/register.md lists exactly the fault codes that the checks report."""

import re
import unittest
from pathlib import Path

SOURCES = Path("rhubarbhinge/register").glob("_*.py")
CODE = re.compile(r"[\"`]([a-z]+(?:-[a-z]+)+)[\"`]")
"""In the sources and on the page, only fault codes are quoted words that contain a hyphen."""


class DocsTest(unittest.TestCase):
    def test_documented_codes_match_the_sources(self):
        text = Path("docs/register.md").read_text()
        documented = set(CODE.findall(text.partition("## Faults")[2]))
        reported = {code for path in SOURCES for code in CODE.findall(path.read_text())}
        self.assertGreater(len(reported), 15)
        self.assertEqual(reported, documented)


if __name__ == "__main__":
    unittest.main()
