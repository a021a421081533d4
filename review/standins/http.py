"""A little HTTP/1.1 for the stand-ins."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Answer:
    """An answer as the requester got it.

    `complete` says whether it ended as HTTP says that it does.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def read_head(reader):
    """Return the first line and the headers, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(reader):
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Return the next request of a connection, None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ", 2)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([part async for part in read_chunks(reader)])
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


def head_bytes(first, headers):
    """Return the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body):
    """Return the bytes of an answer with a length."""
    headers = [*headers, ("Content-Length", str(len(body)))]
    return head_bytes(f"HTTP/1.1 {status} X", headers) + body


async def ask(address, method, target, headers, body=b"", timeout_s=20.0):
    """Send one request on a channel of its own; return the answer.

    It is incomplete if the channel ended early.
    """
    answer = Answer()
    writer = None
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            if body:
                headers = [*headers, ("Content-Length", str(len(body)))]
            writer.write(head_bytes(f"{method} {target} HTTP/1.1", headers) + body)
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.error = "closed"
        return
    first, answer.headers = head
    answer.status = int(first.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        async for part in read_chunks(reader):
            answer.body += part
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.complete = True
