"""Works out the target's figures from measured series."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from tools.slopes._series import Series
from tools.slopes.target import TARGET, cores, load_after_loss, per_row_us

#: Reports of load a second, by ``RelayPolicy.report_period_ms``.
_REPORTS_PER_S = 10.0
#: Failure domains of the deployment that was measured, with one relay each.
_MEASURED_DOMAINS = 3
#: Length of a frame's head.
_FRAME_BYTES = 4
_TARGET_RELAYS = 564
_RACK_NODES = 30
_MB = 1e6


@dataclass(frozen=True, slots=True)
class CapacityLine:
    """One figure at the target.

    :param name: what it is.
    :param value: its value.
    :param unit: the unit.
    """

    name: str
    value: float
    unit: str

    def __str__(self) -> str:
        return f"{self.name}: {self.value:.4g} {self.unit}"


def capacity_lines(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    """Work out the target.

    :param found: all series by name.
    :returns: the lines.
    """
    yield from _rates(found)
    yield from _entry(found)
    yield from _relay(found)
    yield from _reports(found)
    yield from _documents(found)
    yield from _memory(found)
    yield from _control(found)
    yield from _losses(found)


def _rates(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    yield CapacityLine("queries an entry", TARGET.entry_queries_per_s(), "a second")
    yield CapacityLine("sub-queries an entry, and a relay", _rate(), "a second")
    yield CapacityLine("sub-queries a searcher", TARGET.searcher_sub_queries_per_s(), "a second")
    yield CapacityLine("searchers a relay", TARGET.searchers_a_relay(), "")
    yield CapacityLine("searchers a failure domain", TARGET.searchers_a_domain(), "")
    yield CapacityLine("messages a query, cells", _messages(found), "")
    yield CapacityLine("sub-queries a message, cells", _rows(found), "")
    reply = found["ReplyBatch, length"].line().slope
    yield CapacityLine("answers' bytes into an entry", _rate() * reply / _MB, "MB/s")


def _entry(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    core_us = found["query core, by answers a message"].median(6)
    rows = _rows(found)
    codec_us = _row_us(found, "SubBatch, encode", rows) + _row_us(found, "ReplyBatch, decode", rows)
    single_us = _row_us(found, "ReplyBatch, decode", 1) - _row_us(found, "ReplyBatch, decode", rows)
    yield CapacityLine("entry, query core", cores(_rate(), core_us), "cores")
    yield CapacityLine("entry, codec, all answers together", cores(_rate(), codec_us), "cores")
    yield CapacityLine("entry, codec, answers one by one", cores(_rate(), single_us), "cores more")
    yield _whole(found, "entry")
    admit_us = found["admission"].median(1_000)
    yield CapacityLine("entry, admission", cores(TARGET.entry_queries_per_s(), admit_us), "cores")


def _relay(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    core_us = found["relay core at 50 sub-queries a ms"].median(160)
    rows = _rows(found)
    codec_us = _row_us(found, "SubBatch, decode", rows) + _row_us(found, "ReplyBatch, encode", rows)
    single_us = _row_us(found, "ReplyBatch, encode", 1) - _row_us(found, "ReplyBatch, encode", rows)
    http_us = found["HTTP client"].median(100)
    yield CapacityLine("relay, relay core", cores(_rate(), core_us), "cores")
    yield CapacityLine("relay, codec, all answers together", cores(_rate(), codec_us), "cores")
    yield CapacityLine("relay, codec, answers one by one", cores(_rate(), single_us), "cores more")
    yield CapacityLine("relay, HTTP client", cores(_rate(), http_us), "cores")
    yield _whole(found, "relay")
    # In the measured deployment each relay owns the searchers of one of three failure domains.
    owned_us = _MEASURED_DOMAINS * found["relay at rest by searchers, CPU"].line().slope
    at_rest_us = owned_us * TARGET.searchers_a_relay()
    yield CapacityLine("relay, searchers at rest (polls, reports)", at_rest_us / 1e4, "% of a core")


def _reports(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    length = found["UpstreamReport, length"].line().at(TARGET.searchers_a_relay()) + _FRAME_BYTES
    sent = length * _REPORTS_PER_S * TARGET.vms()
    yield CapacityLine("a report of load", length, "bytes")
    yield CapacityLine("reports sent by a relay", sent / _MB, "MB/s")
    received = _REPORTS_PER_S * TARGET.vms()
    decode_us = found["UpstreamReport, decode"].line().at(TARGET.searchers_a_relay())
    yield CapacityLine("reports taken by an entry", received, "a second")
    yield CapacityLine("reports decoded by an entry", cores(received, decode_us), "cores")
    yield from _holdings(found)


def _holdings(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    length = found["HoldingReport, length"].line().at(1) + _FRAME_BYTES
    yield CapacityLine("announcements at an entry's start", length * TARGET.searchers / _MB, "MB")
    decode_us = found["HoldingReport, decode"].line().at(1)
    yield CapacityLine("the same, decoded", decode_us * TARGET.searchers / 1e6, "s")
    rebuilt_us = found["catalog, rebuilt"].line().slope * TARGET.searchers
    yield CapacityLine("catalog rebuilt", rebuilt_us / 1e3, "ms an announcement")
    plan_us = found["plan, made anew"].median(TARGET.parts)
    yield CapacityLine("plan made anew", plan_us / 1e3, "ms a plan")


def _documents(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    length = found["register, length"].line()
    parse = found["register, check and parse"].line()
    yield CapacityLine("register", length.at(TARGET.searchers) / _MB, "MB")
    held = (TARGET.value_bytes - length.at_zero) / length.slope
    yield CapacityLine("searchers whose register fits a value", held, "")
    whole_us = parse.at(TARGET.searchers)
    changes = TARGET.changes_per_s()
    yield CapacityLine("check and parse of the register", whole_us / 1e6, "s a revision")
    yield CapacityLine("check and parse, all changes", cores(changes, whole_us), "cores")
    yield CapacityLine("check and parse of 448 searchers", parse.at(448) / 1e3, "ms a revision")
    find_us = found["owner directory, found anew"].line().slope
    walk_us = find_us * TARGET.searchers
    cell_us = 1e3 * found["cells, all owners found"].median(_TARGET_RELAYS) * TARGET.domains
    yield CapacityLine("owners anew, 12 relays a failure domain", walk_us / 1e6, "s a revision")
    yield CapacityLine("owners anew, 564 relays, cells alone", cell_us / 1e6, "s a revision")
    yield CapacityLine("owners anew, all changes", cores(changes, walk_us + cell_us), "cores")


def _memory(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    # A link costs relays as much as entries; of relays the slope is within the noise.
    by_nodes = found["entry at rest by nodes, resident memory"].line()
    for role in ("entry", "relay"):
        by_searchers = found[f"{role} at rest by searchers, resident memory"].line()
        whole = by_searchers.at(TARGET.searchers) + by_nodes.slope * TARGET.nodes
        yield CapacityLine(f"{role}, resident without searchers", by_searchers.at_zero / _MB, "MB")
        yield CapacityLine(f"{role}, resident, all searchers and links", whole / _MB, "MB")
    parts = ("catalog and plan", "replica scores", "parsed register", "owner directory")
    for part in parts:
        held = found[f"{part}, state"].line().slope * TARGET.searchers
        yield CapacityLine(f"{part}, state", held / _MB, "MB")
    relay = found["relay core, state"].line().at(TARGET.searchers_a_relay())
    yield CapacityLine("relay core, state", relay / _MB, "MB")


def _control(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    prefix = "control with the target's tables, "
    cpu_us = found[prefix + "cpu_us_per_s"].median(TARGET.nodes)
    sent = found[prefix + "datagram_bytes_per_s"].median(TARGET.nodes)
    datagrams = found[prefix + "datagrams_per_s"].median(TARGET.nodes)
    peer = found["control, peer_bytes_per_s"].median(200)
    yield CapacityLine("control cores, CPU", cpu_us / 1e4, "% of a core")
    yield CapacityLine("control, sent with UDP heads", sent + 28 * datagrams + peer, "bytes/s")
    memory = found[prefix + "memory_bytes"].median(TARGET.nodes)
    yield CapacityLine("control cores, memory", memory / _MB, "MB")
    for role in ("entry", "relay"):
        at_rest = found[f"{role} at rest by searchers, CPU"].line().at_zero
        yield CapacityLine(f"{role} at rest, no searchers, 6 nodes", at_rest / 1e4, "% of a core")
    share = TARGET.platform_calls_per_s / TARGET.nodes
    yield CapacityLine("platform calls of a failure domain, bound", share * _domain_nodes(), "a s")


def _losses(found: Mapping[str, Series]) -> Iterator[CapacityLine]:
    yield CapacityLine("load after a failure domain's loss", load_after_loss(TARGET.domains), "x")
    relays = round(TARGET.relays_a_domain())
    yield CapacityLine("load after a rack's loss", load_after_loss(relays, _RACK_NODES // 2), "x")
    for way in ("rendezvous", "cells"):
        for lost in ("relay", "rack"):
            moved = found[f"{way}, moved by the loss of a {lost}"].median(_TARGET_RELAYS)
            yield CapacityLine(f"searchers moved by the loss of a {lost}, {way}", moved, "")
    cell_ms = found["cells, all owners found"].median(_TARGET_RELAYS)
    find_ms = found["owner directory, found anew"].line().slope * TARGET.searchers / 1e3
    yield CapacityLine("owners anew after one relay's loss", cell_ms + find_ms, "ms")
    per_s = 2 * TARGET.restarts_a_day / 86_400
    share = cores(per_s, 1e3 * (cell_ms + find_ms))
    yield CapacityLine("owners anew, restarts of a day", 100 * share, "% of a core")


def _whole(found: Mapping[str, Series], role: str) -> CapacityLine:
    us = found[f"whole path by callers, {role}"].median(6)
    return CapacityLine(f"{role}, whole path as measured", cores(_rate(), us), "cores")


def _rate() -> float:
    return TARGET.vm_sub_queries_per_s()


def _messages(found: Mapping[str, Series]) -> float:
    return found["cells, messages"].median(_TARGET_RELAYS)


def _rows(found: Mapping[str, Series]) -> float:
    return TARGET.parts / _messages(found)


def _row_us(found: Mapping[str, Series], name: str, rows: float) -> float:
    line = found[name].line()
    return per_row_us(line.at_zero, line.slope, rows)


def _domain_nodes() -> float:
    return TARGET.nodes / TARGET.domains
