"""HTTP replies without end."""

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS_REPLIES = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 100),
    "header name": (HEAD, b"x" * 100),
    "header value": (HEAD + b"X: ", b"v" * 100),
    "headers": (HEAD, b"A: b\r\n" * 20),
    "interim replies": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
    "interim replies without headers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body by length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"x" * 100),
    "body until close": (HEAD + b"\r\n", b"x" * 100),
    "chunks": (CHUNKED_HEAD, b"64\r\n" + b"x" * 100 + b"\r\n"),
    "chunks of one byte": (CHUNKED_HEAD, b"1\r\nx\r\n"),
    "chunks with extensions": (CHUNKED_HEAD, b"1;" + b"y" * 90 + b"\r\nx\r\n"),
    "chunk size": (CHUNKED_HEAD, b"0" * 100),
    "chunk extension": (CHUNKED_HEAD + b"5;", b"x" * 100),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"T: t\r\n" * 20),
    "trailer value": (CHUNKED_HEAD + b"0\r\nT: ", b"t" * 100),
}
"""Replies without end, each as its start and what is repeated from then on."""
