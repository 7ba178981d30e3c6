"""The command line: help, usage errors, offline commands, daemons, answers shown."""

import contextlib
import inspect
import io
import json
import os
import sys
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from rhubarbhinge.cli import main
from rhubarbhinge.cli._http import CallFailed, HttpAnswer, HttpCall
from rhubarbhinge.cli._main import COMMANDS
from rhubarbhinge.cli._search import search_by
from rhubarbhinge.cli._status import lay_out, status_by

KINGSTON = ("examples/kingston/register.json", "examples/kingston/rules.json")
CALL = HttpCall("GET", "http://127.0.0.1:1/", 1)


def invoke(*words):
    """Run the command.

    :returns: Exit code, standard output and standard error.
    """
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main(words)
    return code, out.getvalue(), err.getvalue()


class HelpTest(unittest.TestCase):
    def test_overview_lists_every_command(self):
        for words in ((), ("--help",), ("-h",), ("help",)):
            code, out, err = invoke(*words)
            self.assertEqual((code, err), (0, ""))
            for name in COMMANDS:
                self.assertIn(f"  {name} ", out)

    def test_each_command_describes_each_argument(self):
        for name, command in COMMANDS.items():
            code, out, _ = invoke(name, "--help")
            self.assertEqual(code, 0)
            self.assertNotIn(":param", out)
            for parameter in inspect.signature(command).parameters.values():
                if parameter.kind is not parameter.VAR_KEYWORD:
                    self.assertRegex(command.__doc__, f":param {parameter.name}: .+")

    def test_daemons_list_settings(self):
        out = invoke("entry", "--help")[1]
        self.assertRegex(out, r"--peer-port .*required")
        self.assertNotRegex(out, r"--deployment-key ")


class UsageTest(unittest.TestCase):
    def test_wrong_command_lines_run_nothing(self):
        for words in (
            ("none",),
            ("values",),
            ("check",),
            ("check", *KINGSTON, "extra"),
            ("check", *KINGSTON, "--nope=1"),
            ("check", *KINGSTON, "--", "--interactive"),
            ("entry", "extra"),
            ("status", "localhost:1"),
            ("status", "127.0.0.1:0"),
            ("search", "127.0.0.1:1", "c", "t", "--limit=0"),
            ("run", "127.0.0.1:1", "a", "[]"),
            ("run", "127.0.0.1:1", "a", "{"),
            ("run", "127.0.0.1:1", "a", "@/no/such/file"),
            ("run", "127.0.0.1:1", "a", "{}", "--key=\n"),
            ("outcome", "127.0.0.1:1", "../x"),
        ):
            code, out, err = invoke(*words)
            self.assertEqual((code, out), (2, ""), words)
            self.assertRegex(err, r'\Aerror code=usage message=".*" todo=".*"\n\Z')

    def test_no_answer(self):
        code, out, err = invoke("run", "127.0.0.1:1", "a", "{}")
        self.assertEqual((code, out), (3, "refused_not_run\n"))
        self.assertIn("code=no-ticket", err)
        self.assertEqual(invoke("status", "127.0.0.1:1")[0], 1)


class OfflineTest(unittest.TestCase):
    def test_check_good(self):
        code, out, err = invoke("check", *KINGSTON)
        self.assertEqual((code, err), (0, ""))
        self.assertIn("good: kingston, register 1, rules 1", out)

    def test_check_names_faults_of_both_files(self):
        rules = json.loads(Path(KINGSTON[1]).read_text())
        rules["never_repeat"] += ["odrer"]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "rules.json")
            path.write_text(json.dumps(rules))
            code, out, err = invoke("check", KINGSTON[0], str(path))
            self.assertEqual((code, out), (1, ""))
            self.assertIn(f'place="{path}: never_repeat[2]"', err)
            path.write_text(json.dumps(rules | {"revision": 0}))
            code, out, err = invoke("check", f"{folder}/none", str(path))
            self.assertEqual(err.count("error code="), 2)

    def test_check_says_how_many_faults_it_left_out(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "register.json")
            path.write_text(json.dumps({"upstreams": [0] * 200}))
            err = invoke("check", str(path), KINGSTON[1])[2]
        missing_before = 4  # revision, tenant, failure_domains, systems
        self.assertEqual(err.count("code=wrong-type"), 100 - missing_before)
        self.assertIn("code=more-faults", err)

    def test_explain(self):
        code, out, _ = invoke("explain", *KINGSTON, "regulator-reports", "--traffic-class=planning")
        self.assertEqual(code, 0)
        self.assertIn("sub-queries: 12, one a shard", out)
        self.assertIn("0.6 sub-queries a query", out)
        self.assertRegex(out, r"kgn-a +1 +3 +100 % +66.6 %, refused")
        self.assertEqual(invoke("explain", *KINGSTON, "none")[0], 1)
        self.assertEqual(invoke("explain", *KINGSTON, "overhauls", "--traffic-class=x")[0], 1)

    def test_explain_counts_leaving_upstreams_as_gone(self):
        register = json.loads(Path(KINGSTON[0]).read_text())
        for upstream in register["upstreams"]:
            upstream["leaving"] = upstream["system"] == "outage-search-desk"
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "register.json")
            path.write_text(json.dumps(register))
            out = invoke("explain", str(path), KINGSTON[1], "overhauls")[1]
        self.assertIn("replicas: 0 to 0 a shard", out)
        self.assertIn("leaving upstreams: 40", out)
        self.assertIn("covered now: 0 %, refused", out)


