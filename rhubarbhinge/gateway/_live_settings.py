"""Settings that may change while an entry runs."""

from collections.abc import Callable

from rhubarbhinge.gateway._entry_settings import EntrySettings, SettingsError, changed_fields
from rhubarbhinge.telemetry import log_event

ReadSettings = Callable[[], EntrySettings]


class LiveSettings:
    """The settings in force.

    :param read: reads the settings.
    :param on_change: told the new settings when they have changed.
    :raises SettingsError: when the first ones can not be used.
    """

    def __init__(self, read: ReadSettings, on_change: Callable[[EntrySettings], None]):
        self._read = read
        self._on_change = on_change
        self._last_error = ""
        self.current = read()

    def reload(self) -> None:
        """Read the settings again; faulty ones leave those in force, and are logged once."""
        try:
            settings = self._read()
        except SettingsError as error:
            if str(error) != self._last_error:
                log_event("settings-refused", level="error", code=error.code, detail=str(error))
            self._last_error = str(error)
            return
        self._last_error = ""
        if settings == self.current:
            return
        log_event("settings-reloaded", changed=",".join(changed_fields(self.current, settings)))
        self.current = settings
        self._on_change(settings)
