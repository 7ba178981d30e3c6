"""One node as the platform's VM list names it."""

from typing import NamedTuple


class VmNode(NamedTuple):
    """A node of a listed VM.

    :param name: ``<vm name>/<role>``.
    :param role: ``entry`` or ``relay``.
    :param failure_domain: the VM's failure domain.
    :param ip: the VM's address.
    :param peer_port: TCP port for peers and UDP port for probes.
    :param http_port: port for callers and operators.
    :param vm_state: ``live`` or ``leaving``, as listed.
    """

    name: str
    role: str
    failure_domain: str
    ip: str
    peer_port: int
    http_port: int
    vm_state: str
