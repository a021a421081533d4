"""Sends and receives on sockets in few steps of the event loop.

Trio's streams yield to the event loop on each call. Relaying an event of a
stream takes one call of each kind, so that this shows in the cost of an event.
"""

import os

import trio


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Send all of `data`, and wait only if the peer does not keep up.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is gone.
    """
    try:
        sent = os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        sent = 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
    if sent < len(data):
        await stream.send_all(data[sent:])


async def receive(stream: trio.SocketStream, size: int) -> bytes:
    """Return up to `size` bytes as soon as there are any; none at the end.

    Raises
    ------
    trio.BrokenResourceError
        If the connection was reset.
    """
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), size)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
