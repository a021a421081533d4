"""Sends and receives on sockets with few passes through the event loop.

Trio's streams yield to the event loop on each call. Relaying one event takes one
send and one receive, so that the yields are a noticeable part of its cost.
"""

import os
import struct
from dataclasses import dataclass

import trio


@dataclass
class ReadCounts:
    """What was read by `receive`.

    Attributes
    ----------
    full : int
        Reads that returned as much as was asked for, so that more is likely to have
        come already.
    """

    full: int = 0


read_counts = ReadCounts()
"""Of this process, which has one event loop."""


def send_some(stream: trio.SocketStream, data: bytes | memoryview) -> int:
    """Send what the socket's send buffer takes of `data`; return how many bytes.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is closed.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


async def send(stream: trio.SocketStream, data: bytes) -> None:
    """Send all of `data`; wait only if the socket's send buffer is full.

    The kernel reports an error of a connection once. Nothing else runs between that
    and the exception here, so that whoever reads meanwhile can be told.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is closed. Its cause is the error of the socket.
    trio.ClosedResourceError
        If it was closed here.
    """
    left = memoryview(data)[send_some(stream, data) :]
    while left:
        await _wait_writable(stream)
        left = left[send_some(stream, left) :]


async def _wait_writable(stream: trio.SocketStream) -> None:
    """Wait until a socket takes more bytes.

    Raises
    ------
    trio.ClosedResourceError
        If the socket was closed here.
    """
    while True:
        if stream.socket.fileno() < 0:
            raise trio.ClosedResourceError("the socket was closed")
        try:
            await trio.lowlevel.wait_writable(stream.socket)
            return
        except trio.ClosedResourceError:
            # A read that was ended wakes all that wait for the socket.
            continue


def reset_when_closed(stream: trio.SocketStream) -> None:
    """Let the close of a connection reset it, so that it ends no answer."""
    linger = struct.pack("ii", 1, 0)
    option = trio.socket.SO_LINGER
    stream.socket.setsockopt(trio.socket.SOL_SOCKET, option, linger)


def receive_at_once(stream: trio.SocketStream, size: int) -> bytes:
    """Return up to `size` bytes that have come already, none if that fails."""
    try:
        return os.read(stream.socket.fileno(), size)
    except OSError:
        return b""


async def receive(stream: trio.SocketStream, size: int) -> bytes:
    """Wait for data and return up to `size` bytes; empty at end of stream.

    Raises
    ------
    trio.BrokenResourceError
        If the connection was reset.
    """
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            data = os.read(stream.socket.fileno(), size)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error
        if len(data) == size:
            read_counts.full += 1
        return data
