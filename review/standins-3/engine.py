"""A stand-in engine as a process of its own: some answers have no length.

Usage: engine.py ADDRESS. One answer in twenty ends with its channel, as the pages
allow, the others have a length and keep it. Each is written in two halves, the second
one when the work is done. Standard output tells when an answer without a length has
begun.
"""

import itertools
import socket
import sys
import threading
import time

WORK_S = 0.09
"""As on the site's sheet."""
BODY_BYTES = 800
UNFRAMED_EVERY = 20
"""The site's `garble` with how `unframed` has x = 0.05."""
answers = itertools.count(1)


def read_head(channel: socket.socket) -> bytes:
    """Return the head of a request without a body, nothing at the channel's end."""
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            part = channel.recv(65536)
        except ConnectionError:
            return b""
        if not part:
            return b""
        data += part
    return data


def body_of(name: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return (name.encode() * BODY_BYTES)[:BODY_BYTES]


def serve(channel: socket.socket) -> None:
    """Answer requests, until an answer without a length ends the channel."""
    with channel:
        while name := name_in(read_head(channel)):
            if answer(channel, name):
                return


def name_in(head: bytes) -> str:
    """Return the id of a request."""
    lines = head.decode("latin-1").split("\r\n")
    found = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines)}
    return found.get("x-savorydyke-request-id", "")


def answer(channel: socket.socket, name: str) -> bool:
    """Answer one request; return whether the answer ends the channel."""
    body = body_of(name)
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Savorydyke-Request-Id: {name}",
        "X-Savorydyke-Response-Stamp: 3e1b.07.5a2.800.0.c9f2a4d1",
        "Content-Type: text/plain",
    ]
    is_unframed = next(answers) % UNFRAMED_EVERY == 0
    lines.append(
        "Connection: close" if is_unframed else f"Content-Length: {BODY_BYTES}"
    )
    channel.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body[:400])
    if is_unframed:
        print(name, "begun", flush=True)
    time.sleep(WORK_S)
    channel.sendall(body[400:])
    return is_unframed


def main() -> None:
    """Serve until killed."""
    host, _, port = sys.argv[1].rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=128)
    while True:
        channel, _ = listener.accept()
        threading.Thread(target=serve, args=(channel,), daemon=True).start()


if __name__ == "__main__":
    main()
