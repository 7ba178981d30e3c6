"""Running an entry until it is stopped."""

import gc

from rhubarbhinge.forward import Dialect
from rhubarbhinge.gateway._entry import Entry, MakeSource
from rhubarbhinge.gateway._live_settings import ReadSettings
from rhubarbhinge.telemetry import EventLog, use_event_log

GC_THRESHOLD = 20_000
"""Objects made before garbage is looked for; most requests leave none, and at the library's 700 the
looking takes a twentieth of the processor time."""


def run_entry(read_settings: ReadSettings, dialect: Dialect, make_source: MakeSource) -> None:
    """Run an entry until it is stopped.

    :param read_settings: reads its settings.
    :param dialect: translates messages of callers and searchers.
    :param make_source: makes the reader of published state.
    :raises SettingsError: when the settings can not be used.
    :raises OSError: when a port can not be bound.
    """
    event_log = EventLog(read_settings().name)
    use_event_log(event_log)
    entry = Entry(read_settings, dialect, make_source, event_log)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        entry.run()
    finally:
        event_log.flush()
