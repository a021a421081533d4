"""Links between instances: authenticated WebSockets that carry CBOR frames.

Each link has a task that reads and a task that writes. The writer sends all
queued messages as one frame.
"""

import hashlib
import hmac
import math
import random
import secrets
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

import trio
from websockets.exceptions import WebSocketException

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._backoff import backoff_s
from savorydyke._exceptions import HandshakeError, ProtocolError
from savorydyke._frame_stream import FrameStream, accept_frames, connect_frames
from savorydyke._ids import InstanceId
from savorydyke._membership import MAX_FULL_MESH, Membership, ring_neighbours
from savorydyke._messages import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Challenge,
    Heartbeat,
    Hello,
    MemberRow,
    Message,
    Welcome,
    decode,
    encode,
)
from savorydyke._untrusted import MAX_SHOWN, is_address, is_name, shown

HANDSHAKE_TIMEOUT_S = 2.0
NONCE_BYTES = 16
MAX_QUEUED = 20_000
"""Messages queued for a peer before its link counts as stuck and is closed."""
DIAL_BASE_S = 0.2
DIAL_MAX_S = 5.0
LINK_CHECK_INTERVAL_S = 0.25
UNUSED_LINK_S = 5.0
"""Longer than the interval at which frontends register with a coordinator, so that
links to coordinators are kept."""
JOIN_S = 1.5
"""Time after its start in which an instance waits for a view that grows. Of the links
that it would open to a part of a fleet that starts, few are kept."""
STEADY_S = 0.5
"""Time without new instances after which a view counts as complete: a pause between
two watches of the store, and a check."""
EXTENSIBLE_HEADER = "Savorydyke-Extensible"
"""States in the WebSocket handshake that fields which are not known are ignored.
Earlier builds ignore the header, and refuse such fields."""
HANDSHAKE_HEADERS = {EXTENSIBLE_HEADER: "1"}
TRAFFIC_CHECK_S = 1.0
MUCH_TRAFFIC_BYTES = 100_000
"""Bytes sent or received between two checks from which on they are logged. It is three
times what the control of an instance may take."""
LINK_SILENT_S = 2.5
"""Five heartbeats. A connection may stop carrying data without being reset, so a
silent one is closed."""

log = _logs.component_logger("peers")

M = TypeVar("M", bound=Message)
Handler = Callable[[InstanceId, Message], None]


