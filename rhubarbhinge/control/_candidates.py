"""Nodes that the platform lists but that have not spoken yet."""

import heapq
from collections import defaultdict
from collections.abc import Iterable

from rhubarbhinge.control._rendezvous import rank
from rhubarbhinge.control._vm_node import VmNode

LISTED_LIVE = "live"


class Candidates:
    """Addresses worth a probe: all of the own failure domain, the best ranked of each other one.

    The list is a seed and proves of no node that it runs, so nothing here is a member.

    :param name: this node's name; also seeds the ranks, which spreads links evenly.
    :param failure_domain: this node's failure domain.
    :param reserve: how many are kept for each other failure domain.
    """

    def __init__(self, name: str, failure_domain: str, reserve: int) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._reserve = reserve
        self._nodes: tuple[VmNode, ...] = ()
        self.listed = 0

    def replace(self, nodes: Iterable[VmNode]) -> None:
        """Take the nodes of a newer VM list.

        :param nodes: all listed nodes.
        """
        by_domain: dict[str, list[VmNode]] = defaultdict(list)
        live = [node for node in nodes if node.vm_state == LISTED_LIVE]
        self.listed = len(live)
        for node in live:
            if node.name != self._name:
                by_domain[node.failure_domain].append(node)
        kept: list[VmNode] = []
        for domain, found in sorted(by_domain.items()):
            kept += self._keep(domain, found)
        self._nodes = tuple(kept)

    def nodes(self) -> tuple[VmNode, ...]:
        """List the candidates.

        :returns: those of the own failure domain and the reserves of the others.
        """
        return self._nodes

    def _keep(self, domain: str, found: list[VmNode]) -> list[VmNode]:
        if domain == self._failure_domain:
            return found
        return heapq.nlargest(self._reserve, found, key=lambda node: rank(self._name, node.name))
