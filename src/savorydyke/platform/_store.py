"""A client of the platform's store: values, watches, transactions, leases.

Each call has a time limit and either returns a result or raises a `StoreError`,
which says whether the call may have taken effect. Each call uses a connection of its
own, so that a repeated answer is never taken for that of the next call.

The store may be restored from a backup. It then lacks the latest changes, and assigns
their revisions and leases again. Each answer states a generation, which rises with
each restore.
"""

import base64
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import quote, urlencode

import trio

from savorydyke import _logs
from savorydyke._http1 import (
    AnswerHead,
    Channel,
    ChannelBrokenError,
    OutgoingRequest,
    open_channel,
)
from savorydyke._untrusted import MAX_SHOWN, shown

CONNECT_TIMEOUT_S = 0.8
"""The store is a few milliseconds away. A lost SYN is retransmitted only after a
second; a connection attempt fails before that."""
CALL_TIMEOUT_S = 1.5
WATCH_SLACK_S = 1.0
"""Time beyond the requested wait after which a watch counts as lost."""
GENERATION_HEADER = b"store-era"
MAX_GENERATION_DIGITS = 18
MAX_CONFLICTS = 3
"""Writes of a value that are tried in a row, each over a newer one."""
MAX_ANSWER_BYTES = 16_777_216
"""Largest answer that is read. A page of a listing has about 1 MB, and a watch what was
written since the one before."""


log = _logs.component_logger("store")


class StoreFault(Enum):
    """Why a call failed."""

    REFUSED = "refused"
    RATE_LIMITED = "rate limited"
    ANSWER_LOST = "answer lost"
    UNREACHABLE = "unreachable"
    TOO_LARGE = "answer too large"


