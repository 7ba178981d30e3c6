"""Configuration revisions, the platform's reader, dissemination and membership.

All parts are state machines: each input takes the time and returns effects.
"""

from rhubarbhinge.control._adopted import Adopted
from rhubarbhinge.control._config_age import ConfigAge
from rhubarbhinge.control._config_keys import KEYS, REGISTER, RULES, VMS
from rhubarbhinge.control._config_store import PLATFORM, ConfigStore
from rhubarbhinge.control._content_hash import content_hash
from rhubarbhinge.control._control_node import ControlNode
from rhubarbhinge.control._dissemination import Dissemination
from rhubarbhinge.control._dissemination_settings import DisseminationSettings
from rhubarbhinge.control._document import Document
from rhubarbhinge.control._member_changed import MemberChanged
from rhubarbhinge.control._member_state import ALIVE, DEAD, LEAVING, SUSPECT, is_live
from rhubarbhinge.control._membership import Membership
from rhubarbhinge.control._membership_timings import MembershipTimings
from rhubarbhinge.control._message_bytes import message_bytes
from rhubarbhinge.control._offer_ignored import Ignored
from rhubarbhinge.control._platform_outcome import PlatformOutcome
from rhubarbhinge.control._poll_platform import PollPlatform
from rhubarbhinge.control._refused import Refused
from rhubarbhinge.control._rendezvous import best, rank
from rhubarbhinge.control._revisions_seen import RevisionsSeen
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.control._send_peer import SendPeer
from rhubarbhinge.control._superseded import Superseded
from rhubarbhinge.control._token_bucket import TokenBucket
from rhubarbhinge.control._vm_node import VmNode
from rhubarbhinge.wire._member import Member

__all__ = [
    "ALIVE",
    "DEAD",
    "KEYS",
    "LEAVING",
    "PLATFORM",
    "REGISTER",
    "RULES",
    "SUSPECT",
    "VMS",
    "Adopted",
    "ConfigAge",
    "ConfigStore",
    "ControlNode",
    "Dissemination",
    "DisseminationSettings",
    "Document",
    "Ignored",
    "Member",
    "MemberChanged",
    "Membership",
    "MembershipTimings",
    "PlatformOutcome",
    "PollPlatform",
    "Refused",
    "RevisionsSeen",
    "SendDatagram",
    "SendPeer",
    "Superseded",
    "TokenBucket",
    "VmNode",
    "best",
    "content_hash",
    "is_live",
    "message_bytes",
    "rank",
]
