"""Processes of stand-ins driven over sockets: what a caller sees, and what the history keeps."""

import socket
import tempfile
import unittest
from urllib.error import HTTPError

import orjson

from standins import records
from standins.fleet import Fleet, answers, call, free_ports, wait_until

WAIT_S = 10.0
RUN = {"ticket": "t1", "action": "parts-order", "body": {}, "deadline_ms": 5000}
SEARCH = {
    "call": "e1.1.1.0",
    "collection": "overhauls",
    "version": 41,
    "lo": 0,
    "hi": 8192,
    "text": "bearing",
    "limit": 3,
    "deadline_ms": 5000,
}


def post(path, document):
    body = orjson.dumps(document)
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_S)


def receive_all(connection):
    data = b""
    while piece := connection.recv(65_536):
        data += piece
    return data


def exchange(port, data):
    """Send, then read until the stand-in closes the connection."""
    with connect(port) as connection:
        connection.sendall(data)
        return receive_all(connection)


class FleetCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(folder.name)
        self.addCleanup(self.fleet.stop)


class SearcherCase(FleetCase):
    def setUp(self):
        super().setUp()
        holdings = {"overhauls": {"41": [[0, 8192]]}}
        config = {"searchers": [{"name": "a", "holdings": holdings}, {"name": "b"}]}
        self.process = self.fleet.searchers("searchers", config)
        self.port = self.process.port("a")

    def set(self, searcher="a", **knobs):
        return call(self.process.control_port, f"/standin?searcher={searcher}", knobs)

    def figures(self):
        return call(self.process.control_port, "/standin")["a"]["figures"]

    def refusal(self, path, document, port=None):
        with self.assertRaises(HTTPError) as caught:
            call(port or self.port, path, document)
        return caught.exception.code, orjson.loads(caught.exception.read())