class StoreError(Exception):
    """Raised when a call had no result.

    Parameters
    ----------
    fault : StoreFault
        `ANSWER_LOST` means that the call may have taken effect or still may.
    detail : str
        The cause, for logs.
    """

    def __init__(self, fault: StoreFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


@dataclass(frozen=True)
class Item:
    """A value with the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Listing:
    """All items under a prefix.

    Attributes
    ----------
    revision : int
        Revision at which the first page was read, and from which to watch.
    """

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True)
class Change:
    """One change; `value` is None for a removal."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True)
class Changes:
    """The changes that a watch returned, up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class Compacted:
    """The store no longer has the history that a watch asked for."""


@dataclass(frozen=True)
class Written:
    """A transaction took effect."""

    revision: int


@dataclass(frozen=True)
class LeaseExpired:
    """The lease given in a call has expired or was revoked."""


@dataclass
class Store:
    """A client of the store.

    Attributes
    ----------
    on_call : callable
        Called with the name of each call, its duration in seconds and its result.
    generation : int
        Highest generation stated in an answer; 0 if none was.
    restored : trio.Event
        Set when the generation rises, and replaced then.
    revisions : dict of str to int
        Latest known revision of each key that was overwritten here.
    """

    address: str
    on_call: Callable[[str, float, str], None] = field(
        default=lambda name, seconds, result: None
    )
    generation: int = 0
    restored: trio.Event = field(default_factory=trio.Event)
    revisions: dict[str, int] = field(default_factory=dict)

    async def read(self, key: str) -> Item | None:
        """Return the current item of a key, or None."""
        query = urlencode({"key": key}, quote_via=quote)
        status, value = await self._call("read", "GET", f"/savorydyke/kv-key?{query}")
        if status == 404:
            return None
        return _decode(_item, value)

    async def list(self, prefix: str) -> Listing:
        """Return all items under a prefix."""
        items: list[Item] = []
        first = 0
        after = ""
        generation = None
        while True:
            params = {"prefix": prefix}
            if after:
                params["after"] = after
            query = urlencode(params, quote_via=quote)
            _, value = await self._call("list", "GET", f"/savorydyke/kv-range?{query}")
            page = _decode(lambda v: [_readable(item) for item in v["items"]], value)
            items += [item for item in page if item is not None]
            first = first or _decode(lambda v: int(v["current_rev"]), value)
            if generation not in {None, self.generation}:
                raise StoreError(StoreFault.ANSWER_LOST, "restored during a listing")
            generation = self.generation
            if not value.get("more_pages") or not items or items[-1].key == after:
                return Listing(tuple(items), first)
            after = items[-1].key

    async def watch(
        self, prefix: str, revision: int, wait_s: float
    ) -> Changes | Compacted:
        """Return the changes after a revision, waiting up to `wait_s` for one.

        More changes than can be read at once count as compacted: a listing has the
        latest value of each key only.
        """
        params = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        query = urlencode(params, quote_via=quote)
        try:
            status, value = await self._call(
                "watch",
                "GET",
                f"/savorydyke/kv-watch?{query}",
                timeout_s=wait_s + WATCH_SLACK_S,
            )
        except StoreError as error:
            if error.fault is not StoreFault.TOO_LARGE:
                raise
            log.warning("Changes too many to be read.", extra={"error": str(error)})
            return Compacted()
        if status == 410:
            return Compacted()
        return _decode(_changes, value)

    async def write(
        self, values: Mapping[str, bytes], lease: int = 0
    ) -> Written | LeaseExpired:
        """Write values in one transaction; they are removed when `lease` ends."""
        items: list[dict[str, Any]] = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "lease": lease,
            }
            for key, value in values.items()
        ]
        body = {"if_rev": [], "writes": items, "remove": []}
        return await self._transact(body)

    async def create(
        self, key: str, value: bytes, lease: int = 0
    ) -> Written | LeaseExpired | Item:
        """Write a value if the key has none; otherwise return the existing item."""
        item: dict[str, Any] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        condition = {"key": key, "revision": 0}
        body = {"if_rev": [condition], "writes": [item], "remove": []}
        status, answer = await self._call(
            "transact", "POST", "/savorydyke/kv-txn", body
        )
        if status == 412:
            return _decode(lambda v: _item(v["items"][0]), answer)
        if status == 404:
            return LeaseExpired()
        return Written(_decode(lambda v: int(v["revision"]), answer))

    async def replace(
        self, key: str, value: bytes, revision: int
    ) -> Written | Item | None:
        """Write a value if the key still has a revision, 0 for no value.

        Otherwise return the existing item, None if there is none.
        """
        item = {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
        condition = {"key": key, "revision": revision}
        body = {"if_rev": [condition], "writes": [item], "remove": []}
        status, answer = await self._call(
            "transact", "POST", "/savorydyke/kv-txn", body
        )
        if status == 412:
            items = _decode(lambda v: [_item(i) for i in v["items"]], answer)
            return items[0] if items else None
        return Written(_decode(lambda v: int(v["revision"]), answer))

    async def overwrite(self, key: str, value: bytes) -> Written:
        """Write a value over the present one, whatever that is.

        If the store carries a call out late, after others have written, it changes
        nothing.

        Raises
        ------
        StoreError
            Also if others write all the time.
        """
        for _ in range(MAX_CONFLICTS):
            found = await self.replace(key, value, self.revisions.get(key, 0))
            if isinstance(found, Written):
                self.revisions[key] = found.revision
                return found
            self.revisions[key] = found.revision if found else 0
        raise StoreError(StoreFault.REFUSED, f"{key} changes all the time")

    async def _transact(self, body: dict[str, Any]) -> Written | LeaseExpired:
        status, value = await self._call("transact", "POST", "/savorydyke/kv-txn", body)
        if status == 404:
            return LeaseExpired()
        return Written(_decode(lambda v: int(v["revision"]), value))

    async def open_lease(self, ttl_s: float) -> int:
        """Open a lease with a time to live of `ttl_s` and return its id."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        _, value = await self._call("lease", "POST", "/savorydyke/kv-lease", body)
        return _decode(lambda v: int(v["lease"]), value)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has ended."""
        path = f"/savorydyke/kv-keep/{lease}"
        status, _ = await self._call("keep", "POST", path)
        return status != 404

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        await self._call("end", "DELETE", f"/savorydyke/kv-lease-end/{lease}")

    async def _call(
        self,
        name: str,
        method: str,
        target: str,
        body: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        started = trio.current_time()
        result = "ok"
        try:
            status, data = await self._exchange(method, target, body, timeout_s)
            return status, _decode_body(status, data)
        except StoreError as error:
            result = error.fault.value
            raise
        finally:
            self.on_call(name, trio.current_time() - started, result)

    async def _exchange(
        self, method: str, target: str, body: dict[str, Any] | None, timeout_s: float
    ) -> tuple[int, bytes]:
        try:
            channel = await open_channel(self.address, CONNECT_TIMEOUT_S)
        except ChannelBrokenError as error:
            raise StoreError(StoreFault.UNREACHABLE, str(error)) from None
        try:
            with trio.fail_after(timeout_s):
                await channel.send(self._outgoing(method, target, body), None)
                head = await channel.read_head()
                data = await _read_whole(channel)
        except _TooLargeError as error:
            raise StoreError(StoreFault.TOO_LARGE, str(error)) from None
        except (ChannelBrokenError, trio.TooSlowError) as error:
            raise StoreError(StoreFault.ANSWER_LOST, repr(error)) from None
        finally:
            channel.close()
        self._check_generation(head)
        return head.status, data

    def _check_generation(self, head: AnswerHead) -> None:
        """Record the generation that an answer states.

        Raises
        ------
        StoreError
            If the answer is from before a restore that is already known. What it
            confirms may have been lost.
        """
        text = head.get(GENERATION_HEADER)
        if text is None:
            return
        if not text.isdigit() or len(text) > MAX_GENERATION_DIGITS:
            log.warning(
                "Generation unreadable.",
                extra={"value": text[:MAX_SHOWN].decode("latin-1")},
            )
            return
        generation = int(text)
        if generation < self.generation:
            detail = f"answer of generation {generation}, now {self.generation}"
            raise StoreError(StoreFault.ANSWER_LOST, detail)
        if generation == self.generation:
            return
        if self.generation:
            log.warning(
                "Store restored.",
                extra={"generation": generation, "before": self.generation},
            )
        self.generation = generation
        self.restored.set()
        self.restored = trio.Event()

    def _outgoing(
        self, method: str, target: str, body: dict[str, Any] | None
    ) -> OutgoingRequest:
        headers = [(b"Host", self.address.encode())]
        data = b""
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
            data = json.dumps(body).encode()
        return OutgoingRequest(method.encode(), target.encode(), headers, data)


class _TooLargeError(Exception):
    """Raised when an answer has more than `MAX_ANSWER_BYTES`."""


async def _read_whole(channel: Channel) -> bytes:
    """Return the body of an answer.

    Raises
    ------
    ChannelBrokenError
        If it is cut.
    _TooLargeError
        If it is too large.
    """
    data = bytearray()
    async for part in channel.read_body():
        data += part
        if len(data) > MAX_ANSWER_BYTES:
            raise _TooLargeError(f"an answer of over {MAX_ANSWER_BYTES} bytes")
    return bytes(data)


def open_store(address: str) -> Store:
    """Return a client of the store at `address`."""
    return Store(address)


def _decode_body(status: int, data: bytes) -> Any:
    if status == 503:
        raise StoreError(StoreFault.REFUSED, "status 503")
    if status == 429:
        raise StoreError(StoreFault.RATE_LIMITED, "status 429")
    if status not in {200, 404, 410, 412}:
        raise StoreError(StoreFault.REFUSED, f"status {status}")
    if status in {404, 410} or not data:
        return {}
    try:
        value = json.loads(data)
    except Exception as error:
        raise StoreError(StoreFault.ANSWER_LOST, shown(error)) from None
    if not isinstance(value, dict):
        raise StoreError(StoreFault.ANSWER_LOST, "bad answer: not an object")
    return value


def _decode(read: Callable[[Any], Any], value: Any) -> Any:
    try:
        return read(value)
    except Exception as error:
        detail = f"bad answer: {shown(error)}"
        raise StoreError(StoreFault.ANSWER_LOST, detail) from None


def _readable(value: Any) -> Item | None:
    """Return an item of a listing, without value if that can not be read.

    None if not even its key can be read.
    """
    try:
        return _item(value)
    except Exception as error:
        key = value.get("key") if isinstance(value, dict) else None
        log.warning("Item unreadable.", extra={"error": shown(error)})
        return Item(key, b"", 0) if isinstance(key, str) else None


def _item(value: dict[str, Any]) -> Item:
    data = base64.b64decode(value["value"], validate=True)
    return Item(str(value["key"]), data, int(value["revision"]))


def _changes(value: dict[str, Any]) -> Changes:
    changes = []
    for event in value["events"]:
        if isinstance(event, dict) and event.get("deleted"):
            changes.append(Change(str(event["key"]), None, int(event["revision"])))
        elif (item := _readable(event)) is not None:
            changes.append(Change(item.key, item.value, item.revision))
    return Changes(tuple(changes), int(value["current_rev"]))
