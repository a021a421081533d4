"""The configuration in force: watched, forwarded to peers, and never reverted.

The record is kept in the platform's key-value service. A few instances watch
it. All instances forward to their peers the record and the age of the latest
confirmation that it is the newest. An instance that has no recent confirmation
stops accepting new work.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._exceptions import (
    FindingsError,
    PlatformUnavailableError,
    ProtocolError,
)
from savorydyke._findings import Finding
from savorydyke._ids import InstanceId, Revision
from savorydyke._manifest import Manifest, check_manifest, read_manifest
from savorydyke._membership import Membership
from savorydyke._messages import ConfigurationPush, ConfigurationRequest, Heartbeat
from savorydyke._peers import Peers
from savorydyke._platform import (
    WATCH_WAIT_S,
    Absent,
    Conflict,
    Platform,
    Stored,
    Unknown,
    Written,
)
from savorydyke._untrusted import parse_json, raises_only

KEY = "savorydyke/configuration"
WATCHERS = 16
"""Number of instances that watch the record; the others get it from peers."""
CONFIRMATION_MAX_AGE_S = 4.0
RETRY_S = 0.5
READ_BACK_TRIES = 5
READ_BACK_S = 0.3

log = _logs.component_logger("configuration")


@dataclass(frozen=True)
class Record:
    """A manifest with its revision, and who applied it and when.

    Attributes
    ----------
    at : str
        When the manifest was applied, in ISO 8601.
    token : str
        Random id of the write, by which its writer recognises it.
    """

    revision: Revision
    by: str
    at: str
    token: str
    text: str

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        return json.dumps(self.__dict__).encode()


@raises_only(ProtocolError)
def read_record(data: bytes) -> Record:
    """Return the record in `data`.

    Raises
    ------
    ProtocolError
        If `data` is not a valid record.
    """
    record = Record(**parse_json(data))
    texts = (record.by, record.at, record.token, record.text)
    if type(record.revision) is not int or any(type(x) is not str for x in texts):
        raise ProtocolError("a field of the configuration record has the wrong type")
    return record


@dataclass(frozen=True)
class Accepted:
    """The manifest is stored under this revision."""

    revision: Revision


@dataclass(frozen=True)
class Superseded:
    """Another operator's manifest was stored first; nothing was changed."""

    revision: Revision
    by: str
    at: str


@dataclass(frozen=True)
class Invalid:
    """The manifest has findings; nothing was changed."""

    findings: list[Finding]


@dataclass(frozen=True)
class NotAccepted:
    """The platform could not be reached; nothing was changed."""

    cause: str


@dataclass(frozen=True)
class Undecided:
    """The write may still take effect; the status has to be read again."""

    cause: str


ApplyResult = Accepted | Superseded | Invalid | NotAccepted | Undecided


