"""Division of a search's shards among entries of unequal capacity."""

from collections.abc import Collection, Sequence

from msgspec import Struct

from rhubarbhinge.members import VmCapacity

SHARD_CPU_MS = 0.15
"""Processor time per shard on one core: the request to a searcher, its reply, and the merge."""
ASSUMED_SHARD_BYTES = 1_200.0
"""Assumed size of a searcher's reply, with its headers, until the route's own size is known."""
OTHER_ENTRY_MS = 1.0
"""Additional time of a part at another entry, for its messages. Keeps small parts here."""
MIN_PART_SHARDS = 5
"""Minimum number of shards in a part. A message to one more entry costs about as much processor
time as some shards, and each entry can fail."""
NEAR_EQUAL_MS = 0.5
"""Entries whose completion times differ by less than this are considered equal, as loads known
from earlier messages are no more accurate. Half of what using another entry costs."""
UNKNOWN_SHARD_MS = 1.0
"""Time per shard if the capacity of no candidate is known; any value divides the shards evenly."""


class SplitCandidate(Struct, frozen=True):
    """An entry that can search some shards.

    :param address: its IP address.
    :param capacity: resources of its VM.
    :param in_progress: its sub-queries in progress, an estimate for another entry.
    :param is_own: whether it is the requesting entry itself.
    """

    address: str
    capacity: VmCapacity
    in_progress: float = 0.0
    is_own: bool = False


class _Target(Struct, frozen=True):
    """An entry's time per shard and until it starts, and the limits of the number of its shards."""

    shard_ms: float
    start_ms: float
    max_shards: int
    min_shards: int = 0

    def finish_ms(self, shards: int) -> float:
        return self.start_ms + shards * self.shard_ms


def shards_per_ms(capacity: VmCapacity, shard_bytes: float = ASSUMED_SHARD_BYTES) -> float:
    """Compute how many shards a VM processes per millisecond.

    :param capacity: resources of the VM.
    :param shard_bytes: size of a searcher's reply.
    :returns: the rate; 0 if the capacity is unknown.
    """
    if not capacity.is_known:
        return 0.0
    return 1 / (SHARD_CPU_MS / capacity.cores + 8 * shard_bytes / capacity.link_bits_per_ms)


def split_by_capacity(
    services: Sequence[str],
    candidates: Sequence[SplitCandidate],
    shard_bytes: float = ASSUMED_SHARD_BYTES,
) -> dict[str, list[str]]:
    """Divide shards so that the slowest part ends as early as possible.

    Each entry gets a contiguous block, in the order of the candidates, so that it gets nearly the
    same shards in each search of a requesting entry and learns about the same searchers.

    Parts have at least ``MIN_PART_SHARDS`` shards, except for a remainder that no other entry may
    take. With three candidates or more none gets over half of the shards, unless the halves would
    be too small for two parts.

    :param services: the shards.
    :param candidates: the entries, at least one; unknown capacities count as the smallest known.
    :param shard_bytes: size of a searcher's reply.
    :returns: the shards of each entry that gets any, by address.
    """
    sizes = _part_sizes(len(services), _targets(len(services), candidates, shard_bytes))
    parts, start = {}, 0
    for candidate, size in zip(candidates, sizes, strict=True):
        if size:
            parts[candidate.address] = list(services[start : start + size])
            start += size
    return parts


def near_best(candidates: Sequence[SplitCandidate]) -> list[str]:
    """Return the entries that would complete a single shard earliest.

    :param candidates: the entries; unknown capacities count as the smallest known.
    :returns: the addresses of the best one and of those within ``NEAR_EQUAL_MS`` of it.
    """
    targets = _targets(1, candidates, ASSUMED_SHARD_BYTES)
    limit_ms = min((one.finish_ms(1) for one in targets), default=0.0) + NEAR_EQUAL_MS
    return [
        candidate.address
        for candidate, target in zip(candidates, targets, strict=True)
        if target.finish_ms(1) <= limit_ms
    ]


