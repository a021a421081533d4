"""Claims: at most one dispatch for each idempotency key.

Before a request that must not be retried is dispatched, its key is claimed in
the platform's key-value service by compare-and-swap. A claim names the attempt
that made it. An attempt that claimed but did not dispatch releases its claim;
once the attempt has dispatched, the claim is never released.
"""

import base64
import hashlib
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._backoff import backoff_s
from savorydyke._exceptions import PlatformUnavailableError, ProtocolError
from savorydyke._ids import InstanceId, PoolId, TeamId
from savorydyke._membership import Membership
from savorydyke._platform import (
    Absent,
    Conflict,
    Platform,
    Stored,
    Unknown,
    Written,
)
from savorydyke._timers import TimerService
from savorydyke._untrusted import parse_json, raises_only

PREFIX = "savorydyke/claims"
MAX_KEPT_BYTES = 200_000
"""Largest answer that is kept for replay."""
CLAIM_TIMEOUT_S = 3.0
RETRY_BASE_S = 0.05
RETRY_MAX_S = 2.0
FINAL_WRITE_LIMIT_S = 600.0
RETENTION_S = 7 * 86_400.0
SWEEP_S = 60.0
SWEEP_PAUSE_S = 0.05
SHARDS = 256

log = _logs.component_logger("claims")


class ClaimState(Enum):
    """State of a claim."""

    TAKEN = "taken"
    DONE = "done"
    RELEASED = "released"
    LOST = "lost"


@dataclass(frozen=True)
class KeptAnswer:
    """A complete answer, stored for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class Claim:
    """A claim as stored by the platform.

    Attributes
    ----------
    attempt : str
        Name of the attempt that made the claim.
    instance, incarnation : InstanceId, int
        The process that made the attempt.
    digest : str
        Digest of the request, to detect reuse of the key for another request.
    at : float
        Unix time at which the claim was written.
    answer : KeptAnswer or None
        The answer, if the request is done and the answer small enough.
    """

    state: ClaimState
    attempt: str
    instance: InstanceId
    incarnation: int
    digest: str
    at: float
    answer: KeptAnswer | None = None

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        value: dict[str, object] = {
            "state": self.state.value,
            "attempt": self.attempt,
            "instance": self.instance,
            "incarnation": self.incarnation,
            "digest": self.digest,
            "at": self.at,
        }
        if self.answer is not None:
            value["answer"] = {
                "status": self.answer.status,
                "headers": self.answer.headers,
                "body": base64.b64encode(self.answer.body).decode(),
            }
        return json.dumps(value).encode()


@raises_only(ProtocolError)
def parse_claim(data: bytes) -> Claim:
    """Return the claim in `data`.

    Raises
    ------
    ProtocolError
        If `data` is not a claim.
    """
    value = parse_json(data)
    fields = value.get("answer")
    answer = None
    if fields is not None:
        headers = tuple((str(n), str(v)) for n, v in fields["headers"])
        body = base64.b64decode(fields["body"])
        answer = KeptAnswer(int(fields["status"]), headers, body)
    return Claim(
        ClaimState(value["state"]),
        str(value["attempt"]),
        InstanceId(str(value["instance"])),
        int(value["incarnation"]),
        str(value["digest"]),
        float(value["at"]),
        answer,
    )


@dataclass(frozen=True)
class Unclaimed:
    """The key may be claimed, by a write against this revision."""

    revision: int


@dataclass(frozen=True)
class Taken:
    """Another attempt holds the claim and has not finished."""

    claim: Claim
    revision: int


@dataclass(frozen=True)
class Done:
    """The request ran; `answer` is None if it was too large to keep."""

    claim: Claim
    answer: KeptAnswer | None


@dataclass(frozen=True)
class AnswerLost:
    """The request was sent and its answer was lost; it may have run."""


@dataclass(frozen=True)
class KeyReused:
    """The key was used for another request."""


@dataclass(frozen=True)
class Acquired:
    """The requesting attempt holds the claim and may dispatch."""


@dataclass(frozen=True)
class Unavailable:
    """The platform did not answer; nothing may be dispatched."""

    cause: str


LookupResult = Unclaimed | Taken | Done | AnswerLost | KeyReused | Unavailable
AcquireResult = Acquired | Taken | Done | AnswerLost | KeyReused | Unavailable


def claim_key(team: TeamId, pool: PoolId, idempotency_key: str) -> str:
    """Return the platform's key of a claim, in one of `SHARDS` folders."""
    name = f"{team}|{pool}|{idempotency_key}".encode()
    digest = hashlib.sha256(name).hexdigest()
    return f"{PREFIX}/{digest[:2]}/{digest}"


