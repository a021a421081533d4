"""The ways from this instance to an endpoint: its own link, or another instance.

An instance that can not reach an endpoint hands the request to another one, which
sends it and returns the answer. The other instance also tells whether the endpoint or
the link is at fault.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from savorydyke import _logs
from savorydyke._endpoint_links import EndpointLinks
from savorydyke._forward_headers import (
    RESULT,
    SIGNATURE,
    UNDELIMITED,
    ForwardOrder,
    ForwardResult,
    order_headers,
    process_name,
    signature,
    without_forward_headers,
)
from savorydyke._http1 import (
    AnswerHead,
    Channel,
    ChannelBrokenError,
    ChannelRefusedError,
    OutgoingRequest,
    open_channel,
)
from savorydyke._ids import EndpointId, InstanceId, RequestKey
from savorydyke._manifest import Endpoint, Manifest
from savorydyke._membership import Member, Membership
from savorydyke._read_deadlines import ReadDeadlines

CONNECT_TIMEOUT_S = 0.3
"""Endpoints and instances are a few ms away; one that takes longer counts as
unreachable."""
RESET_WAIT_S = 0.02
"""Time in which a link that resets new connections does so."""
PROBE_TIMEOUT_S = 1.0
"""Time for another instance to tell whether it reaches an endpoint."""
QUICK_PROBE_S = 0.1
"""Time to reach another endpoint, while a request waits."""
PROBED_AT_ONCE = 3
"""Endpoints of which one has to be reached, since several may end together."""
MAX_FORWARDERS = 3
"""Instances that are asked in turn to send one request."""
SKIP_S = 1.0
"""Time for which an instance is not asked that could not send a request."""

log = _logs.component_logger("request")


class Ended(Enum):
    """Whether the process of an endpoint has ended, as far as can be told."""

    YES = "yes"
    NO = "no"
    IN_DOUBT = "in doubt"
    """The links may be at fault."""


class NoWayError(ChannelBrokenError):
    """Raised when neither this instance nor another one can send a request."""


@dataclass(frozen=True)
class Way:
    """An open connection by which a request can be sent to an endpoint.

    Attributes
    ----------
    forwarder : Member or None
        The instance at its other end, None if that is the endpoint.
    """

    channel: Channel
    forwarder: Member | None = None


@dataclass
class EndpointWays:
    """Opens connections by which requests reach endpoints.

    Attributes
    ----------
    secret : callable
        Returns the fleet's secret.
    manifest : callable
        Returns the manifest in force, None if there is none yet.
    skipped_until : dict of InstanceId to float
        Instances that could not send a request, and until when they are asked only
        without others.
    turns : dict of InstanceId to float
        When the turn of each instance to be asked comes, in requests per capacity.
    turn : float
        The turn of the latest one that was asked.
    serial : int
        Number of the latest order.
    forwarding : int
        Requests of other instances that this one is sending.
    read_deadlines : ReadDeadlines
        Ends the reads of silent endpoints.
    """

    membership: Membership
    links: EndpointLinks
    secret: Callable[[], bytes]
    manifest: Callable[[], Manifest | None]
    rng: random.Random
    skipped_until: dict[InstanceId, float] = field(default_factory=dict)
    turns: dict[InstanceId, float] = field(default_factory=dict)
    turn: float = 0.0
    serial: int = 0
    forwarding: int = 0
    read_deadlines: ReadDeadlines = field(default_factory=ReadDeadlines)

    async def open(self, endpoint: Endpoint, tried: set[InstanceId]) -> Way:
        """Return a connection by which a request can be sent to an endpoint.

        Parameters
        ----------
        tried : set of InstanceId
            Instances that could not send this request; those tried here are added.
            The instance's own link is tried only while there are none.

        Raises
        ------
        ChannelBrokenError
            If there is no way; nothing has been sent. It is a `ChannelRefusedError`
            if nothing listens at the endpoint's address as far as can be told.
        """
        failure: ChannelBrokenError = NoWayError("no other instance can send it")
        has_others = bool(self._ready_forwarders())
        use_own_link = not self.links.is_failed(endpoint.id) or not has_others
        if not tried and use_own_link:
            try:
                return Way(await self.open_own_link(endpoint))
            except ChannelBrokenError as error:
                failure = error
        while (forwarder := self.choose(tried)) is not None:
            tried.add(forwarder.id)
            try:
                address = forwarding_address(forwarder.address)
                channel = await open_channel(address, CONNECT_TIMEOUT_S)
                channel.deadlines = self.read_deadlines
            except ChannelBrokenError as error:
                self.skip(forwarder.id, str(error))
                continue
            return Way(channel, forwarder)
        raise failure

    async def open_own_link(
        self, endpoint: Endpoint, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Channel:
        """Return a connection to an endpoint, and record whether it was reached.

        Raises
        ------
        ChannelBrokenError
            If it was not.
        """
        try:
            channel = await open_channel(endpoint.address, timeout_s)
        except ChannelBrokenError:
            self.links.record_failed(endpoint.id, trio.current_time())
            raise
        self.links.record_opened(endpoint.id, trio.current_time())
        channel.deadlines = self.read_deadlines
        return channel

    async def probe_own_link(
        self, endpoint: Endpoint, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ForwardResult:
        """Return whether this instance reaches an endpoint; send no request."""
        now = trio.current_time()
        try:
            channel = await open_channel(endpoint.address, timeout_s)
        except ChannelBrokenError as error:
            self.links.record_failed(endpoint.id, now)
            extra = {"endpoint": endpoint.id, "error": str(error)}
            log.info("Endpoint not reached.", extra=extra)
            is_refused = isinstance(error, ChannelRefusedError)
            return ForwardResult.REFUSED if is_refused else ForwardResult.UNREACHABLE
        try:
            is_open = await _stays_open(channel)
        finally:
            channel.close()
        if is_open:
            # Later than the failures of probes that began with this one.
            self.links.record_opened(endpoint.id, trio.current_time())
            return ForwardResult.REACHED
        self.links.record_failed(endpoint.id, now)
        return ForwardResult.UNREACHABLE

    async def is_at_fault(self, endpoint: Endpoint, since: float) -> bool:
        """Return whether an endpoint, not its link, fails since a time.

        Instances lose their links together, so that only another endpoint that is
        reached after the failure shows it. Without another endpoint it is assumed.
        """
        if self.links.opened_at > since:
            return True
        others = self._other_endpoints(endpoint)
        if not others:
            return True
        return await self._reaches_one_of(others)

    async def is_any_reached(self, since: float) -> bool:
        """Return whether an endpoint was reached after a time or is now."""
        if self.links.opened_at > since:
            return True
        known = self._other_endpoints(None)
        return bool(known) and await self._reaches_one_of(known)

    async def _reaches_one_of(self, endpoints: list[Endpoint]) -> bool:
        """Return whether one of a few endpoints is reached; several may have ended."""
        found: list[ForwardResult] = []
        chosen = self.rng.sample(endpoints, min(len(endpoints), PROBED_AT_ONCE))
        async with trio.open_nursery() as nursery:

            async def probe(endpoint: Endpoint) -> None:
                found.append(await self.probe_own_link(endpoint, QUICK_PROBE_S))
                if found[-1] is ForwardResult.REACHED:
                    nursery.cancel_scope.cancel()

            for endpoint in chosen:
                nursery.start_soon(probe, endpoint)
        return ForwardResult.REACHED in found

    def _other_endpoints(self, endpoint: Endpoint | None) -> list[Endpoint]:
        manifest = self.manifest()
        known = manifest.endpoints.values() if manifest else ()
        return [one for one in known if endpoint is None or one.id != endpoint.id]

    # Other instances

    def _forwarders(self) -> list[Member]:
        """Return the instances that may be asked."""
        members = self.membership.members
        return [
            members[name]
            for name in self.membership.live()
            if name in members
            and not members[name].cut_off
            and self.membership.is_reachable(name)
        ]

    def _ready_forwarders(self) -> list[Member]:
        """Return those that were able of late; slow ones only without others."""
        now = trio.current_time()
        found = [
            member
            for member in self._forwarders()
            if self.skipped_until.get(member.id, 0.0) <= now
        ]
        return [member for member in found if not member.slow] or found

    def choose(self, tried: set[InstanceId]) -> Member | None:
        """Return the instance whose turn it is, so that load is spread by capacity.

        The first turns are drawn, so that those who ask do not ask the same ones. An
        instance that was away takes its place among the others.
        """
        if len(tried) >= MAX_FORWARDERS:
            return None
        found = self._ready_forwarders() or self._forwarders()
        members = {member.id: member for member in found}
        self.turns = {name: self._turn_of(name) for name in members}
        untried = [name for name in members if name not in tried]
        if not untried:
            return None
        name = min(untried, key=lambda name: self.turns[name])
        self.turn = self.turns[name]
        self.turns[name] += self._stride(name)
        return members[name]

    def _turn_of(self, instance: InstanceId) -> float:
        if instance in self.turns:
            return max(self.turns[instance], self.turn)
        return self.turn + self.rng.random() * self._stride(instance)

    def _stride(self, instance: InstanceId) -> float:
        return 1.0 / self.membership.weights.get(instance, 1.0)

    def skip(self, instance: InstanceId, why: str) -> None:
        """Record that an instance could not send a request."""
        log.info("Instance can not forward.", extra={"peer": instance, "why": why})
        self.skipped_until[instance] = trio.current_time() + SKIP_S

    def forwarded(
        self, request: OutgoingRequest, endpoint: EndpointId, forwarder: Member
    ) -> OutgoingRequest:
        """Return the request that asks another instance to send `request`."""
        order = ForwardOrder(endpoint, self.membership.id, self._new_attempt())
        return self._signed(request, order, forwarder)

    def _new_attempt(self) -> RequestKey:
        self.serial += 1
        process = process_name(self.membership.id, self.membership.incarnation)
        return RequestKey(f"{process}/{self.serial}")

    def _signed(
        self, request: OutgoingRequest, order: ForwardOrder, forwarder: Member
    ) -> OutgoingRequest:
        headers = [
            *without_forward_headers(request.headers),
            *order_headers(order),
        ]
        recipient = process_name(forwarder.id, forwarder.incarnation)
        signed = signature(
            self.secret(),
            recipient,
            request.method,
            request.target,
            headers,
            request.body,
        )
        return replace(request, headers=[*headers, (SIGNATURE, signed)])

    async def has_ended(self, endpoint: Endpoint) -> Ended:
        """Return whether nothing listens at an endpoint's address any more.

        That is found out by another instance, if there is one, so that this instance's
        own link is not taken for the endpoint's fault.
        """
        since = trio.current_time()
        own = await self.probe_own_link(endpoint)
        if own is ForwardResult.REACHED:
            return Ended.NO
        tried: set[InstanceId] = set()
        while (forwarder := self.choose(tried)) is not None:
            tried.add(forwarder.id)
            result = await self._ask_to_probe(endpoint, forwarder)
            if result in {ForwardResult.REACHED, ForwardResult.UNREACHABLE}:
                return Ended.NO
            if result is ForwardResult.REFUSED:
                self.links.forget(endpoint.id)
                return Ended.YES
        if not await self.is_at_fault(endpoint, since):
            return Ended.IN_DOUBT
        return Ended.YES if own is ForwardResult.REFUSED else Ended.NO

    async def _ask_to_probe(
        self, endpoint: Endpoint, forwarder: Member
    ) -> ForwardResult:
        """Let another instance try to reach an endpoint."""
        order = ForwardOrder(endpoint.id, self.membership.id, self._new_attempt(), True)
        host = (b"Host", forwarder.address.encode())
        request = self._signed(OutgoingRequest(b"GET", b"/", [host]), order, forwarder)
        try:
            address = forwarding_address(forwarder.address)
            channel = await open_channel(address, CONNECT_TIMEOUT_S)
            try:
                channel.read_until = trio.current_time() + PROBE_TIMEOUT_S
                await channel.send(request, None)
                return forward_result(await channel.read_head())
            finally:
                channel.close()
        except ChannelBrokenError as error:
            self.skip(forwarder.id, str(error))
            return ForwardResult.BUSY


def forwarding_address(address: str) -> str:
    """Return where an instance takes requests of others; `address` is for links.

    It is the next port, so that it need not be exchanged.
    """
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + 1}"


def forward_result(head: AnswerHead) -> ForwardResult:
    """Return what another instance says of a request that it was asked to send.

    An answer without a result is not that of an instance, so that the request counts
    as lost.
    """
    stated = (head.get(RESULT) or b"").decode("latin-1")
    try:
        return ForwardResult(stated)
    except ValueError:
        return ForwardResult.LOST


def endpoint_head(head: AnswerHead) -> AnswerHead:
    """Return the head of an endpoint's answer as the endpoint sent it.

    The end of an answer without a length is marked by chunks between instances.
    """
    headers = without_forward_headers(head.headers)
    if head.get(UNDELIMITED) is not None:
        headers = [(n, v) for n, v in headers if n.lower() != b"transfer-encoding"]
    return AnswerHead(head.status, headers, head.length)


async def _stays_open(channel: Channel) -> bool:
    """Return whether a new connection is not reset at once."""
    with trio.move_on_after(RESET_WAIT_S):
        await trio.lowlevel.wait_readable(channel.stream.socket)
        return False
    return True
