"""The searchers that a relay owns, or owned and still has connections to."""

from typing import Any

from rhubarbhinge.routing._completion import fail_queue
from rhubarbhinge.routing._connectiontable import ConnectionTable
from rhubarbhinge.routing._deadlines import Deadlines
from rhubarbhinge.routing._draincache import DrainCache
from rhubarbhinge.routing._relaypolicy import RelayPolicy
from rhubarbhinge.routing._requesttable import RequestTable
from rhubarbhinge.routing._sending import refresh_and_send
from rhubarbhinge.routing._upstream import Upstream
from rhubarbhinge.routing._upstreamspec import UpstreamSpec
from rhubarbhinge.wire import SubCode


class UpstreamTable:
    """Tracks searchers through updates of the register and the VM list.

    :param policy: relay settings.
    :param requests: all unfinished requests of the relay.
    :param connections: all connections of the relay.
    :param deadlines: deadline queue of the relay.
    :ivar revision: the register revision in force, -1 before the first.
    :ivar by_id: the searchers' states.
    """

    def __init__(
        self,
        policy: RelayPolicy,
        requests: RequestTable,
        connections: ConnectionTable,
        deadlines: Deadlines,
    ) -> None:
        self.revision = -1
        self.by_id: dict[int, Upstream] = {}
        self._policy = policy
        self._requests = requests
        self._connections = connections
        self._deadlines = deadlines
        self._leaving: frozenset[int] = frozenset()
        self._drains = DrainCache()

    def owned(self) -> list[Upstream]:
        """Return the states of the owned searchers.

        :returns: their states.
        """
        return [upstream for upstream in self.by_id.values() if upstream.owned]

    def set_owned(
        self, revision: int, specs: tuple[UpstreamSpec, ...], now_ms: int, effects: list[Any]
    ) -> None:
        """Update the searchers that the relay owns; an older register revision is ignored.

        :param revision: revision of the register that lists them.
        :param specs: searchers that the relay owns.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        """
        if revision < self.revision:
            return
        self.revision = revision
        kept = {spec.upstream_id for spec in specs}
        for upstream_id, upstream in list(self.by_id.items()):
            if upstream.owned and upstream_id not in kept:
                self._remove_owned(upstream, now_ms, effects)
        for spec in specs:
            self._add_or_update_owned(spec, now_ms, effects)

    def set_leaving(self, upstream_ids: frozenset[int], now_ms: int, effects: list[Any]) -> None:
        """Update the searchers whose VMs are marked as leaving in the platform's VM list.

        :param upstream_ids: all leaving searchers, owned or not.
        :param now_ms: current time in ms.
        :param effects: list that effects are appended to.
        """
        self._leaving = upstream_ids
        for upstream_id, upstream in self.by_id.items():
            upstream.drain.on_vm_list(upstream_id in upstream_ids)
            refresh_and_send(self._requests, upstream, now_ms, effects)

    def remove_if_closed(self, upstream: Upstream) -> None:
        """Remove a searcher that is no longer owned once its last connection has closed.

        :param upstream: the searcher's state.
        """
        if not upstream.owned and not len(upstream.pool):
            upstream_id = upstream.spec.upstream_id
            self._drains.store(upstream_id, upstream.drain, upstream.incarnation)
            del self.by_id[upstream_id]

    def _add_or_update_owned(self, spec: UpstreamSpec, now_ms: int, effects: list[Any]) -> None:
        upstream = self.by_id.get(spec.upstream_id)
        if upstream is None:
            upstream = Upstream(spec, self._policy, self._connections, self._deadlines, now_ms)
            upstream.drain, upstream.incarnation = self._drains.pop(spec.upstream_id)
            upstream.drain.on_vm_list(spec.upstream_id in self._leaving)
            self.by_id[spec.upstream_id] = upstream
        upstream.owned = True
        upstream.set_spec(spec, effects)
        upstream.drain.on_register(spec.leaving, self.revision)
        refresh_and_send(self._requests, upstream, now_ms, effects)

    def _remove_owned(self, upstream: Upstream, now_ms: int, effects: list[Any]) -> None:
        upstream.owned = False
        upstream.refresh(now_ms)
        fail_queue(self._requests, upstream, SubCode.WRONG_RECEIVER, 0, now_ms, effects)
        upstream.pool.retire_all(effects)
        self.remove_if_closed(upstream)
