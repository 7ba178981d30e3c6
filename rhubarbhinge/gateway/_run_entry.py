"""Main function of an entry process."""

import gc

from rhubarbhinge.forward import Dialect
from rhubarbhinge.gateway._entry import Entry, MakePlatformClient
from rhubarbhinge.gateway._live_settings import ReadSettings
from rhubarbhinge.telemetry import EventLog, use_event_log

GC_THRESHOLD = 20_000
"""Number of allocations that triggers a garbage collection. Most requests create no cyclic garbage,
and at Python's default of 700, collections take 5% of the processor time."""


def run_entry(
    read_settings: ReadSettings, dialect: Dialect, make_store: MakePlatformClient
) -> None:
    """Run an entry until it is stopped.

    :param read_settings: reads the settings.
    :param dialect: translates messages of callers and searchers.
    :param make_store: creates the client of the platform's store.
    :raises SettingsError: if the settings are invalid.
    :raises OSError: if a port cannot be bound.
    """
    event_log = EventLog(read_settings().name)
    use_event_log(event_log)
    entry = Entry(read_settings, dialect, make_store, event_log)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        entry.run()
    finally:
        event_log.flush()
