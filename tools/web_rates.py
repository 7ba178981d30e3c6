"""Requests a second of the HTTP server and client, beside circuits.web; prints a table.

Each part under test has a process of its own, as has the peer, a bare socket loop.
"""

import multiprocessing
import selectors
import socket
import sys
import time
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.web import Controller, Server

from rhubarbhinge.timing import TimerService
from rhubarbhinge.utils.testing import run_until
from rhubarbhinge.web import HttpConnections, HttpServer, Response

MEASURED_S = 5.0
WARM_UP_S = 1.0
CALLERS = 4
UPSTREAM_CONNS = (4, 50)
REQUEST = b"GET /hello HTTP/1.1\r\nHost: 127.0.0.1\r\nAccept: */*\r\n\r\n"
SEARCH = b'{"call":"e1.17.3.0","collection":"overhauls","version":41,"text":"bearing"}' * 2
HIT = b'{"id":"overhauls-00017","score":0.91,"title":"bearing housing"}'
REPLY_BODY = b'{"hits":[' + b",".join([HIT] * 10) + b"]}"
REPLY_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
REPLY = REPLY_HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(REPLY_BODY), REPLY_BODY)
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
CHUNKED_REPLY = REPLY_HEAD + CHUNKS % (len(REPLY_BODY), REPLY_BODY)


def main() -> None:
    """Measure each part once and print requests a second and CPU time a request."""
    print(f"{'part':<44}{'requests/s':>12}{'CPU us/request':>16}")
    _show("circuits.web hello, 4 callers", _serve(_run_circuits_web))
    _show("HttpServer hello, 4 callers", _serve(_run_http_server))
    for conns in UPSTREAM_CONNS:
        _show(f"HttpConnections, {conns} connections", call(conns, REPLY))
    _show("same, chunked replies (full parse)", call(UPSTREAM_CONNS[-1], CHUNKED_REPLY))


def _show(part: str, figures: tuple[float, float]) -> None:
    rate, cpu_us = figures
    print(f"{part:<44}{rate:>12.0f}{cpu_us:>16.0f}", flush=True)


def _serve(run: Callable) -> tuple[float, float]:
    ours, theirs = multiprocessing.Pipe()
    server = multiprocessing.Process(target=run, args=(theirs,), daemon=True)
    server.start()
    port = ours.recv()
    _drive(port, WARM_UP_S)
    ours.send("cpu")
    cpu_before_s = ours.recv()
    done, elapsed_s = _drive(port, MEASURED_S)
    ours.send("cpu")
    cpu_s = ours.recv() - cpu_before_s
    server.terminate()
    server.join()
    return done / elapsed_s, cpu_s / done * 1e6


def _drive(port: int, duration_s: float) -> tuple[int, float]:
    selector = selectors.DefaultSelector()
    for _ in range(CALLERS):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(REQUEST)
        selector.register(sock, selectors.EVENT_READ)
    start_s = time.monotonic()
    done = 0
    while time.monotonic() - start_s < duration_s:
        for key, _ in selector.select(1.0):
            if not key.fileobj.recv(65536):
                raise SystemExit("the server closed a connection")
            done += 1
            key.fileobj.sendall(REQUEST)
    elapsed_s = time.monotonic() - start_s
    for key in list(selector.get_map().values()):
        key.fileobj.close()
    return done, elapsed_s


class _CpuReporter(BaseComponent):
    """Answers each message on a pipe with the process's CPU time."""

    def __init__(self, pipe):
        super().__init__()
        self._pipe = pipe

    @handler("generate_events", priority=1)
    def _on_turn(self, event) -> None:
        event.reduce_time_left(0.05)
        if self._pipe.poll():
            self._pipe.recv()
            self._pipe.send(time.process_time())


class _Hello(Controller):
    def hello(self):
        return "hello"


def _run_circuits_web(pipe) -> None:
    server = Server(("127.0.0.1", 0))
    _Hello().register(server)
    _CpuReporter(pipe).register(server)
    run_until(server, lambda: server.port, 5.0)
    pipe.send(server.port)
    server.run()


def _run_http_server(pipe) -> None:
    root = BaseComponent()
    timers = TimerService().register(root)
    hello = Response(200, b"hello", content_type="text/plain")
    server = HttpServer(
        timers, lambda request, responder: responder.answer(hello), ("127.0.0.1", 0)
    )
    server.register(root)
    _CpuReporter(pipe).register(root)
    pipe.send(server.bound_port)
    root.run()


def call(conns: int, reply: bytes, measured_s: float = MEASURED_S) -> tuple[float, float]:
    """Measure the client against a bare socket loop in a process of its own.

    :param conns: connections, each with one request under way.
    :param reply: what the other side answers.
    :param measured_s: how long to measure.
    :returns: requests a second, and CPU time a request in us.
    """
    ours, theirs = multiprocessing.Pipe()
    upstream = multiprocessing.Process(target=_run_upstream, args=(theirs, reply), daemon=True)
    upstream.start()
    figures = _call_upstream(ours.recv(), conns, measured_s)
    upstream.terminate()
    upstream.join()
    return figures


def _run_upstream(pipe, reply: bytes) -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    pipe.send(listener.getsockname()[1])
    while True:
        for key, _ in selector.select():
            if key.fileobj is listener:
                sock, _ = listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(sock, selectors.EVENT_READ)
            elif key.fileobj.recv(65536):
                key.fileobj.sendall(reply)
            else:
                selector.unregister(key.fileobj)
                key.fileobj.close()


def _call_upstream(port: int, conns: int, measured_s: float) -> tuple[float, float]:
    root = BaseComponent()
    timers = TimerService().register(root)
    done = 0

    def ask(conn: int) -> None:
        upstreams.request(conn, "POST", "/search", SEARCH, (), 1000.0)

    def replied(conn: int, reply) -> None:
        nonlocal done
        done += 1
        ask(conn)

    def closed(conn: int, reason: str) -> None:
        raise SystemExit(f"a connection closed: {reason}")

    upstreams = HttpConnections(timers, ask, replied, closed).register(root)
    for _ in range(conns):
        upstreams.open("127.0.0.1", port, 1000.0)
    _pump(root, WARM_UP_S)
    before, cpu_before_s, start_s = done, time.process_time(), time.monotonic()
    _pump(root, measured_s)
    elapsed_s = time.monotonic() - start_s
    cpu_s = time.process_time() - cpu_before_s
    return (done - before) / elapsed_s, cpu_s / (done - before) * 1e6


def _pump(root: BaseComponent, duration_s: float) -> None:
    end_s = time.monotonic() + duration_s
    run_until(root, lambda: time.monotonic() > end_s, duration_s + 1.0)


if __name__ == "__main__":
    sys.exit(main())
