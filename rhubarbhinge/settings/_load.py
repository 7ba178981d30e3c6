"""Loading and validation of settings."""

from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

from rhubarbhinge.register import Checked, FaultLog, fields
from rhubarbhinge.settings._node_settings import NodeSettings, SettingValue
from rhubarbhinge.settings._setting import ENVIRONMENT_PREFIX, KEY_FILE, SETTINGS, Setting
from rhubarbhinge.settings._value_parsers import MAX_KEY_BYTES, deployment_key

_KNOWN_FLAGS = {setting.name for setting in SETTINGS} | {KEY_FILE.name}
_KNOWN_VARIABLES = {setting.variable for setting in SETTINGS} | {KEY_FILE.variable}


def read_key_file(path: str) -> bytes:
    """Read a deployment key file, limited to about the maximum size of a key.

    :param path: Path of the file.
    :returns: The start of the file.
    :raises OSError: If the file can't be read.
    """
    with Path(path).open("rb") as file:
        return file.read(2 * MAX_KEY_BYTES)


def load_settings(
    flags: Mapping[str, object],
    environ: Mapping[str, str],
    read_file: Callable[[str], bytes] = read_key_file,
) -> Checked[NodeSettings]:
    """Load and validate the settings of one node.

    :param flags: Values by flag name, with dashes or underscores; they override variables.
    :param environ: The environment variables.
    :param read_file: Reads the deployment key file; raises OSError on failure.
    :returns: The settings, or all faults found.
    """
    log = FaultLog()
    flags = {str(name).replace("-", "_"): value for name, value in flags.items()}
    _report_unknown(log, flags, environ)
    values: dict[str, SettingValue] = {}
    for setting in SETTINGS:
        if setting.secret:
            value = _load_deployment_key(log, setting, flags, environ, read_file)
        else:
            value = _parse_setting(log, setting, flags, environ)
        if value is not None:
            values[setting.name] = value
    if log.count:
        return log.result(None)
    settings = NodeSettings(**values)
    _check_consistency(log, settings)
    return log.result(settings)


def _report_unknown(log: FaultLog, flags: Mapping[str, object], environ: Mapping) -> None:
    for name in sorted(flags.keys() - _KNOWN_FLAGS):
        place = "--" + fields.format_value(name.replace("_", "-")).strip("'\"")
        log.add(place, "unknown-flag", "the flag is unknown", "see docs/settings.md")
    for name in sorted(environ.keys() - _KNOWN_VARIABLES):
        if name.startswith(ENVIRONMENT_PREFIX):
            place = fields.format_value(name).strip("'\"")
            message = "the environment variable is unknown"
            log.add(place, "unknown-variable", message, "unset it, or see docs/settings.md")


def _sources(
    setting: Setting, flags: Mapping[str, object], environ: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield the name and text of each source of a setting, in order of precedence."""
    if setting.name in flags:
        yield setting.flag, _to_text(flags[setting.name])
    if setting.variable in environ:
        yield setting.variable, environ[setting.variable]


def _parse_setting(
    log: FaultLog, setting: Setting, flags: Mapping[str, object], environ: Mapping[str, str]
) -> SettingValue | None:
    for place, text in _sources(setting, flags, environ):
        return setting.parse(log, place, text.strip())
    if setting.required:
        todo = f"give {setting.flag} or set {setting.variable}: {setting.summary}"
        log.add(setting.variable, "missing-setting", "the setting is missing", todo)
    return None


def _load_deployment_key(
    log: FaultLog,
    setting: Setting,
    flags: Mapping[str, object],
    environ: Mapping[str, str],
    read_file: Callable[[str], bytes],
) -> bytes | None:
    todo = f"set {setting.variable}, or give a file by {KEY_FILE.flag} or {KEY_FILE.variable}"
    if setting.name in flags:
        message = "secrets are not accepted on the command line, where other users can read them"
        log.add(setting.flag, "secret-flag", message, todo)
        return None
    files = list(_sources(KEY_FILE, flags, environ))
    if files and setting.variable in environ:
        message = "the deployment key is given both as a variable and as a file"
        log.add(files[0][0], "two-keys", message, "keep one of the two")
        return None
    if files:
        return _load_key_file(log, *files[0], read_file)
    if setting.variable in environ:
        return deployment_key(log, setting.variable, environ[setting.variable])
    log.add(setting.variable, "missing-setting", "the setting is missing", todo)
    return None


def _load_key_file(
    log: FaultLog, place: str, path: str, read_file: Callable[[str], bytes]
) -> bytes | None:
    try:
        text = read_file(path).decode(errors="surrogateescape")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or type(error).__name__
        message = f"the file can't be read: {reason}"
        log.add(place, "unreadable-file", message, "correct the path or the file's permissions")
        return None
    return deployment_key(log, place, text)


def _to_text(value: object) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value)
    return str(value)


def _check_consistency(log: FaultLog, settings: NodeSettings) -> None:
    if settings.peer_port == settings.http_port:
        message = "the peer port and the HTTP port are the same"
        log.add("http_port", "duplicate-address", message, "choose two ports")
    if settings.drain_wait_ms > settings.stop_grace_ms:
        message = "the time for load balancers to react is longer than the whole graceful stop"
        log.add("drain_wait_ms", "drain-over-grace", message, "raise stop_grace_ms")