@dataclass
class Traffic:
    """Traffic counters of all links.

    Attributes
    ----------
    refused : int
        Handshakes that failed and links closed because of an invalid frame.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    frames_received: int = 0
    bytes_received: int = 0
    refused: int = 0

    def since(self, earlier: "Traffic") -> dict[str, int]:
        """Return what was counted since an earlier copy, by name."""
        return {
            name: count - getattr(earlier, name) for name, count in vars(self).items()
        }


@dataclass
class GrowingView:
    """The number of instances that are known after a start.

    Attributes
    ----------
    known : int or None
        Their number at the latest check.
    grown_at : float
        When it last grew, after the first check.
    """

    started_at: float
    known: int | None = None
    grown_at: float = -math.inf

    def is_steady(self, known: int, now: float) -> bool:
        """Return whether links may be opened, with as many instances known."""
        if self.known is not None and known > self.known:
            self.grown_at = now
        self.known = known
        is_joining = now - self.started_at < JOIN_S
        return not is_joining or now - self.grown_at >= STEADY_S


@dataclass(eq=False)
class Link:
    """An open connection to one peer.

    Attributes
    ----------
    dialler : InstanceId
        The instance that opened it. Of two links between the same pair, the one
        opened by the instance with the smaller id is kept.
    is_extensible : bool
        Whether the peer ignores fields that it does not know.
    last_used_at : float
        When the latest message other than a heartbeat was sent or received.
    """

    peer: InstanceId
    dialler: InstanceId
    frames: FrameStream
    scope: trio.CancelScope
    is_extensible: bool = False
    queue: list[Message] = field(default_factory=list)
    wake: trio.Event = field(default_factory=trio.Event)
    last_received_at: float = field(default_factory=trio.current_time)
    last_used_at: float = field(default_factory=trio.current_time)

    def send(self, message: Message) -> None:
        """Queue a message; close the link if the peer does not read."""
        self.note_use(message)
        self.queue.append(message)
        self.wake.set()
        if len(self.queue) > MAX_QUEUED:
            self.scope.cancel()

    def note_use(self, message: Message) -> None:
        """Record the time of a message other than a heartbeat."""
        if not isinstance(message, Heartbeat):
            self.last_used_at = trio.current_time()


class Peers:
    """All links of this instance.

    Parameters
    ----------
    handler : callable
        Called with each message and the instance that sent it.

    Attributes
    ----------
    requested : set of InstanceId
        Peers to which a message could not be sent for lack of a link; one is
        opened at the next check.
    seeds : set of str
        Configured addresses, dialled until they are linked.
    seed_instances : dict of str to InstanceId
        The instance that answered at each address dialled.
    listed_addresses : dict of InstanceId to str
        Instances in the platform's list.
    wanted : trio.Event
        Set when a peer is added to `requested`, and replaced then.
    changes : int
        Number of changes of links and of the list.
    wanted_peers : tuple or None
        Peers to keep links to, and the number of changes of the membership then.
    on_failure : callable
        Called with what has failed, a link or a message, on an unforeseen error.
    """

    def __init__(
        self,
        membership: Membership,
        shared_key: str,
        handler: Handler,
        rng: random.Random,
        client_tls: ssl.SSLContext | None = None,
        server_tls: ssl.SSLContext | None = None,
    ) -> None:
        self.membership = membership
        self.shared_key = shared_key.encode()
        self.handler = handler
        self.rng = rng
        self.on_failure: Callable[[str], None] = lambda task: None
        self.client_tls = client_tls
        self.server_tls = server_tls
        self.links: dict[InstanceId, Link] = {}
        self.dialling: set[str] = set()
        self.requested: set[InstanceId] = set()
        self.seeds: set[str] = set()
        self.listed_addresses: dict[InstanceId, str] = {}
        self.seed_instances: dict[str, InstanceId] = {}
        self.traffic = Traffic()
        self.wanted = trio.Event()
        self.changes = 0
        self.wanted_peers: tuple[int, set[InstanceId]] | None = None

    def send(self, peer: InstanceId, message: Message) -> bool:
        """Queue a message for `peer`.

        Return False if there is no link; one is then opened if possible.
        """
        link = self.links.get(peer)
        if link is None:
            self._request(peer)
            return False
        link.send(message)
        return True

    def _request(self, peer: InstanceId) -> None:
        """Let a link be opened, unless that is being done."""
        member = self.membership.members.get(peer)
        if member is not None and member.address not in self.dialling:
            self.requested.add(peer)
            self.wanted.set()

    def set_listed(self, addresses: dict[InstanceId, str]) -> None:
        """Set which instances the platform lists, and where they take links."""
        if addresses != self.listed_addresses:
            self.listed_addresses = addresses
            self.wanted_peers = None
            self.changes += 1

    # Accepting and dialling

    async def listen(self, address: str, task_status: trio.TaskStatus[Any]) -> None:
        """Accept links on `address` until cancelled."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
        await trio.serve_listeners(self._accept, listeners, task_status=task_status)

    async def maintain_links(self) -> None:
        """Open missing links and close silent ones, until cancelled."""
        view = GrowingView(trio.current_time())
        checked: tuple[int, int] | None = None
        async with trio.open_nursery() as nursery:
            tasks = BackgroundTasks(nursery, self.on_failure)
            while True:
                now = trio.current_time()
                state = (self.changes, self.membership.changes)
                is_changed = state != checked or bool(self.requested)
                known = self._count_known() if is_changed else 0
                # In a full mesh each link is kept.
                is_ready = view.is_steady(known, now) or known < MAX_FULL_MESH
                if is_changed and is_ready:
                    checked = state
                    for address in self._missing_addresses():
                        self.dialling.add(address)
                        tasks.start_soon(self._dial, address)
                self._close_silent_links(now)
                for link in self._unused_links(now):
                    self.membership.expect_no_heartbeats(link.peer)
                    link.scope.cancel()
                with trio.move_on_after(LINK_CHECK_INTERVAL_S):
                    await self.wanted.wait()
                self.wanted = trio.Event()

    async def watch_traffic(self) -> None:
        """Log what all links carry if that is much, until cancelled."""
        while True:
            before = replace(self.traffic)
            await trio.sleep(TRAFFIC_CHECK_S)
            extra = self.traffic.since(before)
            if max(extra["bytes_sent"], extra["bytes_received"]) > MUCH_TRAFFIC_BYTES:
                log.info("Much traffic.", extra=extra | {"links": len(self.links)})

    def _count_known(self) -> int:
        """Return how many other instances are members or listed."""
        return len(self.membership.members.keys() | self.listed_addresses)

    def _close_silent_links(self, now: float) -> None:
        """Close links that carry no data any more, so that new ones are opened."""
        for link in list(self.links.values()):
            if now - link.last_received_at > LINK_SILENT_S:
                log.warning("Closing silent link.", extra={"peer": link.peer})
                link.scope.cancel()

    def _unused_links(self, now: float) -> list[Link]:
        """Return the links of a large fleet that this instance no longer needs.

        While instances find each other after their start, they open more links than
        those to their neighbours on the ring. Each costs heartbeats at both ends.
        """
        if not self.membership.is_large_fleet():
            return []
        unused = [
            link
            for link in self.links.values()
            if link.dialler == self.membership.id
            and now - link.last_used_at > UNUSED_LINK_S
        ]
        if not unused:
            return []
        wanted = self._wanted_peers()
        return [link for link in unused if link.peer not in wanted]

    def _wanted_peers(self) -> set[InstanceId]:
        """Return the peers to which this instance should keep links."""
        changes = self.membership.changes
        if self.wanted_peers is None or self.wanted_peers[0] != changes:
            wanted = {member.id for member in self.membership.wanted_links()}
            restored = self.membership.links_to_restore(self.listed_addresses)
            self.wanted_peers = (changes, wanted | {member.id for member in restored})
        return self.wanted_peers[1]

    def _missing_addresses(self) -> list[str]:
        members = self.membership.members
        wanted = {m.id: m.address for m in self.membership.wanted_links()}
        for member in self.membership.links_to_restore(self.listed_addresses):
            # It may have restarted elsewhere.
            wanted[member.id] = self.listed_addresses.get(member.id, member.address)
        for peer in self.requested & members.keys():
            wanted[peer] = members[peer].address
        self.requested.clear()
        addresses = {a for peer, a in wanted.items() if peer not in self.links}
        known = {member.address for member in members.values()}
        linked = {members[p].address for p in self.links if p in members}
        addresses |= self._unknown_listed_addresses() - known
        for seed in self.seeds - linked:
            if self.seed_instances.get(seed) not in self.links:
                addresses.add(seed)
        return sorted(addresses - self.dialling - {self.membership.address})

    def _unknown_listed_addresses(self) -> set[str]:
        """Return addresses of listed instances that are not members yet.

        In a large fleet only the neighbours on the ring of ids are returned, since
        their heartbeats carry the other members.
        """
        unknown = {i for i in self.listed_addresses if i not in self.membership.members}
        if len(self.listed_addresses) > MAX_FULL_MESH:
            everyone = unknown | self.membership.members.keys()
            unknown &= set(ring_neighbours(self.membership.id, everyone))
        return {self.listed_addresses[instance] for instance in unknown}

    async def _dial(self, address: str) -> None:
        attempt = 0
        try:
            while attempt < 3:
                try:
                    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                        frames = await connect_frames(
                            address,
                            self.client_tls,
                            MAX_FRAME_BYTES,
                            HANDSHAKE_HEADERS,
                        )
                    await self._serve_dialled(frames, address)
                    return
                except (
                    OSError,
                    ValueError,
                    WebSocketException,
                    trio.TooSlowError,
                ) as error:
                    log.debug(
                        "Dialling failed.",
                        extra={"address": address, "error": repr(error)},
                    )
                except (HandshakeError, ProtocolError) as error:
                    self._record_refusal(str(error))
                attempt += 1
                self._record_dial_failure(address)
                await trio.sleep(backoff_s(attempt, DIAL_BASE_S, DIAL_MAX_S, self.rng))
        finally:
            self.dialling.discard(address)
            self.changes += 1

    async def _serve_dialled(self, frames: FrameStream, address: str) -> None:
        """Serve a connection that this instance has opened, until it ends."""
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await self._handshake_as_dialler(frames)
            self.seed_instances[address] = peer
            if peer != self.membership.id:
                await self._run(frames, peer, self.membership.id)
        finally:
            await frames.close()

    def _record_dial_failure(self, address: str) -> None:
        for member in self.membership.members.values():
            if member.address == address:
                member.dial_failed_at = trio.current_time()

    async def _accept(self, stream: trio.SocketStream) -> None:
        """Serve a connection that a peer has opened, until it ends."""
        tls = self.server_tls
        secured = (
            stream
            if tls is None
            else trio.SSLStream(stream, tls, server_side=True, https_compatible=True)
        )
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                frames = await accept_frames(
                    secured, MAX_FRAME_BYTES, HANDSHAKE_HEADERS
                )
            await self._serve_accepted(frames)
        except (OSError, WebSocketException, trio.TooSlowError) as error:
            log.debug("Handshake failed.", extra={"error": repr(error)})
        except Exception:
            # An error on one link must not affect the others.
            log.exception("Link failed.")
            self.on_failure("Peers._accept")

    async def _serve_accepted(self, frames: FrameStream) -> None:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await self._handshake_as_acceptor(frames)
            await self._run(frames, peer, peer)
        except (HandshakeError, ProtocolError, trio.TooSlowError) as error:
            self._record_refusal(str(error) or "handshake timed out")
        finally:
            await frames.close()

    def _record_refusal(self, error: str) -> None:
        self.traffic.refused += 1
        log.warning("Link refused.", extra={"error": error})

    # Handshake

    async def _handshake_as_dialler(self, frames: FrameStream) -> InstanceId:
        """Authenticate on the dialling side and return the peer's id."""
        challenge = await self._receive(frames, Challenge)
        _check_version(challenge.version)
        me = self.membership
        nonce = secrets.token_bytes(NONCE_BYTES)
        signature = self._sign(b"hello", challenge.nonce, me.id)
        hello = Hello(
            PROTOCOL_VERSION,
            me.id,
            me.address,
            me.data_centre,
            me.incarnation,
            nonce,
            signature,
        )
        await _send(frames, hello)
        if challenge.instance == me.id:
            return me.id
        welcome = await self._receive(frames, Welcome)
        self._check(welcome.signature, b"welcome", nonce, challenge.instance)
        self._add_member(challenge.instance, welcome)
        return challenge.instance

    async def _handshake_as_acceptor(self, frames: FrameStream) -> InstanceId:
        """Authenticate on the accepting side and return the peer's id."""
        me = self.membership
        nonce = secrets.token_bytes(NONCE_BYTES)
        await _send(frames, Challenge(PROTOCOL_VERSION, me.id, nonce))
        hello = await self._receive(frames, Hello)
        _check_version(hello.version)
        self._check(hello.signature, b"hello", nonce, hello.instance)
        if hello.instance == me.id:
            raise HandshakeError("the peer uses this instance's id")
        signature = self._sign(b"welcome", hello.nonce, me.id)
        welcome = Welcome(me.address, me.data_centre, me.incarnation, signature)
        await _send(frames, welcome)
        self._add_member(hello.instance, hello)
        return hello.instance

    async def _receive(self, frames: FrameStream, kind: type[M]) -> M:
        frame = await frames.receive()
        if frame is None:
            raise ConnectionError(f"closed before {kind.__name__}")
        messages = decode(frame)
        if len(messages) != 1 or not isinstance(messages[0], kind):
            raise HandshakeError(f"expected {kind.__name__}")
        return messages[0]

    def _sign(self, role: bytes, nonce: bytes, instance: InstanceId) -> bytes:
        text = role + nonce + instance.encode()
        return hmac.new(self.shared_key, text, hashlib.sha256).digest()

    def _check(
        self, signature: bytes, role: bytes, nonce: bytes, instance: InstanceId
    ) -> None:
        if not hmac.compare_digest(signature, self._sign(role, nonce, instance)):
            raise HandshakeError(f"wrong signature from {instance!r}")

    def _add_member(self, peer: InstanceId, handshake: Hello | Welcome) -> None:
        if not is_name(peer) or not is_address(handshake.address):
            raise HandshakeError(f"invalid id or address of {peer[:MAX_SHOWN]!r}")
        row = MemberRow(
            peer,
            handshake.address,
            handshake.data_centre,
            handshake.incarnation,
            0,
            0,
            False,
        )
        self.membership.merge_row(row, trio.current_time())

    # One link

    async def _run(
        self, frames: FrameStream, peer: InstanceId, dialler: InstanceId
    ) -> None:
        with trio.CancelScope() as scope:
            link = Link(peer, dialler, frames, scope, _is_extensible(frames))
            if not self._add_link(link):
                return
            log.info("Link opened.", extra={"peer": peer})
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, link)
                    await self._read(link)
                    nursery.cancel_scope.cancel()
            finally:
                self._remove_link(link)

    def _add_link(self, link: Link) -> bool:
        """Add a link, or return False if an earlier one is kept instead."""
        earlier = self.links.get(link.peer)
        if earlier is not None:
            if earlier.dialler < link.dialler:
                return False
            earlier.scope.cancel()
        self.links[link.peer] = link
        self._set_linked(link.peer, True)
        return True

    def _remove_link(self, link: Link) -> None:
        if self.links.get(link.peer) is not link:
            return
        del self.links[link.peer]
        self._set_linked(link.peer, False)
        log.info("Link closed.", extra={"peer": link.peer})

    def _set_linked(self, peer: InstanceId, linked: bool) -> None:
        member = self.membership.members.get(peer)
        if member is not None:
            member.linked = linked
        self.changes += 1
        self.membership.update(trio.current_time())
        self.membership.notify()

    async def _read(self, link: Link) -> None:
        try:
            while (frame := await link.frames.receive()) is not None:
                link.last_received_at = trio.current_time()
                self.traffic.frames_received += 1
                self.traffic.bytes_received += len(frame)
                for message in decode(frame):
                    link.note_use(message)
                    self._handle(link.peer, message)
        except ProtocolError as error:
            self._record_refusal(f"{link.peer}: {error}")
            return
        if link.frames.is_closed_normally():
            # It is not needed; the peer goes on elsewhere.
            self.membership.expect_no_heartbeats(link.peer)

    def _handle(self, peer: InstanceId, message: Message) -> None:
        """Process a message; one that can not be processed costs itself only."""
        try:
            self.handler(peer, message)
        except Exception as error:
            kind = type(message).__name__
            extra = {"peer": peer, "kind": kind, "error": shown(error)}
            log.exception("Message failed.", extra=extra)
            self.on_failure(kind)

    async def _write(self, link: Link) -> None:
        try:
            while True:
                await link.wake.wait()
                link.wake = trio.Event()
                messages, link.queue = link.queue, []
                if not messages:
                    continue
                frame = encode(messages, link.is_extensible)
                self.traffic.frames_sent += 1
                self.traffic.bytes_sent += len(frame)
                link.frames.queue(frame)
                await link.frames.flush()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Reading ends too.
            return


def _check_version(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise HandshakeError(
            f"peer uses protocol version {version}, not {PROTOCOL_VERSION}"
        )


async def _send(frames: FrameStream, message: Message) -> None:
    """Send one message of a handshake.

    Raises
    ------
    ConnectionError
        If the connection is lost.
    """
    frames.queue(encode([message]))
    try:
        await frames.flush()
    except trio.BrokenResourceError as error:
        raise ConnectionError(f"connection lost: {error}") from None


def _is_extensible(frames: FrameStream) -> bool:
    """Return whether the peer stated that it ignores fields that it does not know."""
    return EXTENSIBLE_HEADER in frames.peer_headers
