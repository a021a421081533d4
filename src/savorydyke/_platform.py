"""A client of the platform: its key-value service and its list of instances.

The protocol is a subset of Consul's HTTP API: ``/v1/kv`` with ``cas`` and
blocking queries, and ``/v1/health/service``. Every call goes to one of the
configured addresses; after a failure the next call goes to the next address.
"""

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from savorydyke import _logs
from savorydyke._exceptions import PlatformUnavailableError
from savorydyke._ids import DataCentreId, MemberState
from savorydyke._untrusted import is_address, is_name, shown

CALL_TIMEOUT_S = 1.0
WATCH_WAIT_S = 2.0
WATCH_SLACK_S = 1.0

log = _logs.component_logger("platform")


@dataclass(frozen=True)
class Stored:
    """A value with the revision at which it was last written."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class Absent:
    """The key has no value; a write with revision 0 creates it."""

    key: str


@dataclass(frozen=True)
class Written:
    """The write took effect."""


@dataclass(frozen=True)
class Conflict:
    """The write did not take effect, since the key has another revision."""


@dataclass(frozen=True)
class Unknown:
    """The response was lost; the write may have taken effect or still may."""

    cause: str


WriteResult = Written | Conflict | Unknown


@dataclass(frozen=True)
class ListedInstance:
    """One instance of a service in the platform's list."""

    name: str
    address: str
    data_centre: DataCentreId
    state: MemberState


@dataclass
class Platform:
    """A client of the platform's services.

    Attributes
    ----------
    calls : int
        Calls made; a watch counts as one.
    preferred : int
        Number of the address in use, modulo the number of addresses.
    on_call : callable
        Called with the kind of each call: its HTTP method or ``WATCH``.
    """

    addresses: tuple[str, ...]
    client: httpx.AsyncClient
    calls: int = 0
    preferred: int = 0
    on_call: Callable[[str], None] = field(default=lambda kind: None)

    async def read(self, key: str) -> Stored | Absent:
        """Return the value of `key`.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid response.
        """
        return await self._read(key, {}, CALL_TIMEOUT_S)

    async def watch(self, key: str, revision: int) -> Stored | Absent:
        """Return the value once it is newer than `revision`, or after a timeout.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid response.
        """
        params = {"index": str(revision), "wait": f"{WATCH_WAIT_S}s"}
        return await self._read(key, params, WATCH_WAIT_S + WATCH_SLACK_S)

    async def write(self, key: str, value: bytes, revision: int) -> WriteResult:
        """Write `value` if `key` is still at `revision`; 0 means absent."""
        params = {"cas": str(revision)}
        return await self._change("PUT", key, params, value)

    async def delete(self, key: str, revision: int) -> WriteResult:
        """Delete `key` if it is still at `revision`."""
        return await self._change("DELETE", key, {"cas": str(revision)}, b"")

    async def list_keys(self, prefix: str) -> list[str]:
        """Return all keys that start with `prefix`.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid response.
        """
        path = f"/v1/kv/{prefix}"
        response = await self._call("GET", path, {"keys": ""}, CALL_TIMEOUT_S)
        if response.status_code == 404:
            return []
        return [str(key) for key in _decode_array(response.content)]

    async def list_instances(self, service: str) -> list[ListedInstance]:
        """Return the platform's list of the instances of a service.

        The list lags behind their real states.

        Raises
        ------
        PlatformUnavailableError
            If there was no valid response.
        """
        path = f"/v1/health/service/{service}"
        response = await self._call("GET", path, {}, CALL_TIMEOUT_S)
        return _decode_list(response.content)

    async def _read(
        self, key: str, params: dict[str, str], timeout_s: float
    ) -> Stored | Absent:
        response = await self._call("GET", f"/v1/kv/{key}", params, timeout_s)
        if response.status_code == 404:
            return Absent(key)
        return _decode_values(response.content)[0]

    async def _change(
        self, method: str, key: str, params: dict[str, str], value: bytes
    ) -> WriteResult:
        try:
            response = await self._call(
                method, f"/v1/kv/{key}", params, CALL_TIMEOUT_S, value
            )
        except PlatformUnavailableError as error:
            return Unknown(str(error))
        return Written() if response.content.strip() == b"true" else Conflict()

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        timeout_s: float,
        body: bytes = b"",
    ) -> httpx.Response:
        self.calls += 1
        self.on_call(method if "index" not in params else "WATCH")
        base = self.addresses[self.preferred % len(self.addresses)]
        try:
            with trio.fail_after(timeout_s):
                response = await self.client.request(
                    method, f"http://{base}{path}", params=params, content=body
                )
        except (httpx.HTTPError, trio.TooSlowError) as error:
            self.preferred += 1
            raise PlatformUnavailableError(
                f"{type(error).__name__} at {base}"
            ) from None
        if response.status_code not in {200, 404}:
            self.preferred += 1
            raise PlatformUnavailableError(f"status {response.status_code} at {base}")
        return response


def open_platform(addresses: tuple[str, ...]) -> Platform:
    """Return a client with its own connections."""
    limits = httpx.Limits(max_connections=64, max_keepalive_connections=16)
    client = httpx.AsyncClient(timeout=None, limits=limits, trust_env=False)
    return Platform(addresses, client)


def _decode_values(content: bytes) -> list[Stored]:
    try:
        return [
            Stored(
                key=str(item["Key"]),
                value=base64.b64decode(item["Value"] or "", validate=True),
                revision=int(item["ModifyIndex"]),
            )
            for item in _decode_array(content)
        ]
    except Exception as error:
        raise PlatformUnavailableError(f"bad answer: {shown(error)}") from None


def _decode_list(content: bytes) -> list[ListedInstance]:
    instances = []
    for entry in _decode_array(content):
        try:
            instances.append(_listed_instance(entry))
        except Exception as error:
            log.warning("List entry unreadable.", extra={"error": shown(error)})
    return instances


def _listed_instance(entry: Any) -> ListedInstance:
    """Return an entry of the list, in which other services may write too."""
    service = entry["Service"]
    name, address = str(service["ID"]), f"{service['Address']}:{service['Port']}"
    if not is_name(name) or not is_address(address):
        raise ValueError("the id or the address is invalid")
    return ListedInstance(
        name=name,
        address=address,
        data_centre=DataCentreId(str(service["Meta"]["data_centre"])),
        state=MemberState(service["Meta"]["state"]),
    )


def _decode_array(content: bytes) -> list[Any]:
    try:
        value = json.loads(content)
    except Exception as error:
        raise PlatformUnavailableError(f"bad answer: {shown(error)}") from None
    if not isinstance(value, list):
        raise PlatformUnavailableError("bad answer: not a list")
    return value
