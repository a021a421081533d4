"""Holds back parts of prompts that crash endpoints.

A request may end the process of each endpoint that answers it, and so may all other
requests whose prompts share the part that does it. Instances collect evidence: the
parts in the prompts of answers that broke off, and the processes of endpoints that
have ended. The end of a process counts against all parts whose answers broke off there.
A complete answer clears the parts of its prompt.

Answers to sound requests break off with the others, so that one end proves nothing.
A part is held back once several processes have ended under it in a row; requests that
share only its other parts are still sent. After a time one request is sent as a trial.

Times are seconds on the local monotonic clock and are passed in.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from savorydyke._ids import EndpointId, ProcessId, PromptPartId
from savorydyke._messages import LossRow

ENDS_TO_HOLD = 3
"""Ends of processes under a part after which it is held back."""
MIN_ROUNDS = 2
"""Rounds in which these ends must have come. A round begins with a request that was
sent after the previous one had ended; processes that end together have another
cause."""
ENDS_TO_HOLD_ANSWERED = 5
"""The same for a part of prompts that were answered before."""
SETTLE_S = 0.4
"""Age from which an end counts. By then other instances have told what they know of it,
and complete answers have cleared the parts that most requests share."""
TRIAL_DELAYS_S = (2.0, 10.0, 60.0, 300.0)
"""Time from the latest end to a trial, by the number of rounds beyond the first."""
TRIAL_S = 5.0
"""Time for which the result of a trial is awaited."""
EVIDENCE_S = 300.0
"""Time for which evidence against a part is kept that is not held back."""
HELD_EVIDENCE_S = 1800.0
"""Time for which evidence against a part is kept that is held back."""
SPREAD_S = 10.0
"""Time for which others are told of a single end, or that a part is cleared."""
HELD_BACK_DETAIL = "endpoints ended when they answered prompts that share a part"
MAX_PARTS = 1000
MAX_ANSWERED = 4000
MAX_ROWS = 64
"""Most rows in one report; those of the most suspect parts go first."""


@dataclass(frozen=True)
class Loss:
    """A broken answer to a prompt with a certain part.

    Attributes
    ----------
    sent, at : float
        When the request was sent and when its answer broke off.
    """

    sent: float
    at: float


@dataclass
class PartEvidence:
    """What is known about one part.

    Attributes
    ----------
    depth : int
        Its place in prompts, 0 for the first part.
    losses : dict of ProcessId to Loss
        The first loss at each process since the latest complete answer.
    is_shared : bool
        Whether other instances may have evidence against it.
    trial_until : float
        Until when the result of a trial is awaited.
    """

    depth: int
    losses: dict[ProcessId, Loss] = field(default_factory=dict)
    is_shared: bool = False
    trial_until: float = -math.inf


@dataclass
class PromptQuarantine:
    """The evidence, and the parts that are held back.

    Attributes
    ----------
    parts : OrderedDict of PromptPartId to PartEvidence
        Parts with evidence, the latest last.
    answered : OrderedDict of PromptPartId to float
        When the latest complete answer to a prompt with a part was received, the
        latest last.
    ended : set of ProcessId
        Processes that are known to have ended, of those with losses.
    held : set of PromptPartId
        The parts that are held back.
    changes : int
        Increased when something is learned that other instances may not know.
    listeners : list of callable
        Called with a part and whether it is held back, when that changes.
    """

    parts: OrderedDict[PromptPartId, PartEvidence] = field(default_factory=OrderedDict)
    answered: OrderedDict[PromptPartId, float] = field(default_factory=OrderedDict)
    ended: set[ProcessId] = field(default_factory=set)
    held: set[PromptPartId] = field(default_factory=set)
    changes: int = 0
    listeners: list[Callable[[PromptPartId, bool], None]] = field(default_factory=list)

    # Evidence

    def record_loss(
        self,
        process: ProcessId,
        parts: Iterable[PromptPartId],
        sent: float,
        now: float,
    ) -> None:
        """Record that an answer broke off at a process of an endpoint."""
        for depth, part in enumerate(parts):
            self._add_loss(part, depth, process, Loss(sent, now))

    def record_end(self, process: ProcessId) -> None:
        """Record that a process has ended."""
        if process not in self.ended and self._has_losses(process):
            self.ended.add(process)
            self.changes += 1

    def record_answer(self, parts: Iterable[PromptPartId], now: float) -> None:
        """Record a complete answer, which clears the parts of its prompt."""
        for part in parts:
            self._clear(part, now)

    def has_evidence(self, parts: Iterable[PromptPartId]) -> bool:
        """Return whether there is evidence against any of the parts."""
        return any(part in self.parts and self.parts[part].losses for part in parts)

    def _has_losses(self, process: ProcessId) -> bool:
        return any(process in evidence.losses for evidence in self.parts.values())

    def _answered_at(self, part: PromptPartId) -> float:
        return self.answered.get(part, -math.inf)

    def _add_loss(
        self, part: PromptPartId, depth: int, process: ProcessId, loss: Loss
    ) -> None:
        if loss.at <= self._answered_at(part):
            return
        evidence = self.parts.setdefault(part, PartEvidence(depth))
        if process in evidence.losses:
            return
        evidence.losses[process] = loss
        self.parts.move_to_end(part)
        self.changes += process in self.ended
        self._drop_excess()

    def _drop_excess(self) -> None:
        while len(self.parts) > MAX_PARTS:
            oldest = next((p for p in self.parts if p not in self.held), None)
            if oldest is None:
                return
            del self.parts[oldest]

    def _clear(self, part: PromptPartId, at: float) -> None:
        if at <= self._answered_at(part):
            return
        self.answered[part] = at
        self.answered.move_to_end(part)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        evidence = self.parts.get(part)
        if evidence is None:
            return
        cleared = {p for p, loss in evidence.losses.items() if loss.at <= at}
        for process in cleared:
            del evidence.losses[process]
        self.changes += bool(cleared & self.ended)
        if part in self.held and len(evidence.losses) < ENDS_TO_HOLD:
            self._release(part)

    # Which parts are held back

    def review(self, now: float) -> None:
        """Decide again which parts are held back; to be called several times a second.

        Parts whose latest answer is the oldest come first, and of these the deepest
        ones, which the fewest requests share. A part that is held back explains the
        evidence against the others.
        """
        if not self.parts:
            return
        self._drop_old(now)
        by_suspicion = sorted(
            self.parts,
            key=lambda part: (self._answered_at(part), -self.parts[part].depth),
        )
        for part in by_suspicion:
            if part in self.held or not self._is_suspect(part, now):
                continue
            self.held.add(part)
            self._notify(part, True)
            for other in list(self.held - {part}):
                if not self._is_suspect(other, now):
                    self._release(other)

    def _is_suspect(self, part: PromptPartId, now: float) -> bool:
        """Return whether the ends that no other held part explains suffice."""
        explained: set[ProcessId] = set()
        for other in self.held - {part}:
            explained.update(self.parts[other].losses)
        counted = [
            loss
            for process, loss in self.parts[part].losses.items()
            if process in self.ended
            and process not in explained
            and now - loss.at >= SETTLE_S
        ]
        is_new = part not in self.answered
        least = ENDS_TO_HOLD if is_new else ENDS_TO_HOLD_ANSWERED
        return len(counted) >= least and _count_rounds(counted) >= MIN_ROUNDS

    def _release(self, part: PromptPartId) -> None:
        self.held.discard(part)
        self.parts[part].trial_until = -math.inf
        self._notify(part, False)

    def _notify(self, part: PromptPartId, held: bool) -> None:
        for listener in self.listeners:
            listener(part, held)

    def _drop_old(self, now: float) -> None:
        for part, evidence in list(self.parts.items()):
            kept_s = HELD_EVIDENCE_S if part in self.held else EVIDENCE_S
            if any(now - loss.at <= kept_s for loss in evidence.losses.values()):
                continue
            if part in self.held:
                self._release(part)
            evidence.losses.clear()
            if now - self._answered_at(part) > SPREAD_S:
                del self.parts[part]
        self.ended &= {p for e in self.parts.values() for p in e.losses}

    # Decisions

    def held_part(
        self, parts: Iterable[PromptPartId], now: float
    ) -> tuple[PromptPartId, float] | None:
        """Return a part that is held back and the seconds until its next trial.

        None means that the request may be sent, or that a trial is due.
        """
        waits = [
            (self.trial_at(part) - now, part) for part in parts if part in self.held
        ]
        wait_s, part = max(waits, default=(0.0, PromptPartId("")))
        return (part, wait_s) if wait_s > 0 else None

    def trial_at(self, part: PromptPartId) -> float:
        """Return when a request with a held part may be sent as a trial."""
        losses = self.parts[part].losses.values()
        further = max(0, _count_rounds(losses) - MIN_ROUNDS)
        delay_s = TRIAL_DELAYS_S[min(further, len(TRIAL_DELAYS_S) - 1)]
        return max(loss.at for loss in losses) + delay_s

    def start_trial(self, parts: Iterable[PromptPartId], now: float) -> bool:
        """Return whether a request may be sent, which makes it the trial if one is due.

        Only the coordinator of a pool may start trials, so that there is one at a time.
        """
        held = [self.parts[part] for part in parts if part in self.held]
        if any(now < evidence.trial_until for evidence in held):
            return False
        for evidence in held:
            evidence.trial_until = now + TRIAL_S
        return True

    # Exchange with other instances

    def rows(self, now: float) -> tuple[LossRow, ...]:
        """Return the evidence of processes that have ended, for other instances.

        A row without a process says that the part has been cleared.
        """
        rows: list[LossRow] = []
        ranked = sorted(self.parts.items(), key=lambda item: -len(item[1].losses))
        for part, evidence in ranked:
            ended = [p for p in evidence.losses if p in self.ended]
            evidence.is_shared = evidence.is_shared or bool(ended)
            if len(ended) == 1 and now - evidence.losses[ended[0]].at > SPREAD_S:
                continue
            for process in ended:
                loss = evidence.losses[process]
                sent_ms, lost_ms = _age_ms(loss.sent, now), _age_ms(loss.at, now)
                rows.append(LossRow(part, evidence.depth, process, sent_ms, lost_ms))
            is_cleared = not ended and now - self._answered_at(part) <= SPREAD_S
            if evidence.is_shared and is_cleared:
                age_ms = _age_ms(self._answered_at(part), now)
                none = ProcessId("")
                rows.append(LossRow(part, evidence.depth, none, age_ms, age_ms))
        return tuple(rows[:MAX_ROWS])

    def merge(self, rows: Iterable[LossRow], now: float) -> None:
        """Add the evidence of another instance."""
        for row in rows:
            at = now - row.lost_age_ms / 1000
            if not row.process:
                self._clear(row.part, at)
                continue
            loss = Loss(now - row.sent_age_ms / 1000, at)
            self._add_loss(row.part, row.depth, row.process, loss)
            if row.part in self.parts:
                self.parts[row.part].is_shared = True
            self.record_end(row.process)


def _count_rounds(losses: Iterable[Loss]) -> int:
    """Return how often a request was sent and lost after earlier ones were lost."""
    rounds, latest = 0, -math.inf
    for loss in sorted(losses, key=lambda loss: loss.at):
        if loss.sent >= latest:
            rounds += 1
            latest = loss.at
    return rounds


def _age_ms(time: float, now: float) -> int:
    return max(0, int(1000 * (now - time)))


def process_id(endpoint: EndpointId, started_ms: int) -> ProcessId:
    """Return the id of an endpoint's process.

    Parameters
    ----------
    started_ms : int
        Start of the process in Unix milliseconds.
    """
    return ProcessId(f"{endpoint}@{started_ms}")
