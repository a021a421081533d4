"""Decision cases about connections that fail while something else happens to them."""

import socket
import struct

import trio
import trio.testing
from decision_cases import case

from savorydyke._http1 import (
    ChannelBrokenError,
    ChannelTimeoutError,
    OutgoingRequest,
    open_channel,
)
from savorydyke._read_deadlines import ReadDeadlines

ROUNDS = 40
"""A coin decides in each of them what the event loop runs first."""
HEAD = b"HTTP/1.1 200 X\r\n\r\n"


def reset(sock):
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def open_answered(listener):
    """Return a channel with the first part of an answer, and its other end."""
    host, port = listener.getsockname()
    channel = await open_channel(f"{host}:{port}", 1.0)
    other, _ = listener.accept()
    await channel.send(OutgoingRequest(b"GET", b"/", []), None)
    other.sendall(HEAD + b"part")
    await channel.read_head()
    assert await channel.next_part() == b"part"
    return channel, other


async def reset_when_late(listener):
    """Let a read be late when the reset comes; return how the answer ends."""
    channel, other = await open_answered(listener)
    channel.deadlines = ReadDeadlines(is_running=True)
    channel.read_until = trio.current_time() + 60.0
    ends = []

    async def read():
        while not ends:
            try:
                ends.append(await channel.next_part())
            except ChannelTimeoutError:
                # No other endpoint has been granted.
                continue
            except ChannelBrokenError:
                ends.append("broken")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        reset(other)
        # The reader is woken in the same turn of the event loop.
        await trio.lowlevel.checkpoint()
        channel.end_read()
    channel.close()
    return ends[0]


# Guards against a reset that is taken for lateness, so that the next read finds a sound
# end: a part of an answer was told as the whole.
@case("an answer that is reset just when it is late is not complete")
def _():
    async def play():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            return [await reset_when_late(listener) for _ in range(ROUNDS)]

    ends = trio.run(play)
    assert ends == ["broken"] * ROUNDS, ends
