"""Settings that can change while an entry runs."""

from collections.abc import Callable

from rhubarbhinge.gateway._entry_settings import EntrySettings, SettingsError, changed_fields
from rhubarbhinge.telemetry import log_event

ReadSettings = Callable[[], EntrySettings]


class LiveSettings:
    """Holds the current settings and reloads them.

    :param read: reads the settings.
    :param on_change: called with the new settings when they have changed.
    :raises SettingsError: if the initial settings are invalid.
    """

    def __init__(self, read: ReadSettings, on_change: Callable[[EntrySettings], None]):
        self._read = read
        self._on_change = on_change
        self._last_error = ""
        self.current = read()

    def reload(self) -> None:
        """Reload the settings; invalid ones are logged once and do not replace the current ones."""
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