class DaemonTest(unittest.TestCase):
    FLAGS = (
        "--name=kgn-a-1",
        "--failure-domain=kgn-a",
        "--ip=127.0.0.1",
        "--peer-port=7001",
        "--http-port=8001",
        "--platform=127.0.0.1:6000,127.0.0.1:6001",
    )

    def test_settings_reach_the_daemon(self):
        started = []
        daemons = types.ModuleType("rhubarbhinge.daemons")
        daemons.run_entry = started.append
        daemons.run_relay = mock.Mock(side_effect=OSError(98, "Address already in use"))
        variables = {"RHUBARBHINGE_DEPLOYMENT_KEY": "k" * 32}
        with mock.patch.dict(sys.modules, {"rhubarbhinge.daemons": daemons}):
            with mock.patch.dict(os.environ, variables):
                good, bad = (invoke(role, *self.FLAGS) for role in ("entry", "relay"))
        self.assertEqual((good[0], bad[0]), (0, 1))
        self.assertIn("error code=cannot-listen", bad[2])
        self.assertEqual(started[0].platform, ("127.0.0.1:6000", "127.0.0.1:6001"))
        daemons.run_relay.assert_called_once_with(started[0])

    def test_all_faults_and_no_start(self):
        code, _, err = invoke("relay", *self.FLAGS, "--deployment-key=show-me-not", "--nope")
        self.assertEqual(code, 1)
        self.assertEqual(err.count("error code="), 2)
        self.assertNotIn("show-me-not", err)


class AnswersTest(unittest.TestCase):
    FOUND = {
        "snapshot": {"collection": "overhauls", "version": 41},
        "coverage": {
            "fraction": 0.9999,
            "records": 9999,
            "total_records": 10000,
            "missing": [{"lo": 0, "hi": 8, "records": 1, "why": "deadline"}],
        },
        "hits": [{"id": "overhauls-1", "score": 0.5, "title": "bearing\x1b[2J"}],
    }

    def test_search(self):
        result = search_by(lambda call: HttpAnswer(200, self.FOUND), CALL, as_json=False)
        text = "\n".join(result.lines)
        self.assertEqual(result.exit_code, 0)
        self.assertIn("covered: 99.9 %, 9999 of 10000 records", text)
        self.assertIn("not covered: keys 0 to 8, 1 records, deadline", text)
        self.assertIn("snapshot: overhauls, version 41", text)
        self.assertNotIn("\x1b", text)

    def test_search_that_was_too_thin(self):
        error = {"code": "coverage-too-low", "message": "m", "todo": "t", "not_run": False}
        answer = HttpAnswer(503, {"error": error, "coverage": self.FOUND["coverage"]})
        result = search_by(lambda call: answer, CALL, as_json=False)
        self.assertEqual((result.exit_code, result.faults[0].code), (1, "coverage-too-low"))
        self.assertIn("covered: 99.9 %, 9999 of 10000 records", result.lines)
        self.assertNotIn("no hits", result.lines)

    def test_search_as_json(self):
        result = search_by(lambda call: HttpAnswer(200, self.FOUND), CALL, as_json=True)
        self.assertEqual(json.loads(result.lines[0]), self.FOUND)

    def test_answers_that_are_none(self):
        coded = {"code": "overloaded", "message": "busy", "todo": "wait.", "not_run": True}
        for answer, exit_code in (
            (CallFailed("timed out", sent=True), 1),
            (HttpAnswer(200, [1]), 1),
            (HttpAnswer(502), 1),
            (HttpAnswer(503, {"error": coded}), 3),
            (HttpAnswer(503, {"error": coded | {"not_run": False}}), 1),
        ):
            for ask in (search_by, status_by):
                result = ask(lambda call, answer=answer: answer, CALL, False)
                self.assertEqual((result.exit_code, len(result.faults)), (exit_code, 1))

    def test_status_layout(self):
        document = {
            "name": "kgn-a-1/entry",
            "ready": True,
            "config": {"register": {"revision": 3, "age_ms": 12}, "rules": {"revision": 1}},
            "members": [{"name": "a", "slots": 2}, {"name": "bcd", "slots": 10}],
            "mixed": [{"deep": {"deeper": [{"x": {}}]}}, 1],
            "nothing": {},
        }
        expected = [
            "name   kgn-a-1/entry",
            "ready  yes",
            "config:",
            "  name      revision  age_ms",
            "  register         3  12",
            "  rules            1  -",
            "members:",
            "  name  slots",
            "  a         2",
            "  bcd      10",
            "mixed:",
            '  {"deep": {"deeper": [{"x": {}}]}}',
            "  1",
            "nothing:",
        ]
        self.assertEqual(lay_out(document), expected)


if __name__ == "__main__":
    unittest.main()
