"""The size that docs/CAPACITY.md is worked out for, and what follows from it."""

from dataclasses import dataclass

SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Target:
    """The target; the defaults are those of docs/CAPACITY.md.

    :param nodes: processes, half of them entries and half relays.
    :param searchers: searchers in all failure domains.
    :param queries_per_s: queries a second.
    :param parts: searchers that each query asks.
    :param domains: failure domains.
    :param changes_a_day: changes of the configuration.
    :param restarts_a_day: VMs that restart or are replaced.
    :param platform_calls_per_s: the platform's limit.
    :param node_bytes_per_s: control bytes that a node may send.
    :param node_cpu_share: share of a core that a node may spend on control.
    :param node_memory_bytes: memory that a node may spend on control.
    :param value_bytes: most bytes of one published value.
    """

    nodes: int = 7_900
    searchers: int = 45_000
    queries_per_s: float = 1.4e6
    parts: int = 150
    domains: int = 7
    changes_a_day: int = 23_000
    restarts_a_day: int = 8_200
    platform_calls_per_s: float = 2_000.0
    node_bytes_per_s: float = 5_000.0
    node_cpu_share: float = 0.039
    node_memory_bytes: float = 32e6
    value_bytes: float = 1e6

    def vms(self) -> float:
        """Give the VMs, each with an entry and a relay.

        :returns: their number.
        """
        return self.nodes / 2

    def sub_queries_per_s(self) -> float:
        """Give the sub-queries of all nodes.

        :returns: sub-queries a second.
        """
        return self.queries_per_s * self.parts

    def vm_sub_queries_per_s(self) -> float:
        """Give the sub-queries that each entry sends, and each relay carries out.

        :returns: sub-queries a second.
        """
        return self.sub_queries_per_s() / self.vms()

    def entry_queries_per_s(self) -> float:
        """Give the queries of one entry.

        :returns: queries a second.
        """
        return self.queries_per_s / self.vms()

    def searcher_sub_queries_per_s(self) -> float:
        """Give the sub-queries that reach one searcher.

        :returns: sub-queries a second.
        """
        return self.sub_queries_per_s() / self.searchers

    def searchers_a_relay(self) -> float:
        """Give the searchers that a relay owns.

        :returns: the mean.
        """
        return self.searchers / self.vms()

    def searchers_a_domain(self) -> float:
        """Give the searchers of one failure domain.

        :returns: the mean.
        """
        return self.searchers / self.domains

    def relays_a_domain(self) -> float:
        """Give the relays of one failure domain; it has as many entries.

        :returns: the mean.
        """
        return self.vms() / self.domains

    def changes_per_s(self) -> float:
        """Give the changes of the configuration.

        :returns: changes a second.
        """
        return self.changes_a_day / SECONDS_A_DAY


TARGET = Target()


def cores(events_per_s: float, us: float) -> float:
    """Turn a rate and a cost into cores.

    :param events_per_s: events a second.
    :param us: CPU time of each, in us.
    :returns: cores in use.
    """
    return events_per_s * us / 1e6


def per_row_us(fixed_us: float, row_us: float, rows: float) -> float:
    """Spread a message's fixed cost over its rows.

    :param fixed_us: cost of a message without rows.
    :param row_us: cost of each row.
    :param rows: rows a message.
    :returns: cost a row, in us.
    """
    return fixed_us / rows + row_us


def load_after_loss(groups: int, lost: int = 1) -> float:
    """Give the load of each group that is left when others are lost.

    :param groups: groups that share the load evenly.
    :param lost: groups that are lost.
    :returns: the load as a multiple of the usual one.
    :raises ValueError: when none is left.
    """
    if lost >= groups:
        raise ValueError("no group is left")
    return groups / (groups - lost)
