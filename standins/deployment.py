"""A whole deployment on loopback: platform, searchers, relays and entries as processes."""

import itertools
import secrets
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterable, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from typing import Any

import orjson

from standins.fleet import Fleet, Process, call, free_ports
from tools.make_examples import make_deployment

LOOPBACK = "127.0.0.1"
FIRST_VERSION = 1
#: Bound of every wait for a state of the whole deployment, on a busy machine.
WAIT_S = 30.0
_POLL_S = 0.05


#: Searchers of one failure domain share a process, so that replicas never do.
BY_DOMAIN = -1


@dataclass(frozen=True, slots=True)
class Size:
    """How large a deployment is set up.

    :param scale: factor on the brief's number of searchers.
    :param vms_per_domain: entry VMs in each failure domain.
    :param searcher_processes: processes that the searchers are spread over; 0 for one each,
        :data:`BY_DOMAIN` for one for each failure domain.
    """

    scale: float = 0.1
    vms_per_domain: int = 1
    searcher_processes: int = 2


@dataclass(slots=True)
class Vm:
    """One of our VMs: an entry and a relay.

    :param name: its name.
    :param failure_domain: its failure domain.
    :param entry_peer: the entry's peer port.
    :param entry_http: the entry's HTTP port.
    :param relay_peer: the relay's peer port.
    :param relay_http: the relay's HTTP port.
    :param state: ``live`` or ``leaving`` in the VM list.
    :param nodes: running processes by role.
    """

    name: str
    failure_domain: str
    entry_peer: int
    entry_http: int
    relay_peer: int
    relay_http: int
    state: str = "live"
    nodes: dict[str, Process] = field(default_factory=dict)


