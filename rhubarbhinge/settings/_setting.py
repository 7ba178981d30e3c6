"""Definitions of all settings."""

from dataclasses import dataclass

from rhubarbhinge.register import fields
from rhubarbhinge.settings import _value_parsers as parsers

ENVIRONMENT_PREFIX = "RHUBARBHINGE_"
"""Prefix of all environment variables of this system."""

MAX_WAIT_MS = 3_600_000
MAX_TIMEOUT_MS = 600_000
MAX_LINKS = 1_000
MAX_CONNECTIONS = 100_000
MIN_HEADER_BYTES = 1_024
MAX_HEADER_BYTES = 1_048_576
MAX_BODY_BYTES = 16_777_216

SWITCHABLE_MECHANISMS = (
    "hedging",
    "own-observation",
    "retry-budget",
    "early-refusal",
    "open-ahead",
    "owner-queue",
)
"""Mechanisms that can be disabled."""


@dataclass(frozen=True, slots=True)
class Setting:
    """Definition of one setting.

    :param name: Name of the field in `NodeSettings`.
    :param parse: Parser of the text value.
    :param summary: Short description for operators.
    :param required: Whether it has no default.
    :param secret: Whether it is rejected as a flag, since all users of a VM can read command lines.
    """

    name: str
    parse: parsers.ValueParser
    summary: str
    required: bool = False
    secret: bool = False

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()

    @property
    def flag(self) -> str:
        """The command line flag."""
        return "--" + self.name.replace("_", "-")


SETTINGS: tuple[Setting, ...] = (
    Setting("name", fields.name, "name of this VM in the platform's list", required=True),
    Setting("failure_domain", fields.name, "failure domain of this VM", required=True),
    Setting("ip", fields.ip_address, "IP number that callers and other nodes use", required=True),
    Setting(
        "peer_port",
        parsers.integer(1, parsers.MAX_PORT),
        "TCP and UDP port for other nodes",
        required=True,
    ),
    Setting(
        "http_port",
        parsers.integer(1, parsers.MAX_PORT),
        "TCP port for callers and operators",
        required=True,
    ),
    Setting(
        "platform",
        parsers.addresses(1),
        "ip:port of the configuration service, several separated by commas",
        required=True,
    ),
    Setting(
        "deployment_key",
        parsers.deployment_key,
        "secret that all nodes share, 32 to 1024 printable characters",
        required=True,
        secret=True,
    ),
    Setting(
        "peers",
        parsers.addresses(0),
        "ip:port of nodes to join by (their peer ports), separated by commas",
    ),
    Setting(
        "pools",
        parsers.choice("relay", "direct"),
        "who holds the connections to upstreams: the relays, or each entry",
    ),
    Setting(
        "switched_off",
        parsers.choices(*SWITCHABLE_MECHANISMS),
        "mechanisms to do without, for measuring what each one gives",
    ),
    Setting(
        "links_per_domain",
        parsers.integer(1, MAX_LINKS),
        "nodes of each other failure domain to follow; at least those of the largest",
    ),
    Setting(
        "stop_grace_ms",
        parsers.integer(0, MAX_WAIT_MS),
        "longest time of a graceful stop",
    ),
    Setting(
        "drain_wait_ms",
        parsers.integer(0, MAX_WAIT_MS),
        "time of a stop that balancers get to notice it, before work is refused",
    ),
    Setting(
        "log_level",
        parsers.choice("debug", "info", "warning", "error"),
        "least severe level that is logged",
    ),
    Setting(
        "http_header_bytes",
        parsers.integer(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        "most bytes of a request's line and headers",
    ),
    Setting(
        "http_body_bytes",
        parsers.integer(1, MAX_BODY_BYTES),
        "most bytes of a request's body; 1 MiB if more",
    ),
    Setting(
        "http_connections",
        parsers.integer(1, MAX_CONNECTIONS),
        "most connections of callers at a time",
    ),
    Setting(
        "http_header_timeout_ms",
        parsers.integer(1, MAX_TIMEOUT_MS),
        "longest time for a request's headers",
    ),
    Setting(
        "http_body_timeout_ms",
        parsers.integer(1, MAX_TIMEOUT_MS),
        "longest time for a request's body",
    ),
    Setting(
        "http_idle_timeout_ms",
        parsers.integer(1, MAX_TIMEOUT_MS),
        "longest time that a connection is kept between requests",
    ),
)
"""All settings, in the order in which faults are reported."""

KEY_FILE = Setting(
    "deployment_key_file",
    lambda log, place, text: text,
    "file that holds the deployment key, instead of the variable",
)
"""Path of a file with the deployment key; not a field of `NodeSettings`."""
