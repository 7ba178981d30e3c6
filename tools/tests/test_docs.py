"""The documentation: links resolve, examples parse and run, tables name what the code has."""

import importlib
import os
import re
import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import orjson

from rhubarbhinge.once import OutcomeCode
from standins.deployment import BY_DOMAIN, LOOPBACK, LiveDeployment, Size
from standins.fleet import Fleet
from tools.tests._pages import ROOT, Block, anchors, blocks, links, pages

TIMEOUT_S = 60.0
#: The command of the package, and a curl that fails on statuses of errors.
PRELUDE = f"""
set -euo pipefail
rhubarbhinge() {{ {sys.executable} -m rhubarbhinge.cli "$@"; }}
curl() {{ command curl --fail-with-body "$@"; }}
"""


def all_blocks(*languages: str) -> list[Block]:
    return [block for page in pages() for block in blocks(page) if block.language in languages]


def run_shell(text: str, variables: dict[str, str]) -> subprocess.CompletedProcess:
    return _run(["bash", "-c", PRELUDE + text], variables)


def run_python(text: str, variables: dict[str, str]) -> subprocess.CompletedProcess:
    return _run([sys.executable, "-c", text], variables)


def _run(command: list[str], variables: dict[str, str]) -> subprocess.CompletedProcess:
    environment = {**os.environ, **variables}
    return subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S
    )


class LinkTest(unittest.TestCase):
    def test_links_lead_to_pages_and_headings_that_exist(self):
        broken = [
            f"{page.name}: {target}"
            for page in pages()
            for target in links(page)
            if not _resolves(page, target)
        ]
        self.assertEqual([], broken)

    def test_the_index_leads_to_every_page(self):
        index = ROOT / "docs/index.md"
        listed = {(index.parent / target).resolve() for target in links(index)}
        here = set(index.parent.glob("*.md")) - {index}
        self.assertEqual([], sorted(page.name for page in here - listed))


def _resolves(page: Path, target: str) -> bool:
    path, _, anchor = target.partition("#")
    found = (page.parent / path).resolve() if path else page
    return found.exists() and (not anchor or anchor in anchors(found))


class ExampleTest(unittest.TestCase):
    def test_examples_parse(self):
        for block in all_blocks("python", "json", "sh"):
            with self.subTest(page=block.page.name, text=block.text[:60]):
                if block.language == "python":
                    compile(block.text, block.page.name, "exec")
                elif block.language == "json":
                    orjson.loads(block.text)
                else:
                    found = subprocess.run(["bash", "-n", "-c", block.text], capture_output=True)
                    self.assertEqual((0, b""), (found.returncode, found.stderr))

    def test_examples_that_need_only_the_tree_run(self):
        runs = {"sh": run_shell, "python": run_python}
        for block in all_blocks(*runs):
            if "run" in block.marks:
                with self.subTest(page=block.page.name, text=block.text[:60]):
                    found = runs[block.language](block.text, {})
                    self.assertEqual(0, found.returncode, found.stderr)

    @unittest.skipUnless(shutil.which("curl"), "the examples call curl")
    def test_examples_run_against_a_deployment(self):
        with tempfile.TemporaryDirectory() as folder, Fleet(folder) as fleet:
            deployment = LiveDeployment(fleet, "kingston", Size(0.1, 1, BY_DOMAIN))
            deployment.start_nodes()
            entry, other, *_ = [f"{LOOPBACK}:{vm.entry_http}" for vm in deployment.vms]
            relay = f"{LOOPBACK}:{deployment.vms[0].relay_http}"
            variables = {"ENTRY": entry, "OTHER": other, "RELAY": relay}
            for page in pages():
                with self.subTest(page=page.name):
                    self._run_page(page, variables)
            dead = [
                f"{process.name}: {(Path(folder) / f'{process.name}.err').read_text()[-500:]}"
                for vm in deployment.vms
                for process in vm.nodes.values()
                if not process.is_running()
            ]
            self.assertEqual([], dead)

    def _run_page(self, page, variables):
        live = [block for block in blocks(page) if "live" in block.marks]
        for block in live:
            if block.language == "python":
                found = run_python(block.text, variables)
                self.assertEqual(0, found.returncode, f"{page.name}: {found.stderr}")
        # One shell a page, since later blocks use the variables of earlier ones.
        text = "\n".join(block.text for block in live if block.language == "sh")
        found = run_shell(text, variables)
        self.assertEqual(0, found.returncode, f"{page.name}: {found.stdout} {found.stderr}")


class TableTest(unittest.TestCase):
    def test_the_callers_page_names_every_code_of_an_outcome(self):
        page = (ROOT / "docs/callers.md").read_text()
        unnamed = [code.value for code in OutcomeCode if f"`{code.value}`" not in page]
        self.assertEqual([], unnamed)

    def test_the_operators_page_tells_what_to_do_about_every_event(self):
        page = (ROOT / "docs/operators.md").read_text()
        calls = re.compile(r"log_event\(\s*(?P<names>[^,)]+)")
        sources = [path.read_text() for path in (ROOT / "rhubarbhinge/daemons").glob("*.py")]
        names = {
            name
            for source in sources
            for match in calls.finditer(source)
            for name in re.findall(r'"([a-z-]+)"', match["names"])
        }
        self.assertIn("ready", names)
        self.assertEqual([], sorted(name for name in names if f"`{name}`" not in page))

    def test_the_glossary_names_what_exists(self):
        names = [
            name
            for line in (ROOT / "docs/GLOSSARY.md").read_text().splitlines()
            if line.startswith("| ")
            for name in re.findall(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`", line.split("|")[-2])
        ]
        self.assertTrue(names)
        self.assertEqual([], [name for name in names if not _exists(name)])


def _exists(name: str) -> bool:
    module_path, _, rest = name.partition(".")
    found = importlib.import_module(f"rhubarbhinge.{module_path}")
    for part in rest.split("."):
        if not hasattr(found, part):
            return False
        found = getattr(found, part)
    return True


if __name__ == "__main__":
    unittest.main()
