"""What the membership protocol asks the shell to do."""

from rhubarbhinge.control._member_changed import MemberChanged
from rhubarbhinge.control._revisions_seen import RevisionsSeen
from rhubarbhinge.control._send_datagram import SendDatagram
from rhubarbhinge.control._superseded import Superseded

MembershipEffect = SendDatagram | MemberChanged | RevisionsSeen | Superseded
