"""The table of settings."""

from dataclasses import dataclass

from rhubarbhinge.register import fields
from rhubarbhinge.settings import _texts as texts

ENVIRONMENT_PREFIX = "RHUBARBHINGE_"
"""Begins the name of each environment variable of this system."""

MOST_WAIT_MS = 3_600_000
MOST_TIMEOUT_MS = 600_000
MOST_LINKS = 1_000
MOST_CONNECTIONS = 100_000
LEAST_HEADER_BYTES = 1_024
MOST_HEADER_BYTES = 1_048_576
MOST_BODY_BYTES = 16_777_216

SWITCHES = (
    "hedging",
    "own-observation",
    "retry-budget",
    "early-refusal",
    "open-ahead",
    "owner-queue",
)
"""Mechanisms that can be switched off."""


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting.

    :param name: Name of its field in `NodeSettings`.
    :param read: Reader of its text.
    :param summary: What it is, for operators.
    :param required: Whether it has no default.
    :param secret: Whether it is refused as a flag, since command lines are public on a VM.
    """

    name: str
    read: texts.TextReader
    summary: str
    required: bool = False
    secret: bool = False

    @property
    def variable(self) -> str:
        """Name of its environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """Its flag."""
        return "--" + self.name.replace("_", "-")


SETTINGS: tuple[Setting, ...] = (
    Setting("name", fields.name, "name of this VM in the platform's list", required=True),
    Setting("failure_domain", fields.name, "failure domain of this VM", required=True),
    Setting("ip", fields.ip_number, "IP number that callers and other nodes use", required=True),
    Setting(
        "peer_port",
        texts.whole(1, texts.MOST_PORT),
        "TCP and UDP port for other nodes",
        required=True,
    ),
    Setting(
        "http_port",
        texts.whole(1, texts.MOST_PORT),
        "TCP port for callers and operators",
        required=True,
    ),
    Setting(
        "platform",
        texts.addresses(1),
        "ip:port of the configuration service, several separated by commas",
        required=True,
    ),
    Setting(
        "deployment_key",
        texts.key,
        "secret that all nodes share, 32 to 1024 printable characters",
        required=True,
        secret=True,
    ),
    Setting(
        "peers",
        texts.addresses(0),
        "ip:port of nodes to join by (their peer ports), separated by commas",
    ),
    Setting(
        "pools",
        texts.option("relay", "direct"),
        "who holds the connections to upstreams: the relays, or each entry",
    ),
    Setting(
        "switched_off",
        texts.options(*SWITCHES),
        "mechanisms to do without, for measuring what each one gives",
    ),
    Setting(
        "links_per_domain",
        texts.whole(1, MOST_LINKS),
        "nodes of each other failure domain to follow; at least those of the largest",
    ),
    Setting(
        "stop_grace_ms",
        texts.whole(0, MOST_WAIT_MS),
        "longest time of a graceful stop",
    ),
    Setting(
        "drain_wait_ms",
        texts.whole(0, MOST_WAIT_MS),
        "time of a stop that balancers get to notice it, before work is refused",
    ),
    Setting(
        "log_level",
        texts.option("debug", "info", "warning", "error"),
        "least severe level that is logged",
    ),
    Setting(
        "http_header_bytes",
        texts.whole(LEAST_HEADER_BYTES, MOST_HEADER_BYTES),
        "most bytes of a request's line and headers",
    ),
    Setting(
        "http_body_bytes",
        texts.whole(1, MOST_BODY_BYTES),
        "most bytes of a request's body",
    ),
    Setting(
        "http_connections",
        texts.whole(1, MOST_CONNECTIONS),
        "most connections of callers at a time",
    ),
    Setting(
        "http_header_timeout_ms",
        texts.whole(1, MOST_TIMEOUT_MS),
        "longest time for a request's headers",
    ),
    Setting(
        "http_body_timeout_ms",
        texts.whole(1, MOST_TIMEOUT_MS),
        "longest time for a request's body",
    ),
    Setting(
        "http_idle_timeout_ms",
        texts.whole(1, MOST_TIMEOUT_MS),
        "longest time that a connection is kept between requests",
    ),
)
"""All settings, in the order in which faults are reported."""

KEY_FILE = Setting(
    "deployment_key_file",
    lambda log, place, text: text,
    "file that holds the deployment key, instead of the variable",
)
"""Where the deployment key can be read from; not a field of `NodeSettings`."""