class SearcherTest(SearcherCase):
    def test_search_gives_what_the_records_say(self):
        answer = call(self.port, "/search", SEARCH)
        self.assertEqual(answer["call"], "e1.1.1.0")
        self.assertEqual(answer["records"], records.record_count("overhauls", 41, 0, 8192))
        wanted = records.hits("overhauls", 41, 0, 8192, "bearing", 3)
        self.assertEqual(answer["hits"], list(wanted))

    def test_health_follows_the_holdings(self):
        change = {"collection": "overhauls", "version": 42, "ranges": [[0, 4096]]}
        call(self.port, "/standin", {"publish": [change]})
        call(self.port, "/standin", {"drop": [{"collection": "overhauls", "version": 41}]})
        held = call(self.port, "/health")["collections"]["overhauls"]
        count = records.record_count("overhauls", 42, 0, 4096)
        wanted = {
            "total_records": records.total_records("overhauls", 42),
            "ranges": [{"lo": 0, "hi": 4096, "records": count}],
        }
        self.assertEqual(held, {"42": wanted})
        self.assertEqual(self.refusal("/search", SEARCH), (409, {"code": "version-gone"}))

    def test_requests_on_one_connection_are_answered_in_order(self):
        calls = [{**SEARCH, "call": f"c{number}"} for number in range(3)]
        with connect(self.port) as connection:
            connection.sendall(b"".join(post("/search", document) for document in calls))
            data = b""
            while data.count(b'"hits"') < 3:
                data += connection.recv(65_536)
        places = [data.index(f'"c{number}"'.encode()) for number in range(3)]
        self.assertEqual(places, sorted(places))
        self.assertEqual(self.figures()["most_waiting"], 0)

    def test_one_request_at_a_time_on_a_connection(self):
        self.set(median_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            self.assertTrue(wait_until(lambda: self.figures()["busy"] == 1))
            connection.sendall(post("/search", {**SEARCH, "call": "c2"}))
            call(self.port, "/health")
            self.assertEqual(self.figures()["searches"], 1)

    def test_cancel_stops_a_search(self):
        self.set(median_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            self.assertTrue(wait_until(lambda: self.figures()["busy"] == 1))
            call(self.port, "/cancel", {"call": SEARCH["call"]})
            self.assertIn(b'"cancelled"', connection.recv(65_536))
        self.assertEqual(self.figures()["busy"], 0)

    def test_closed_connection_stops_a_search(self):
        self.set(median_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            self.assertTrue(wait_until(lambda: self.figures()["busy"] == 1))
        self.assertTrue(wait_until(lambda: self.figures()["busy"] == 0))
        self.assertEqual(self.figures()["cancelled"], 1)

    def test_draining_is_told_by_header(self):
        self.set(draining=True, drain_grace_ms=60_000)
        close = post("/search", SEARCH).replace(b"Host: a", b"Host: a\r\nConnection: close")
        self.assertIn(b"\r\nDraining: 1\r\n", exchange(self.port, close))

    def test_unknown_knob_is_refused(self):
        status, body = self.refusal("/standin", {"slot": 1})
        self.assertEqual((status, body["unknown"]), (400, ["slot"]))

    def test_malformed_change_is_refused_and_changes_nothing(self):
        control = self.process.control_port
        for path in ("/standin?searcher=a", "/standin?searcher=c"):
            change = {"slots": 9, "publish": [{"collection": "overhauls"}]}
            self.assertEqual(self.refusal(path, change, control)[0], 400)
        self.assertEqual(call(self.port, "/standin")["knobs"]["slots"], 2)


class ConnectionTest(SearcherCase):
    def test_connections_above_the_cap_are_closed(self):
        self.set(connections=1)
        with connect(self.port) as kept:
            self.assertTrue(wait_until(lambda: self.figures()["connections"]["most_open"] == 1))
            self.assertEqual(exchange(self.port, b""), b"")
            kept.sendall(post("/search", SEARCH))
            self.assertIn(b" 200 ", kept.recv(65_536))
        self.assertEqual(self.figures()["connections"]["closed_above_cap"], 1)

    def test_new_connection_is_held(self):
        self.set(connect_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            self.assertTrue(wait_until(lambda: self.figures()["connections"]["accepted"] == 1))
            call(self.process.control_port, "/standin")
            self.assertEqual(self.figures()["searches"], 0)

    def test_lost_answer_closes_the_connection_after_execution(self):
        self.set(drop_answer_probability=1.0)
        self.assertEqual(exchange(self.port, post("/search", SEARCH)), b"")
        self.assertEqual(self.figures()["searched"], 1)

    def test_cut_answer_ends_within_its_body(self):
        self.set(cut_answer_probability=1.0)
        head, _, body = exchange(self.port, post("/search", SEARCH)).partition(b"\r\n\r\n")
        (length,) = [line for line in head.split(b"\r\n") if line.startswith(b"Content-Length")]
        self.assertTrue(0 < len(body) < int(length.split()[1]))

    def test_duplicate_answer(self):
        self.set(duplicate_answer_probability=1.0)
        close = post("/search", SEARCH).replace(b"Host: a", b"Host: a\r\nConnection: close")
        self.assertEqual(exchange(self.port, close).count(b'"e1.1.1.0"'), 2)

    def test_malformed_requests(self):
        chunked = b"POST /search HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        negative = b"POST /search HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"
        for data in (chunked, negative, b"nonsense\r\n\r\n"):
            self.assertIn(b" 400 ", exchange(self.port, data).split(b"\r\n")[0])
        self.assertEqual(self.refusal("/search", {"call": "c1"}), (400, {"code": "malformed"}))

    def test_silent_neither_answers_nor_executes(self):
        self.set(silent=True)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            connection.settimeout(0.1)
            with self.assertRaises(TimeoutError):
                connection.recv(1)
        self.assertEqual(self.figures()["searches"], 0)

    def test_lost_searcher_refuses_connections_until_it_is_back(self):
        self.set(lost=True)
        with self.assertRaises(ConnectionError):
            connect(self.port)
        self.set(lost=False)
        answer = call(self.port, "/search", SEARCH)
        self.assertEqual(answer["call"], "e1.1.1.0")

    def test_restart_loses_requests_and_raises_the_incarnation(self):
        self.set(median_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/search", SEARCH))
            self.assertTrue(wait_until(lambda: self.figures()["busy"] == 1))
            self.set(restart=True)
            self.assertEqual(connection.recv(1), b"")
        health = call(self.port, "/health")
        self.assertEqual((health["incarnation"], health["busy"]), (2, 0))


class HistoryTest(SearcherCase):
    def events(self, *names):
        return [event for event in self.process.history() if event["event"] in names]

    def test_holds_a_run_when_killed_after_its_answer(self):
        answer = call(self.process.port("b"), "/run", RUN)
        self.assertEqual(answer["ticket"], "t1")
        self.process.kill()
        runs = [(run["searcher"], run["ticket"]) for run in self.events("run")]
        self.assertEqual(runs, [("b", "t1")])

    def test_holds_a_run_whose_answer_is_never_given(self):
        self.set(run_lose_probability=1.0)
        self.assertEqual(exchange(self.port, post("/run", RUN)), b"")
        self.process.kill()
        self.assertEqual([run["ticket"] for run in self.events("run")], ["t1"])

    def test_holds_a_run_when_killed_while_it_runs(self):
        self.set(run_ms=60_000)
        with connect(self.port) as connection:
            connection.sendall(post("/run", RUN))
            self.assertTrue(wait_until(lambda: self.figures()["runs"] == 1))
            self.process.kill()
        self.assertEqual([run["ticket"] for run in self.events("run")], ["t1"])

    def test_refused_run_is_not_among_the_runs(self):
        self.set(run_refuse_probability=1.0)
        self.assertEqual(self.refusal("/run", RUN)[0], 503)
        self.process.kill()
        self.assertEqual(self.events("run"), [])
        self.assertEqual([event["code"] for event in self.events("refuse")], ["refused"])

    def test_planned_stop_writes_everything(self):
        call(self.port, "/search", SEARCH)
        self.set("a,b", draining=True)
        self.process.terminate()
        self.assertEqual(self.process.wait(), 0)
        told = [(event["event"], event["searcher"]) for event in self.process.history()]
        wanted = [("start", "a"), ("start", "b"), ("search", "a"), ("done", "a")]
        self.assertEqual(told, [*wanted, ("drain", "a"), ("drain", "b")])


class PlatformTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.process = self.fleet.platform()
        self.port = self.process.port()
        call(self.port, "/standin/publish?key=rules", {"revision": 4})

    def figures(self):
        return call(self.port, "/standin/stats")["figures"]

    def test_get_and_watch(self):
        self.assertEqual(call(self.port, "/v1/config/rules"), {"revision": 4})
        self.assertEqual(call(self.port, "/v1/config/rules?after=3&wait_ms=9"), {"revision": 4})
        self.assertIsNone(call(self.port, "/v1/config/rules?after=4&wait_ms=9"))
        self.assertEqual(self.figures()["calls"], {"rules": {"127.0.0.1": 3}})

    def test_watch_is_told_of_a_publication_with_its_revision(self):
        watch = (
            b"GET /v1/config/rules?after=4&wait_ms=60000 HTTP/1.1\r\nHost: a\r\nReader: e1\r\n\r\n"
        )
        with connect(self.port) as connection:
            connection.sendall(watch)
            self.assertTrue(wait_until(lambda: self.figures()["watches"] == 1))
            self.assertEqual(self.figures()["calls"], {"rules": {"e1": 1}})
            call(self.port, "/standin/publish?key=rules&revision=5", "not a document")
            data = connection.recv(65_536)
        self.assertIn(b"\r\nRevision: 5\r\n", data)
        self.assertTrue(data.endswith(b'"not a document"'))

    def test_unreachable_closes_and_down_refuses(self):
        call(self.port, "/standin", {"unreachable": True})
        get = b"GET /v1/config/rules HTTP/1.1\r\nHost: a\r\n\r\n"
        self.assertEqual(exchange(self.port, get), b"")
        call(self.port, "/standin", {"unreachable": False, "down": True, "delay_ms": 5})
        with self.assertRaises(HTTPError) as caught:
            call(self.port, "/v1/config/rules")
        self.assertEqual(caught.exception.code, 503)
        caught.exception.close()

    def test_malformed_calls(self):
        for path in ("/standin/publish?key=other", "/standin/publish?key=rules", "/standin"):
            with self.assertRaises(HTTPError) as caught:
                call(self.port, path, [1])
            self.assertEqual(caught.exception.code, 400)
            caught.exception.close()
        get = b"GET /v1/config/rules?after=x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        self.assertIn(b" 400 ", exchange(self.port, get))

    def test_history_tells_calls_and_publications(self):
        call(self.port, "/v1/config/rules")
        self.process.terminate()
        self.process.wait()
        told = [event["event"] for event in self.process.history()]
        self.assertEqual(told, ["publish", "get"])


class FleetTest(FleetCase):
    def test_frozen_process_answers_after_the_thaw(self):
        process = self.fleet.platform()
        process.freeze()
        with connect(process.port()) as connection:
            connection.sendall(b"GET /standin HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            connection.settimeout(0.1)
            with self.assertRaises(TimeoutError):
                connection.recv(1)
            process.thaw()
            connection.settimeout(WAIT_S)
            self.assertIn(b" 200 ", receive_all(connection))

    def test_leaving_ends_frozen_processes_too(self):
        with self.fleet:
            process = self.fleet.platform()
            process.freeze()
        self.assertFalse(process.is_running())

    def test_bad_knob_is_told_instead_of_a_ready_line(self):
        with self.assertRaises(ChildProcessError):
            self.fleet.platform(config={"knobs": {"hangs": True}})

    def test_answers_tells_success_from_refusal_and_absence(self):
        process = self.fleet.platform()
        self.assertTrue(answers(process.port(), "/standin"))
        self.assertFalse(answers(process.port(), "/v1/config/rules"))
        process.kill()
        self.assertFalse(answers(process.port(), "/standin"))

    def test_free_ports_differ(self):
        self.assertEqual(len(set(free_ports(20))), 20)
