"""Stand-in of engines and plain services (PROTOCOL.md, "Engines")."""

import asyncio
import socket
import struct
from contextlib import suppress

from .http import answer_bytes, head_bytes, read_request

STAMP = ("X-Savorydyke-Response-Stamp", "review")
HEARTBEAT_S = 1.2


async def beat(site):
    """Let the engines that are alive write their entries, until cancelled."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        for engine in site.engines:
            if engine.beats:
                engine.write_entry()


class Engine:
    """One server of a service, with its entry in the store.

    Attributes
    ----------
    work : callable
        `await work(engine, call)` answers a request.
    more_headers : list
        Sent in all answers.
    arrivals : list of tuple
        Time and request of each that reached it.
    """

    def __init__(self, site, name, service, work, version="1", slots=8):
        self.site, self.name, self.service, self.work = site, name, service, work
        self.version, self.slots = version, slots
        self.address = site.free_address()
        self.born = 0
        self.seq = 0
        self.more_headers = []
        self.arrivals = []
        self.server = None
        self.beats = False
        self.state = "ready"
        self.writers = set()
        self.tasks = set()

    async def start(self):
        """Begin to serve, as a new process."""
        host, _, port = self.address.rpartition(":")
        self.born = max(self.born + 1, int(self.site.time_of_day() * 1000))
        self.seq = 0
        self.state = "ready"
        self.more_headers = []
        self.server = await asyncio.start_server(
            self._serve, host, int(port), backlog=256
        )
        self.enter()
        self.site.note(f"engine {self.name} starts, born {self.born}")

    def enter(self):
        """Write the entry now, and from now on at each heartbeat."""
        self.write_entry()
        self.beats = True

    def write_entry(self, state=None):
        self.state = state or self.state
        self.seq += 1
        self.site.store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": "a",
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    def remove_entry(self):
        """Remove the entry; return when the store accepted that."""
        self.beats = False
        self.site.store.remove(f"servers/{self.name}")
        return self.site.clock()

    def end(self):
        """End the process: nothing listens, and all channels are reset."""
        self.beats = False
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with suppress(OSError):
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.site.note(f"engine {self.name} ends")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            request = await read_request(reader)
            if request is None:
                return
            call = Call(self, request, reader, writer)
            expected = request.headers.get("x-savorydyke-expect-instance", self.name)
            if expected != self.name:
                await call.send_whole(421, b"", ("X-Savorydyke-Not-Executed", "1"))
                return
            self.arrivals.append((self.site.clock(), request))
            await self.work(self, call)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            if not self.site.closing:
                return
            raise
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()


class Call:
    """One request at an engine, and means to answer it."""

    def __init__(self, engine, request, reader, writer):
        self.engine, self.request = engine, request
        self.reader, self.writer = reader, writer

    @property
    def id(self):
        return self.request.headers.get("x-savorydyke-request-id", "")

    def is_closed(self):
        """Return whether the other end has closed the channel."""
        return self.reader.at_eof() or self.writer.transport.is_closing()

    def _headers(self, more):
        own = ("X-Savorydyke-Request-Id", self.id)
        return [own, STAMP, *self.engine.more_headers, *more]

    async def send_whole(self, status, body, *more):
        self.writer.write(answer_bytes(status, self._headers(more), body))
        await self.writer.drain()

    async def begin_stream(self):
        more = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = head_bytes("HTTP/1.1 200 X", self._headers(more))
        self.writer.write(head)
        await self.writer.drain()

    async def send_event(self, number, data):
        event = f"id: {number}\ndata: {data}\n\n".encode()
        self.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await self.writer.drain()

    async def end_stream(self):
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()
