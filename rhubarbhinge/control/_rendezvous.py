"""Rendezvous hashing: ranks on which all nodes agree without talking."""

import xxhash

from rhubarbhinge.wire._member import Member


def rank(subject: str, name: str) -> int:
    """Give the weight of a name for a subject (Thaler, Ravishankar: highest random weight, 1998).

    :param subject: what is to be placed.
    :param name: one of the places.
    :returns: the weight; the highest is chosen.
    """
    return xxhash.xxh3_64_intdigest(f"{subject}|{name}".encode())


def best(subject: str, members: tuple[Member, ...], count: int) -> tuple[Member, ...]:
    """Choose the members that rank highest, at most one a VM as long as there are enough VMs.

    :param subject: what is to be placed.
    :param members: the places.
    :param count: how many are wanted.
    :returns: at most ``count`` members, the highest first.
    """
    ordered = sorted(members, key=lambda member: rank(subject, member.name), reverse=True)
    chosen: list[Member] = []
    spare: list[Member] = []
    vms: set[str] = set()
    for member in ordered:
        vm = vm_name(member.name)
        (spare if vm in vms else chosen).append(member)
        vms.add(vm)
        if len(chosen) == count:
            break
    return tuple(chosen + spare)[:count]


def vm_name(name: str) -> str:
    """Give the VM's part of a node's name.

    :param name: ``<vm name>/<role>``.
    :returns: the VM's name.
    """
    return name.rpartition("/")[0]