class LiveDeployment:
    """A deployment of one tenant, running.

    :param fleet: owns the processes.
    :param tenant: ``kingston`` or ``suva``.
    :param size: how large.
    :param knobs: defaults of all searchers, see docs/standins.md.
    :param node_settings: more environment variables for every node.
    :param change: changes the documents before they are published, given register and rules.
    """

    def __init__(
        self,
        fleet: Fleet,
        tenant: str,
        size: Size | None = None,
        knobs: Mapping[str, Any] | None = None,
        node_settings: Mapping[str, str] | None = None,
        change: Callable[[dict, dict], None] | None = None,
    ) -> None:
        self.fleet = fleet
        #: A key of its own: deployments on one machine never take each other's nodes for theirs.
        self.key = secrets.token_hex(32)
        self.tenant = tenant
        self.size = size or Size()
        self._node_settings = dict(node_settings or {})
        self._lives = itertools.count(1)
        ports = iter(free_ports(_port_count(tenant, self.size)))
        made = make_deployment(tenant, ports.__next__, self.size.scale)
        self.register = made.register
        self.rules = made.rules
        if change is not None:
            change(self.register, self.rules)
        self.searchers: dict[str, Process] = {}
        self._searcher_documents: dict[str, dict[str, Any]] = {}
        self.searcher_ports = {
            upstream["name"]: upstream["port"] for upstream in self.register["upstreams"]
        }
        self._start_searchers(knobs or {})
        self.platform = fleet.platform(f"{tenant}-platform")
        self.vms = self._vms(ports)
        self._vms_revision = 0
        self.publish("register", self.register)
        self.publish("rules", self.rules)
        self.publish_vms()

    # Starting and stopping.

    def start_nodes(self) -> None:
        """Start all entries and relays, and wait until every entry is ready and knows all."""
        for vm in self.vms:
            for role in ("relay", "entry"):
                self.start_node(vm, role)
        self.wait_serving()

    def start_node(self, vm: Vm, role: str, settings: Mapping[str, str] | None = None) -> Process:
        """Start one node; does not wait.

        :param vm: its VM.
        :param role: ``entry`` or ``relay``.
        :param settings: more environment variables.
        :returns: the process.
        """
        peer_port, http_port = _ports(vm, role)
        seeds = [f"{LOOPBACK}:{other.relay_peer}" for other in self.vms]
        variables = {
            "RHUBARBHINGE_NAME": vm.name,
            "RHUBARBHINGE_FAILURE_DOMAIN": vm.failure_domain,
            "RHUBARBHINGE_IP": LOOPBACK,
            "RHUBARBHINGE_PEER_PORT": str(peer_port),
            "RHUBARBHINGE_HTTP_PORT": str(http_port),
            "RHUBARBHINGE_PLATFORM": f"{LOOPBACK}:{self.platform.port()}",
            "RHUBARBHINGE_PEERS": ",".join(seeds),
            "RHUBARBHINGE_DEPLOYMENT_KEY": self.key,
            "RHUBARBHINGE_DRAIN_WAIT_MS": "200",
            "RHUBARBHINGE_STOP_GRACE_MS": "10000",
            **self._node_settings,
            **(settings or {}),
        }
        life = next(self._lives)
        process = self.fleet.node(f"{vm.name}-{role}-{life}", role, variables)
        vm.nodes[role] = process
        return process

    def wait_serving(self, vms: Iterable[Vm] | None = None) -> None:
        """Wait until entries are ready, linked to all running relays, and know all searchers.

        :param vms: whose entries; all by default.
        :raises TimeoutError: when they are not in time.
        """
        relays = [vm for vm in self.vms if _runs(vm, "relay")]
        wanted = {f"{vm.name}/relay" for vm in relays}
        domains = {vm.failure_domain for vm in relays}
        count = sum(
            upstream["failure_domain"] in domains for upstream in self.register["upstreams"]
        )
        for vm in vms or self.vms:
            if _runs(vm, "entry"):
                wait_for(lambda vm=vm: self._serves(vm, wanted, count), f"{vm.name} serving")

    # Documents.

    def publish(self, key: str, document: Mapping[str, Any]) -> None:
        """Publish a document.

        :param key: ``register``, ``rules`` or ``vms``.
        :param document: with its revision.
        """
        call(self.platform.port(), f"/standin/publish?key={key}", document)

    def publish_register(self, change: Callable[[dict], None]) -> int:
        """Change the register and publish it.

        :param change: changes a copy in place.
        :returns: the new revision.
        """
        register = deepcopy(self.register)
        change(register)
        register["revision"] = self.register["revision"] + 1
        self.register = register
        self.publish("register", register)
        return register["revision"]

    def publish_vms(self, leaving_instances: Iterable[str] = ()) -> None:
        """Publish the VM list, with each VM's state.

        :param leaving_instances: upstream VMs to list as leaving.
        """
        self._vms_revision += 1
        vms = [_vm_document(vm) for vm in self.vms]
        vms += [self._leaving_document(instance) for instance in leaving_instances]
        self.publish("vms", {"revision": self._vms_revision, "vms": vms})

    # Calls.

    def search(
        self, vm: Vm, collection: str, text: str = "bearing", **fields: Any
    ) -> tuple[int, dict[str, Any]]:
        """Search through an entry.

        :param vm: the entry's VM.
        :param collection: the collection.
        :param text: the search text.
        :param fields: more fields of the request.
        :returns: status and answer.
        """
        body = {"collection": collection, "text": text, **fields}
        return post(vm.entry_http, "/v1/search", body)

    def status(self, vm: Vm, role: str = "entry") -> dict[str, Any]:
        """Read a node's status.

        :param vm: its VM.
        :param role: its role.
        :returns: the status.
        """
        return call(_ports(vm, role)[1], "/v1/status")

    def searcher(self, name: str, changes: Mapping[str, Any]) -> None:
        """Change a searcher's behaviour.

        :param name: its name.
        :param changes: knobs and holdings, see docs/standins.md.
        """
        self._control(name, changes)

    def shown(self, name: str) -> dict[str, Any]:
        """Read a searcher's knobs, holdings and figures.

        :param name: its name.
        :returns: what it shows.
        """
        return self._control(name)[name]

    def restart_searchers(self, process: Process) -> Process:
        """Start a process of searchers that has ended anew, with its ports and its history.

        :param process: the ended process.
        :returns: the new one.
        """
        names = [name for name, owner in self.searchers.items() if owner is process]
        documents = [self._searcher_documents[name] for name in names]
        for document in documents:
            document["incarnation"] = document.get("incarnation", 1) + 1
        started = self.fleet.searchers(process.name, {"searchers": documents})
        self.searchers.update(dict.fromkeys(names, started))
        return started

    def holders(self, collection: str) -> dict[tuple[int, int], list[str]]:
        """Give who holds each shard of a collection.

        :param collection: its name.
        :returns: searchers by range.
        """
        (found,) = [each for each in self.register["collections"] if each["name"] == collection]
        return {(shard["lo"], shard["hi"]): shard["upstreams"] for shard in found["shards"]}

    def _control(self, name: str, changes: Mapping[str, Any] | None = None) -> dict[str, Any]:
        return call(self.searchers[name].control_port, f"/standin?searcher={name}", changes)

    def _leaving_document(self, instance: str) -> dict[str, Any]:
        upstream = next(each for each in self.register["upstreams"] if each["instance"] == instance)
        domain = upstream["failure_domain"]
        document = {"name": instance, "failure_domain": domain, "ip": LOOPBACK}
        return {**document, "state": "leaving", "nodes": []}

    def _serves(self, vm: Vm, relays: set[str], searchers: int) -> bool:
        try:
            status = self.status(vm)
        except OSError:
            return False
        links = set(status["links"])
        known = status["searchers_announced"] >= searchers
        mine = vm.nodes["entry"].is_running()
        return mine and status["ready"] and relays <= links and known

    def _start_searchers(self, knobs: Mapping[str, Any]) -> None:
        holdings = _holdings(self.register)
        systems = {system["name"]: system for system in self.register["systems"]}
        documents = []
        for upstream in self.register["upstreams"]:
            system = systems[upstream["system"]]
            limits = {name: system[name] for name in ("slots", "connections", "connect_ms")}
            documents.append(
                {
                    "name": upstream["name"],
                    "port": upstream["port"],
                    "knobs": {**limits, **knobs},
                    "holdings": holdings.get(upstream["name"], {}),
                }
            )
        for place, share in enumerate(self._shares(documents)):
            process = self.fleet.searchers(f"{self.tenant}-searchers-{place}", {"searchers": share})
            for document in share:
                self.searchers[document["name"]] = process
                self._searcher_documents[document["name"]] = document

    def _shares(self, documents: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
        count = self.size.searcher_processes or len(documents)
        if count != BY_DOMAIN:
            return [documents[place::count] for place in range(min(count, len(documents)))]
        domains = {each["name"]: each["failure_domain"] for each in self.register["upstreams"]}
        return [
            [document for document in documents if domains[document["name"]] == domain]
            for domain in self.register["failure_domains"]
        ]

    def _vms(self, ports: Iterable[int]) -> list[Vm]:
        vms = []
        for domain in self.register["failure_domains"]:
            for place in range(self.size.vms_per_domain):
                four = itertools.islice(ports, 4)
                vms.append(Vm(f"{domain}-{place + 1}", domain, *four))
        return vms


def post(
    port: int, path: str, document: Any, headers: Mapping[str, str] | None = None
) -> tuple[int, dict[str, Any]]:
    """Post JSON with a stock client that follows 307.

    :param port: the entry's HTTP port.
    :param path: the path.
    :param document: the body.
    :param headers: more headers.
    :returns: status and answer, of errors too.
    """
    url = f"http://{LOOPBACK}:{port}{path}"
    for _ in range(3):
        request = urllib.request.Request(url, orjson.dumps(document), dict(headers or {}))
        try:
            with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
                return answer.status, orjson.loads(answer.read())
        except urllib.error.HTTPError as error:
            if error.code != 307:
                return error.code, orjson.loads(error.read())
            url = f"http://{LOOPBACK}:{port}{error.headers['Location']}"
    raise AssertionError("more redirects than a ticket needs")


def wait_for(condition: Callable[[], bool], what: str, wait_s: float = WAIT_S) -> None:
    """Wait until something holds.

    :param condition: asked again and again.
    :param what: named when it does not come.
    :param wait_s: the bound.
    :raises TimeoutError: when it does not hold in time.
    """
    until_s = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() > until_s:
            raise TimeoutError(f"not in {wait_s} s: {what}")
        time.sleep(_POLL_S)


def _port_count(tenant: str, size: Size) -> int:
    counter = itertools.count(1)
    made = make_deployment(tenant, counter.__next__, size.scale)
    domains = len(made.register["failure_domains"])
    return len(made.register["upstreams"]) + 4 * domains * size.vms_per_domain


def _holdings(register: Mapping[str, Any]) -> dict[str, dict[str, dict[str, list]]]:
    holdings: dict[str, dict[str, dict[str, list]]] = {}
    for collection in register["collections"]:
        for shard in collection["shards"]:
            for name in shard["upstreams"]:
                versions = holdings.setdefault(name, {}).setdefault(collection["name"], {})
                ranges = versions.setdefault(str(FIRST_VERSION), [])
                ranges.append([shard["lo"], shard["hi"]])
    return holdings


def _ports(vm: Vm, role: str) -> tuple[int, int]:
    if role == "entry":
        return vm.entry_peer, vm.entry_http
    return vm.relay_peer, vm.relay_http


def _runs(vm: Vm, role: str) -> bool:
    return role in vm.nodes and vm.nodes[role].is_running()


def _vm_document(vm: Vm) -> dict[str, Any]:
    return {
        "name": vm.name,
        "failure_domain": vm.failure_domain,
        "ip": LOOPBACK,
        "state": vm.state,
        "nodes": [
            {"role": "entry", "peer_port": vm.entry_peer, "http_port": vm.entry_http},
            {"role": "relay", "peer_port": vm.relay_peer, "http_port": vm.relay_http},
        ],
    }
