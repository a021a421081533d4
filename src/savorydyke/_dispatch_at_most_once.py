"""Dispatch of requests that must run at most once for each idempotency key.

The key is claimed after the grant and just before the request is sent, so that
an attempt that was only queued leaves no claim behind.
"""

from dataclasses import dataclass, replace

import trio

from savorydyke._calls import Call
from savorydyke._claims import (
    MAX_KEPT_BYTES,
    Acquired,
    AnswerLost,
    Claims,
    Done,
    KeptAnswer,
    KeyReused,
    LookupResult,
    Taken,
    Unavailable,
    Unclaimed,
    claim_key,
)
from savorydyke._dispatch import (
    MAX_ATTEMPTS,
    Complete,
    Dispatch,
    Dispatcher,
    DispatchResult,
    Reply,
    refusal_from,
)
from savorydyke._grant_client import GrantClient, Granted, Refused
from savorydyke._ids import EndpointId, Outcome, Reason, ReleaseResult
from savorydyke._manifest import Endpoint
from savorydyke._problems import Refusal

OTHER_ATTEMPT_POLL_S = 0.2
COORDINATOR_TIMEOUT_S = 1.0


@dataclass
class AtMostOnceDispatcher:
    """Dispatches requests under claims of their idempotency keys."""

    dispatcher: Dispatcher
    claims: Claims

    @property
    def grant_client(self) -> GrantClient:
        """Return the grant client of this frontend."""
        return self.dispatcher.grant_client

    async def run(self, dispatch: Dispatch) -> DispatchResult:
        """Answer a request under a claim of its idempotency key."""
        call = dispatch.call
        key = claim_key(call.team, call.pool.id, call.idempotency_key)
        avoid: tuple[EndpointId, ...] = ()
        while len(avoid) < MAX_ATTEMPTS:
            state = await self._lookup_claim(call, key)
            if isinstance(state, Unavailable):
                return await self._claims_unavailable(call, state)
            if not isinstance(state, Unclaimed):
                return await self._answer_from_claim(dispatch, state)
            answer = await self.grant_client.acquire(call.demand, avoid)
            if isinstance(answer, Refused):
                if self._another_attempt_runs(call, answer):
                    await trio.sleep(OTHER_ATTEMPT_POLL_S)
                    continue
                return refusal_from(answer)
            with trio.CancelScope(shield=True):
                result = await self._claim_and_use(dispatch, answer, key, state)
            if result is not None:
                return result
            avoid = (*avoid, answer.endpoint)
        detail = f"{MAX_ATTEMPTS} endpoints in turn could not be reached"
        return Refusal(Reason.NO_ENDPOINT, detail)

    async def _lookup_claim(self, call: Call, key: str) -> LookupResult | Acquired:
        """Return the state of a claim once no running attempt holds it.

        At the deadline of the call the state is returned as it is.
        """
        state = await self.claims.lookup(key, call.digest)
        while isinstance(state, Taken) and not self._holder_is_gone(state):
            if trio.current_time() > call.demand.deadline:
                return state
            state = await self.claims.lookup_after_change(key, call.digest, state)
        return state

    def _another_attempt_runs(self, call: Call, refused: Refused) -> bool:
        """Return whether another attempt under the same key is in progress."""
        is_duplicate = refused.reason is Reason.DUPLICATE
        return is_duplicate and trio.current_time() < call.demand.deadline

    async def _claims_unavailable(self, call: Call, state: Unavailable) -> Refusal:
        """Refuse while claims cannot be read.

        The coordinator is asked whether the request may have run.
        """
        detail = f"the claim of the key can not be made: {state.cause}"
        deadline = trio.current_time() + COORDINATOR_TIMEOUT_S
        demand = replace(call.demand, resume_only=True, deadline=deadline)
        answer = await self.grant_client.acquire(demand)
        if isinstance(answer, Granted):
            self.grant_client.release(demand.key, ReleaseResult.NOT_SENT)
        is_new = isinstance(answer, Refused) and not answer.may_have_run
        outcome = Outcome.NOT_RUN if is_new else Outcome.MAY_HAVE_RUN
        return Refusal(Reason.CLAIMS_UNAVAILABLE, detail, outcome)

    def _holder_is_gone(self, claimed: Taken) -> bool:
        """Return whether the claim's holder is gone, so that waiting is useless."""
        claim = claimed.claim
        return not self.grant_client.membership.is_running(
            claim.instance, claim.incarnation
        )

    async def _answer_from_claim(
        self, dispatch: Dispatch, state: object
    ) -> DispatchResult:
        """Answer a request whose key has been claimed before."""
        match state:
            case Done(answer=KeptAnswer() as answer):
                request_id = dispatch.call.head.request_id.encode()
                headers = [(n.encode(), v.encode()) for n, v in answer.headers]
                headers += [(b"x-request-id", request_id), (b"x-replayed", b"true")]
                dispatch.replying = True
                await dispatch.reply.start(answer.status, headers)
                await dispatch.reply.body(answer.body)
                return Complete(answer.status)
            case Done():
                detail = "the request ran earlier; its answer was too large to keep"
                return Refusal(Reason.DUPLICATE, detail, Outcome.MAY_HAVE_RUN)
            case AnswerLost():
                detail = "an earlier attempt was sent, but its answer was lost"
                return Refusal(Reason.UNKNOWN_OUTCOME, detail, Outcome.MAY_HAVE_RUN)
            case KeyReused():
                detail = "the Idempotency-Key was used for another request"
                return Refusal(Reason.KEY_REUSED, detail)
            case Taken() if self._holder_is_gone(state):
                detail = "an earlier attempt may have run; its instance has gone"
                return Refusal(Reason.UNKNOWN_OUTCOME, detail, Outcome.MAY_HAVE_RUN)
            case Taken():
                detail = "an earlier attempt is in progress"
                return Refusal(Reason.IN_PROGRESS, detail, Outcome.MAY_HAVE_RUN)
            case Unavailable():
                return await self._claims_unavailable(dispatch.call, state)
        raise AssertionError(f"no answer for the state of a claim: {state}")

    async def _claim_and_use(
        self, dispatch: Dispatch, granted: Granted, key: str, unclaimed: Unclaimed
    ) -> DispatchResult | None:
        """Claim the key and use a grant; return None if another may be tried."""
        call = dispatch.call
        attempt = f"{call.stream_id}#{self.grant_client.membership.incarnation}"
        attempt += f".{granted.attempt}"
        dispatch.granted_at = granted.received
        dispatch.result = ReleaseResult.NOT_SENT
        try:
            claimed = await self.claims.acquire(key, call.digest, attempt, unclaimed)
            if isinstance(claimed, Unavailable):
                return self._claim_unconfirmed(claimed)
            if not isinstance(claimed, Acquired):
                return await self._answer_from_claim(dispatch, claimed)
            endpoint = self.dispatcher.permitted_endpoint(call, granted)
            result: DispatchResult | None
            if isinstance(endpoint, Endpoint):
                result = await self._send_under_claim(dispatch, endpoint, key, attempt)
            else:
                result = endpoint
            if not dispatch.sent:
                self.claims.release_later(key, call.digest, attempt)
            return result
        finally:
            self.dispatcher.release(dispatch)

    def _claim_unconfirmed(self, claimed: Unavailable) -> Refusal:
        """Refuse a request whose key was unclaimed when it was looked up."""
        detail = f"the claim of the key can not be made: {claimed.cause}"
        return Refusal(Reason.CLAIMS_UNAVAILABLE, detail)

    async def _send_under_claim(
        self, dispatch: Dispatch, endpoint: Endpoint, key: str, attempt: str
    ) -> DispatchResult | None:
        """Send a request under its claim, and record the answer for replays."""
        call = dispatch.call
        recording = _RecordingReply(dispatch.reply)
        recorded = replace(dispatch, reply=recording.reply())
        result = await self.dispatcher.send(recorded, endpoint)
        dispatch.sent = recorded.sent
        dispatch.result = recorded.result
        dispatch.replying = recorded.replying
        if isinstance(result, Complete):
            self.claims.record_done_later(key, call.digest, attempt, recording.answer())
        elif dispatch.sent:
            self.claims.record_lost_later(key, call.digest, attempt)
        return result


class _RecordingReply:
    """Relays an answer to the caller and keeps a copy of it.

    The request continues if its caller disconnects, since it must not be sent
    again.
    """

    def __init__(self, reply: Reply) -> None:
        self.target = reply
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0

    def reply(self) -> Reply:
        return Reply(self._start, self._body, self.target.is_disconnected)

    async def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status
        self.headers = headers
        if not self.target.is_disconnected():
            await self.target.start(status, headers)

    async def _body(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= MAX_KEPT_BYTES:
            self.chunks.append(data)
        if not self.target.is_disconnected():
            await self.target.body(data)

    def answer(self) -> KeptAnswer | None:
        if self.size > MAX_KEPT_BYTES:
            return None
        headers = tuple(
            (n.decode("latin-1"), v.decode("latin-1"))
            for n, v in self.headers
            if n.lower() != b"x-request-id"
        )
        return KeptAnswer(self.status, headers, b"".join(self.chunks))