def _targets(count: int, candidates: Sequence[SplitCandidate], shard_bytes: float) -> list[_Target]:
    halved = len(candidates) > 2 and count >= 2 * MIN_PART_SHARDS
    max_shards = count // 2 if halved else count
    rates = [shards_per_ms(one.capacity, shard_bytes) for one in candidates]
    smallest = min((rate for rate in rates if rate), default=1 / UNKNOWN_SHARD_MS)
    targets = []
    for candidate, rate in zip(candidates, rates, strict=True):
        shard_ms = 1 / (rate or smallest)
        message_ms = 0.0 if candidate.is_own else OTHER_ENTRY_MS
        start_ms = candidate.in_progress * shard_ms + message_ms
        targets.append(_Target(shard_ms, start_ms, max_shards))
    return targets


def _part_sizes(count: int, targets: list[_Target]) -> list[int]:
    """Divide shards among targets; parts that would be too small are left out or made larger."""
    used = dict(enumerate(targets))
    sizes = _fill(count, used)
    while True:
        used = {index: target for index, target in used.items() if sizes[index]}
        small = [index for index in used if sizes[index] < MIN_PART_SHARDS]
        if not small or len(used) == 1:
            break
        # Among equals the last one, so that this entry and the first links are kept.
        smallest = min(small, key=lambda index: (sizes[index], -index))
        without = {index: target for index, target in used.items() if index != smallest}
        target = used[smallest]
        larger = _Target(target.shard_ms, target.start_ms, target.max_shards, MIN_PART_SHARDS)
        options = [one for one in (without, {**used, smallest: larger}) if _holds(count, one)]
        if not options:
            # The remainder, as the others have all that they may take.
            break
        filled = [(_fill(count, one), one) for one in options]
        sizes, used = min(filled, key=lambda option: _end_ms(*option))
    return [sizes.get(index, 0) for index in range(len(targets))]


def _holds(count: int, targets: dict[int, _Target]) -> bool:
    """Tell whether a number of shards can be divided within the limits of the targets."""
    least = sum(target.min_shards for target in targets.values())
    return least <= count <= sum(target.max_shards for target in targets.values())


def _end_ms(sizes: dict[int, int], targets: dict[int, _Target]) -> float:
    """Return when the last part ends."""
    return max(target.finish_ms(sizes[index]) for index, target in targets.items() if sizes[index])


def _fill(count: int, targets: dict[int, _Target]) -> dict[int, int]:
    """Divide shards so that all parts end at the same time, as far as limits allow."""
    sizes = {index: target.min_shards for index, target in targets.items()}
    left = count - sum(sizes.values())
    end_ms = _common_end_ms(count, targets.values())
    for index, target in targets.items():
        fitting = min(int((end_ms - target.start_ms) / target.shard_ms), target.max_shards)
        added = min(max(0, fitting - sizes[index]), left)
        sizes[index] += added
        left -= added
    # What rounding left over, less than one shard per target.
    for _ in range(left):
        index = min(
            (one for one, target in targets.items() if sizes[one] < target.max_shards),
            key=lambda one: targets[one].finish_ms(sizes[one] + 1),
        )
        sizes[index] += 1
    return sizes


def _common_end_ms(count: int, targets: Collection[_Target]) -> float:
    """Return when a divisible load of ``count`` shards would end (water filling)."""
    changes = []
    for target in targets:
        changes.append((target.finish_ms(target.min_shards), 1 / target.shard_ms))
        changes.append((target.finish_ms(target.max_shards), -1 / target.shard_ms))
    changes.sort()
    done = float(sum(target.min_shards for target in targets))
    at_ms, rate = 0.0, 0.0
    for change_ms, rate_change in changes:
        added = rate * (change_ms - at_ms)
        if rate > 0 and done + added >= count:
            return at_ms + (count - done) / rate
        done += added
        at_ms = change_ms
        rate += rate_change
    return at_ms
