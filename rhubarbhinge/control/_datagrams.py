"""Builds probe messages with as many membership updates as fit."""

from collections.abc import Callable
from dataclasses import replace

from rhubarbhinge.control._member_state import DEAD, SUSPECT
from rhubarbhinge.control._member_table import MemberTable
from rhubarbhinge.control._message_bytes import WORD_BYTES, message_bytes, struct_bytes
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.control._update_queue import UpdateQueue
from rhubarbhinge.wire._config_digest import ConfigDigest
from rhubarbhinge.wire._indirect_probe import IndirectProbe
from rhubarbhinge.wire._member import Member
from rhubarbhinge.wire._members_page import MembersPage
from rhubarbhinge.wire._members_request import MembersRequest
from rhubarbhinge.wire._probe import Probe
from rhubarbhinge.wire._probe_ack import ProbeAck

DATAGRAM_LIMIT_BYTES = 1_400
NAME_RESERVE_BYTES = 128
NO_CONFIG = ConfigDigest(0, 0, 0, 0, 0, 0)

Announce = Callable[[int], ConfigDigest]


class Datagrams:
    """Makes the messages of one node.

    A receiver that is held for suspect, dead or replaced by a newer process is told so first, so
    that it can refute or stop at once.

    :param me: this node; replaced by its owner when its state changes.
    :param table: the members.
    """

    def __init__(self, me: Member, table: MemberTable) -> None:
        self.me = me
        self.updates = UpdateQueue()
        self.announce: Announce = lambda now_ms: NO_CONFIG
        self._table = table

    def probe(self, sequence: int, receiver: Member, now_ms: int) -> SendDatagram:
        """Probe a member.

        :param sequence: number to match the answer by.
        :param receiver: the member; its name may be empty.
        :param now_ms: the time.
        :returns: the datagram.
        """
        name, incarnation = receiver.name, receiver.incarnation
        message = Probe(sequence, self.me, self.announce(now_ms), name, incarnation, ())
        return self._filled(receiver.ip, receiver.peer_port, message, receiver)

    def indirect(self, sequence: int, helper: Member, target: Member, now_ms: int) -> SendDatagram:
        """Ask a member to probe another.

        :param sequence: number of the own probe.
        :param helper: the member that is asked.
        :param target: the member to probe.
        :param now_ms: the time.
        :returns: the datagram.
        """
        message = IndirectProbe(sequence, self.me, self.announce(now_ms), target, ())
        return self._filled(helper.ip, helper.peer_port, message, helper)

    def ack(
        self,
        sequence: int,
        subject: Member,
        asker: Member | None,
        address: tuple[str, int],
        now_ms: int,
    ) -> SendDatagram:
        """Answer a probe.

        :param sequence: the probe's number.
        :param subject: the node that is shown to be alive.
        :param asker: who asked; nothing if not known.
        :param address: where the answer goes.
        :param now_ms: the time.
        :returns: the datagram.
        """
        message = ProbeAck(sequence, self.me, self.announce(now_ms), subject, ())
        return self._filled(*address, message, asker)

    def page_request(
        self, sequence: int, receiver: Member, domain: str, after_name: str, now_ms: int
    ) -> SendDatagram:
        """Ask for a page of the member list.

        :param sequence: number of the request.
        :param receiver: the member that is asked.
        :param domain: only this failure domain; empty for any.
        :param after_name: last name of the page before.
        :param now_ms: the time.
        :returns: the datagram.
        """
        message = MembersRequest(sequence, self.me, self.announce(now_ms), domain, after_name)
        return SendDatagram(receiver.ip, receiver.peer_port, message)

    def page(self, request: MembersRequest, address: tuple[str, int], now_ms: int) -> SendDatagram:
        """Give a page of the member list.

        :param request: what was asked for.
        :param address: where the page goes.
        :param now_ms: the time.
        :returns: the datagram.
        """
        page = MembersPage(request.sequence, self.me, self.announce(now_ms), (), "")
        room_bytes = DATAGRAM_LIMIT_BYTES - message_bytes(page) - NAME_RESERVE_BYTES
        found: list[Member] = []
        for member in self._table.after(request.after_name, request.failure_domain):
            room_bytes -= WORD_BYTES + struct_bytes(member)
            if room_bytes < 0 and found:
                page = replace(page, next_name=found[-1].name)
                break
            found.append(member)
        return SendDatagram(*address, replace(page, updates=tuple(found)))

    def _filled(self, ip: str, port: int, message: object, receiver: Member | None) -> SendDatagram:
        room_bytes = DATAGRAM_LIMIT_BYTES - message_bytes(message)
        first: tuple[Member, ...] = ()
        known = self._table.get(receiver.name) if receiver else None
        if known is not None and _must_know(known, receiver):
            first = (known,)
            room_bytes -= WORD_BYTES + struct_bytes(known)
        updates = first + self.updates.take(room_bytes, len(self._table))
        return SendDatagram(ip, port, replace(message, updates=updates))


def _must_know(known: Member, receiver: Member) -> bool:
    return known.state in (SUSPECT, DEAD) or known.incarnation > receiver.incarnation
