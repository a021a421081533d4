"""Client of the operators' interface of instances, used by the command-line tool."""

import ssl
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import httpx

CALL_TIMEOUT_S = 8.0
POLL_S = 0.1


@dataclass(frozen=True)
class Unreachable:
    """None of the instances called gave a usable answer."""

    causes: list[str]


@dataclass(frozen=True)
class Answer:
    """An instance's response.

    Attributes
    ----------
    address : str
        Address of the instance that answered.
    """

    address: str
    status: int
    value: dict[str, Any]


class OperatorsClient:
    """Calls instances at their operators' addresses.

    Parameters
    ----------
    authority : str
        PEM file of the CA that signed the instances' certificates; empty for
        plain HTTP.

    Examples
    --------
    >>> client = OperatorsClient(["127.0.0.1:7003"], "key")  # doctest: +SKIP
    >>> client.configuration().value["revision"]  # doctest: +SKIP
    4
    """

    def __init__(self, addresses: list[str], key: str, authority: str = "") -> None:
        self.addresses = addresses
        self.scheme = "https" if authority else "http"
        verify = ssl.create_default_context(cafile=authority) if authority else True
        self.client = httpx.Client(
            timeout=CALL_TIMEOUT_S,
            headers={"authorization": f"Bearer {key}"},
            trust_env=False,
            verify=verify,
        )

    def _call(
        self, method: str, address: str, path: str, body: Any = None
    ) -> Answer | Unreachable:
        url = f"{self.scheme}://{address}{path}"
        try:
            response = self.client.request(method, url, json=body)
            value = response.json()
        except (httpx.HTTPError, ValueError) as error:
            return Unreachable([f"{address}: {error or type(error).__name__}"])
        if not isinstance(value, dict):
            return Unreachable([f"{address}: unexpected answer"])
        return Answer(address, response.status_code, value)

    def _first(self, method: str, path: str, body: Any = None) -> Answer | Unreachable:
        causes: list[str] = []
        for address in self.addresses:
            answer = self._call(method, address, path, body)
            if isinstance(answer, Answer):
                return answer
            causes += answer.causes
        return Unreachable(causes)

    def configuration(self) -> Answer | Unreachable:
        """Return the newest configuration that the instances at `addresses` have."""
        newest: Answer | Unreachable = Unreachable([])
        causes: list[str] = []
        for address in self.addresses:
            answer = self._call("GET", address, "/configuration")
            if isinstance(answer, Unreachable):
                causes += answer.causes
            elif answer.status != 200:
                causes.append(f"{address}: {answer.value.get('detail', answer.status)}")
            elif (
                isinstance(newest, Unreachable)
                or answer.value["revision"] > newest.value["revision"]
            ):
                newest = answer
        return newest if isinstance(newest, Answer) else Unreachable(causes)

    def apply(self, text: str, base: int, by: str) -> Answer | Unreachable:
        """Apply a manifest through the first instance that answers."""
        body = {"text": text, "base": base, "by": by}
        return self._first("POST", "/configuration", body)

    def statuses(self) -> list[tuple[str, Answer | Unreachable]]:
        """Return the status of each instance at `addresses`."""
        return [(a, self._call("GET", a, "/status")) for a in self.addresses]

    def wait_in_force(
        self,
        revision: int,
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> Iterator[dict[str, int | None]]:
        """Yield the revision of each instance until all have reached `revision`.

        Instances that do not answer have None and are not waited for. Polling also
        ends after `timeout_s`.
        """
        deadline = clock() + timeout_s
        while True:
            seen: dict[str, int | None] = {}
            for address, answer in self.statuses():
                is_known = isinstance(answer, Answer) and answer.status == 200
                seen[address] = answer.value["revision"] if is_known else None  # type: ignore[union-attr]
            yield seen
            known = [value for value in seen.values() if value is not None]
            if all(value >= revision for value in known) or clock() > deadline:
                return
            time.sleep(POLL_S)