@dataclass
class Claims:
    """All claims that this instance makes.

    Attributes
    ----------
    background : BackgroundTasks
        Runs the writes that nobody awaits.
    now_unix : callable
        Returns the Unix time in seconds.
    pending_writes : int
        Claims whose final state is still being written.
    """

    platform: Platform
    membership: Membership
    background: BackgroundTasks
    rng: random.Random
    now_unix: Callable[[], float] = time.time
    pending_writes: int = 0

    async def lookup(
        self, key: str, digest: str, attempt: str = ""
    ) -> LookupResult | Acquired:
        """Return the state of the claim of a key."""
        try:
            stored = await self.platform.read(key)
            return self._interpret(stored, digest, attempt)
        except (PlatformUnavailableError, ProtocolError) as error:
            return Unavailable(str(error))

    async def lookup_after_change(
        self, key: str, digest: str, taken: Taken
    ) -> LookupResult | Acquired:
        """Return the state of the claim of a key once it may have changed."""
        try:
            stored = await self.platform.watch(key, taken.revision)
            return self._interpret(stored, digest, "")
        except (PlatformUnavailableError, ProtocolError) as error:
            return Unavailable(str(error))

    def _interpret(
        self, stored: Stored | Absent, digest: str, attempt: str
    ) -> LookupResult | Acquired:
        if isinstance(stored, Absent):
            return Unclaimed(0)
        claim = parse_claim(stored.value)
        if claim.state is ClaimState.RELEASED:
            return Unclaimed(stored.revision)
        if claim.digest != digest:
            return KeyReused()
        if claim.state is ClaimState.DONE:
            return Done(claim, claim.answer)
        if claim.state is ClaimState.LOST:
            return AnswerLost()
        if claim.attempt == attempt:
            return Acquired()
        return Taken(claim, stored.revision)

    async def acquire(
        self, key: str, digest: str, attempt: str, unclaimed: Unclaimed
    ) -> AcquireResult:
        """Claim a key that was found unclaimed.

        A write without a definite result is read back before anything is
        decided. If that fails too, the claim is released in the background.
        """
        claim = self._claim(ClaimState.TAKEN, attempt, digest)
        state: LookupResult | Acquired = unclaimed
        is_written = False
        tries = 0
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            while True:
                if isinstance(state, Unclaimed):
                    is_written = True
                    result = await self.platform.write(
                        key, claim.to_bytes(), state.revision
                    )
                    if isinstance(result, Written):
                        return Acquired()
                elif not isinstance(state, Unavailable):
                    return state
                tries += 1
                if tries > 1:
                    wait_s = backoff_s(tries, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                    await trio.sleep(wait_s)
                state = await self.lookup(key, digest, attempt)
        if is_written:
            self.release_later(key, digest, attempt)
        return Unavailable("the claim could not be confirmed in time")

    def _claim(
        self,
        state: ClaimState,
        attempt: str,
        digest: str,
        answer: KeptAnswer | None = None,
    ) -> Claim:
        at = self.now_unix()
        membership = self.membership
        return Claim(
            state, attempt, membership.id, membership.incarnation, digest, at, answer
        )

    def record_done_later(
        self, key: str, digest: str, attempt: str, answer: KeptAnswer | None
    ) -> None:
        """Record that the request ran, with its answer; retried during an outage."""
        done = self._claim(ClaimState.DONE, attempt, digest, answer)
        self.background.start_soon(self._write_final, key, done, True)

    def record_lost_later(self, key: str, digest: str, attempt: str) -> None:
        """Record that the request was sent and that its answer was lost."""
        lost = self._claim(ClaimState.LOST, attempt, digest)
        self.background.start_soon(self._write_final, key, lost, True)

    def release_later(self, key: str, digest: str, attempt: str) -> None:
        """Release a claim that was, or may have been, acquired but not used.

        An absent claim is written as released, so that a delayed write of the
        claim fails.
        """
        released = self._claim(ClaimState.RELEASED, attempt, digest)
        self.background.start_soon(self._write_final, key, released, False)

    async def _write_final(self, key: str, claim: Claim, only_if_present: bool) -> None:
        """Write the final state of an attempt's claim, retrying until it is confirmed.

        A claim that another attempt holds, or that is final already, stays as it
        is. With `only_if_present`, nothing is written if the claim is absent.
        """
        self.pending_writes += 1
        try:
            await self._write_final_with_retries(key, claim, only_if_present)
        finally:
            self.pending_writes -= 1

    async def _write_final_with_retries(
        self, key: str, claim: Claim, only_if_present: bool
    ) -> None:
        with trio.move_on_after(FINAL_WRITE_LIMIT_S):
            tries = 0
            while not await self._try_write_final(key, claim, only_if_present):
                tries += 1
                wait_s = backoff_s(tries, RETRY_BASE_S, RETRY_MAX_S, self.rng)
                await trio.sleep(wait_s)
            return
        log.error(
            "Final state of a claim not written.", extra={"attempt": claim.attempt}
        )

    async def _try_write_final(
        self, key: str, claim: Claim, only_if_present: bool
    ) -> bool:
        try:
            stored = await self.platform.read(key)
            if isinstance(stored, Absent):
                if only_if_present:
                    return True
                revision = 0
            else:
                found = parse_claim(stored.value)
                is_own = found.attempt == claim.attempt
                if not is_own or found.state is not ClaimState.TAKEN:
                    return True
                revision = stored.revision
        except (PlatformUnavailableError, ProtocolError):
            return False
        result = await self.platform.write(key, claim.to_bytes(), revision)
        return not isinstance(result, Conflict | Unknown)

    # Sweeping

    async def sweep(self, timers: TimerService) -> None:
        """Delete claims older than `RETENTION_S`, one shard per tick."""
        shard = self.rng.randrange(SHARDS)
        async with timers.every(SWEEP_S) as ticks:
            async for _ in ticks:
                if self.membership.is_chosen(PREFIX, 1):
                    shard = (shard + 1) % SHARDS
                    await self._sweep_shard(f"{PREFIX}/{shard:02x}/")

    async def _sweep_shard(self, prefix: str) -> None:
        try:
            for key in await self.platform.list_keys(prefix):
                await trio.sleep(SWEEP_PAUSE_S)
                stored = await self.platform.read(key)
                if isinstance(stored, Stored) and self._is_old(stored):
                    await self.platform.delete(key, stored.revision)
        except (PlatformUnavailableError, ProtocolError) as error:
            log.warning("Deleting old claims failed.", extra={"error": str(error)})

    def _is_old(self, stored: Stored) -> bool:
        age_s = self.now_unix() - parse_claim(stored.value).at
        return age_s > RETENTION_S
