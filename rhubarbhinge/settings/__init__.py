"""Settings of one node, from command line flags and environment variables."""

from rhubarbhinge.settings._load import load_settings
from rhubarbhinge.settings._node_settings import NodeSettings
from rhubarbhinge.settings._setting import ENVIRONMENT_PREFIX, KEY_FILE, SETTINGS, Setting
from rhubarbhinge.settings._value_parsers import is_address

__all__ = [
    "ENVIRONMENT_PREFIX",
    "KEY_FILE",
    "SETTINGS",
    "NodeSettings",
    "Setting",
    "is_address",
    "load_settings",
]
