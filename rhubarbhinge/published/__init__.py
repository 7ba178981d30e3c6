"""Replication of the state that the platform publishes, by lists, watches and peers."""

from rhubarbhinge.published._change_log import ChangeLog
from rhubarbhinge.published._changes import Changes
from rhubarbhinge.published._evacuation import Evacuation
from rhubarbhinge.published._follower import Follower
from rhubarbhinge.published._freshness import DEFAULT_FRESHNESS, Freshness
from rhubarbhinge.published._platform_client import PlatformClient
from rhubarbhinge.published._read_failure import ReadFailure
from rhubarbhinge.published._snapshot import Snapshot
from rhubarbhinge.published._state_source import StateSource
from rhubarbhinge.published._unusable_entries import UnusableEntries
from rhubarbhinge.published._unusable_entry import UnusableEntry

__all__ = [
    "DEFAULT_FRESHNESS",
    "ChangeLog",
    "Changes",
    "Evacuation",
    "Follower",
    "Freshness",
    "PlatformClient",
    "ReadFailure",
    "Snapshot",
    "StateSource",
    "UnusableEntries",
    "UnusableEntry",
]