@dataclass
class Configuration:
    """The newest configuration record known to this instance.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which the record is known to have been the newest, on
        the local monotonic clock.
    listeners : list of callable
        Called with each new manifest.
    """

    platform: Platform
    membership: Membership
    peers: Peers
    record: Record | None = None
    manifest: Manifest | None = None
    confirmed_at: float = float("-inf")
    listeners: list[Callable[[Manifest], None]] = field(default_factory=list)

    @property
    def revision(self) -> Revision:
        """Return the revision in force here, 0 for none."""
        return self.record.revision if self.record else Revision(0)

    def current(self, now: float) -> Manifest | None:
        """Return the manifest if this instance may act on it, or None.

        It may if the record was confirmed within `CONFIRMATION_MAX_AGE_S`, or if
        a majority of the instances responds and none of them knows a newer
        record. The latter holds in an outage of the platform, in which no new
        manifest can be accepted.
        """
        if self.manifest is None:
            return None
        if now - self.confirmed_at <= CONFIRMATION_MAX_AGE_S:
            return self.manifest
        return self.manifest if self.membership.reaches_majority(now) else None

    def confirmation_age_ms(self, now: float) -> int:
        """Return the age of the latest confirmation in milliseconds, or -1."""
        if self.confirmed_at == float("-inf"):
            return -1
        return int((now - self.confirmed_at) * 1000)

    def accept_if_newer(self, data: bytes) -> bool:
        """Use a record if it is newer, and return whether it was.

        Raises
        ------
        ProtocolError
            If `data` is not a valid record or its manifest has findings.
        """
        record = read_record(data)
        if record.revision <= self.revision:
            return False
        try:
            manifest = read_manifest(record.text)
        except FindingsError as error:
            raise ProtocolError(f"stored manifest is not valid: {error}") from None
        self.record = record
        self.manifest = manifest
        self.confirmed_at = float("-inf")
        log.info("Revision in force.", extra={"revision": record.revision})
        for listener in self.listeners:
            listener(manifest)
        return True

    def confirm(self, revision: int, at: float) -> None:
        """Record that `revision` was the newest at time `at`."""
        if revision == self.revision:
            self.confirmed_at = max(self.confirmed_at, at)

    # Peers

    def receive_heartbeat(self, peer: InstanceId, heartbeat: Heartbeat) -> None:
        """Compare revisions with a peer and ask it for a newer one."""
        if heartbeat.revision > self.revision:
            self.peers.send(peer, ConfigurationRequest(self.revision))
            return
        if heartbeat.revision < self.revision or heartbeat.confirmation_age_ms < 0:
            return
        # The peer sent this heartbeat after it had received ours with the
        # counter `echo`, so the confirmation's age counts from when ours was sent.
        sent = self.membership.sent_at.get(heartbeat.echo)
        if sent is not None:
            self.confirm(
                heartbeat.revision, sent - heartbeat.confirmation_age_ms / 1000
            )

    def send_if_newer(self, peer: InstanceId, request: ConfigurationRequest) -> None:
        """Send the record to a peer if it is newer than the peer's."""
        if self.record is not None and self.record.revision > request.revision:
            push = ConfigurationPush(self.record.revision, self.record.to_bytes())
            self.peers.send(peer, push)

    def receive_push(self, peer: InstanceId, push: ConfigurationPush) -> None:
        """Use a record from a peer if it is newer, and forward it at once."""
        try:
            is_new = self.accept_if_newer(push.record)
        except ProtocolError as error:
            log.error("Invalid record.", extra={"peer": peer, "error": str(error)})
            return
        if is_new:
            self.broadcast(except_peer=peer)

    def broadcast(self, except_peer: InstanceId | None = None) -> None:
        """Send the record to all linked peers."""
        if self.record is None:
            return
        push = ConfigurationPush(self.record.revision, self.record.to_bytes())
        for peer in list(self.peers.links):
            if peer != except_peer:
                self.peers.send(peer, push)

    # Platform

    async def watch(self) -> None:
        """Watch the record in the platform's service until cancelled."""
        index = 0
        while True:
            if self.record and not self.membership.is_chosen(KEY, WATCHERS):
                await trio.sleep(CONFIRMATION_MAX_AGE_S / 2)
                continue
            started = trio.current_time()
            try:
                stored = await self.platform.watch(KEY, index)
            except PlatformUnavailableError as error:
                log.warning("Watch failed.", extra={"error": str(error)})
                index = 0
                await trio.sleep(RETRY_S)
                continue
            index = self._apply_stored(stored, started)

    def _apply_stored(self, stored: Stored | Absent, started: float) -> int:
        """Apply the result of a watch; return the index for the next watch."""
        if isinstance(stored, Absent):
            if self.record is not None:
                log.error("The platform no longer has a configuration.")
            return 0
        try:
            if self.accept_if_newer(stored.value):
                self.broadcast()
            revision = read_record(stored.value).revision
        except ProtocolError as error:
            log.error("Invalid record.", extra={"error": str(error)})
            return stored.revision
        if revision < self.revision:
            log.error("The platform has an older record.", extra={"revision": revision})
            return stored.revision
        # A watch that lasted its full time read the record at its end, any other
        # one possibly as early as its start.
        waited = trio.current_time() - started >= WATCH_WAIT_S
        self.confirm(revision, started + (WATCH_WAIT_S if waited else 0.0))
        return stored.revision

    async def apply(
        self, text: str, base: Revision, by: str, at: str, token: str
    ) -> ApplyResult:
        """Store a complete manifest that was made from revision `base`."""
        _, findings = check_manifest(text)
        if findings.items:
            return Invalid(findings.items)
        try:
            stored = await self.platform.read(KEY)
            newest = self._newest(stored)
        except (PlatformUnavailableError, ProtocolError) as error:
            return NotAccepted(str(error))
        revision = newest.revision if newest else Revision(0)
        if revision != base:
            by_whom = (newest.by, newest.at) if newest else ("", "")
            return Superseded(revision, *by_whom)
        record = Record(Revision(base + 1), by, at, token, text)
        index = stored.revision if isinstance(stored, Stored) else 0
        result = await self.platform.write(KEY, record.to_bytes(), index)
        if isinstance(result, Written):
            return self._accept(record)
        return await self._read_back(record, index, isinstance(result, Conflict))

    def _newest(self, stored: Stored | Absent) -> Record | None:
        if isinstance(stored, Absent):
            return self.record
        record = read_record(stored.value)
        if self.record and self.record.revision > record.revision:
            return self.record
        return record

    def _accept(self, record: Record) -> Accepted:
        started = trio.current_time()
        if self.accept_if_newer(record.to_bytes()):
            self.confirm(record.revision, started)
            self.broadcast()
        return Accepted(record.revision)

    async def _read_back(
        self, record: Record, index: int, refused: bool
    ) -> ApplyResult:
        """Find out whether a write with a lost or negative response took effect."""
        for attempt in range(READ_BACK_TRIES):
            try:
                stored = await self.platform.read(KEY)
                newest = self._newest(stored)
            except (PlatformUnavailableError, ProtocolError) as error:
                cause = str(error)
            else:
                if newest and newest.token == record.token:
                    return self._accept(record)
                if newest and newest.revision >= record.revision:
                    return Superseded(newest.revision, newest.by, newest.at)
                cause = "the write has not taken effect yet"
                if refused:
                    return NotAccepted("the record changed under the write")
                # The write may still be in progress. Repeating it is harmless,
                # since only one of the two can match the revision.
                again = await self.platform.write(KEY, record.to_bytes(), index)
                if isinstance(again, Written):
                    return self._accept(record)
                if isinstance(again, Unknown):
                    cause = again.cause
            await trio.sleep(READ_BACK_S * (attempt + 1))
        return Undecided(cause)
