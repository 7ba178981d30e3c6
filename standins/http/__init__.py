"""A small HTTP/1.1 server for stand-ins, with control over its connections.

It stands apart from ``rhubarbhinge.web`` so that a fault there does not hide itself: a stand-in
must be able to hold, cut short and repeat answers, and to close connections as it pleases.
"""

from standins.http._connection import Connection
from standins.http._exchanges import Exchanges
from standins.http._malformed import MalformedError, reads
from standins.http._reply import Delivery, Reply
from standins.http._request import Request
from standins.http._server import Server

__all__ = [
    "Connection",
    "Delivery",
    "Exchanges",
    "MalformedError",
    "Reply",
    "Request",
    "Server",
    "reads",
]
