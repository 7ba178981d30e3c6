"""The documentation's pages: their fenced blocks, links and headings."""

import re
from dataclasses import dataclass
from pathlib import Path
from textwrap import dedent

ROOT = Path(__file__).resolve().parents[2]
_FENCE = re.compile(r"^ *```(?P<info>[^\n`]*)\n(?P<text>.*?)^ *```$", re.MULTILINE | re.DOTALL)
_LINK = re.compile(r"\]\((?P<target>[^)\s]+)\)")
_CODE = re.compile(r"`[^`\n]*`")
_HEADING = re.compile(r"^#+ +(?P<text>.+)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Block:
    """A fenced block.

    :param page: the page that it is on.
    :param language: first word after the fence.
    :param marks: the other words: ``run`` where nothing but the tree is needed, ``live`` where a
        deployment is.
    :param text: its lines.
    """

    page: Path
    language: str
    marks: frozenset[str]
    text: str


def pages() -> list[Path]:
    """Give all pages of the documentation."""
    return sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def blocks(page: Path) -> list[Block]:
    """Give a page's fenced blocks, in order."""
    found = []
    for match in _FENCE.finditer(page.read_text()):
        language, *marks = match["info"].split() or [""]
        found.append(Block(page, language, frozenset(marks), dedent(match["text"])))
    return found


def links(page: Path) -> list[str]:
    """Give the targets of a page's links, but for those to other sites."""
    prose = _CODE.sub("", _FENCE.sub("", page.read_text()))
    targets = [match["target"] for match in _LINK.finditer(prose)]
    return [target for target in targets if "://" not in target]


def anchors(page: Path) -> set[str]:
    """Give the anchors of a page's headings, as the usual renderers make them."""
    prose = _FENCE.sub("", page.read_text())
    return {_anchor(match["text"]) for match in _HEADING.finditer(prose)}


def _anchor(heading: str) -> str:
    kept = re.sub(r"[^\w\- ]", "", heading.lower())
    return kept.strip().replace(" ", "-")
