"""What one node says of another, or of itself."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """One node of the system as a membership update carries it.

    :param name: ``<vm name>/<role>``, unique over the fleet.
    :param role: ``entry`` or ``relay``.
    :param failure_domain: the failure domain the node runs in.
    :param ip: address by number.
    :param peer_port: TCP port for peers and UDP port for probes.
    :param incarnation: number of the process; larger is newer.
    :param state: ``alive``, ``suspect``, ``leaving`` or ``dead``.
    :param counter: grows each time that the node refutes a suspicion or changes its state.
    """

    name: str
    role: str
    failure_domain: str
    ip: str
    peer_port: int
    incarnation: int
    state: str
    counter: int = 0
