"""Holds back requests, and parts of prompts, that crash endpoints.

A request may end the process of each endpoint that answers it, and so may all other
requests whose prompts share the part that does it. Both are suspects, the request by
a digest that it shares with its repetitions. Instances collect evidence: the suspects
in requests whose answers broke off, and the processes of endpoints that have ended.
The end of a process counts against all suspects whose answers broke off there. A
complete answer clears the suspects of its request.

Answers to sound requests break off with the others, so that one end proves nothing.
A suspect is held back once several processes have ended under it in a row; requests
that share only other parts are still sent. After a time one is sent as a trial; a
whole request has few of them, which are counted over the whole fleet.

Times are seconds on the local monotonic clock and are passed in.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from savorydyke._ids import ProcessId, SuspectId, is_digest
from savorydyke._messages import LossRow

ENDS_TO_HOLD = 3
"""Ends of processes under a suspect after which it is held back."""
MIN_ROUNDS = 2
"""Rounds in which the ends under a part must have come. A round begins with a request
that was sent after the previous one had ended; processes that end together have
another cause."""
ENDS_TO_HOLD_ANSWERED = 5
"""Ends under a part of prompts that were answered before."""
SETTLE_S = 0.4
"""Age from which an end counts. By then other instances have told what they know of it,
and complete answers have cleared the suspects that most requests share."""
TRIAL_DELAYS_S = (2.0, 10.0, 60.0, 300.0)
"""Time from the latest end to a trial, by the number of rounds beyond the first."""
REQUEST_TRIAL_DELAYS_S = (2.0, 30.0)
"""Time from the latest end or trial to the next trial of a whole request, by the number
of its trials. There are no more than these."""
TRIAL_S = 5.0
"""Time for which the result of a trial is awaited."""
EVIDENCE_S = 300.0
"""Time for which evidence against a suspect is kept that is not held back."""
HELD_EVIDENCE_S = 1800.0
"""Time for which evidence against a part is kept that is held back."""
HELD_REQUEST_S = 86_400.0
"""Same for a whole request."""
SPREAD_S = 10.0
"""Time for which others are told of a single end, or that a suspect is cleared."""
HELD_BACK_DETAIL = "endpoints ended when they answered this or a similar request"
MAX_SUSPECTS = 2000
MAX_ANSWERED = 4000
MAX_ROWS = 64
"""Most rows of either kind in one report; those of the suspects with most ends go
first."""
REQUEST_DEPTH = 1000
"""Depth of whole requests, below all parts of prompts."""

Rows = tuple[LossRow, ...]


@dataclass(frozen=True)
class Loss:
    """A broken answer to a request with a certain suspect.

    Attributes
    ----------
    sent, at : float
        When the request was sent and when its answer broke off.
    """

    sent: float
    at: float


@dataclass
class Evidence:
    """What is known about one suspect.

    Attributes
    ----------
    depth : int
        Its place in prompts, 0 for the first part.
    trials : int
        How often a request with it was sent since it is held back.
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
    trials: int = 0
    trial_until: float = -math.inf


@dataclass
class Quarantine:
    """The evidence, and the suspects that are held back.

    Attributes
    ----------
    suspects : OrderedDict of SuspectId to Evidence
        Parts with evidence, the latest last.
    answered : OrderedDict of SuspectId to float
        When the latest complete answer to a request with a suspect was received, the
        latest last.
    ended : set of ProcessId
        Processes that are known to have ended, of those with losses.
    lost_at : dict of ProcessId to set of SuspectId
        The processes with losses, and the requests that were lost there, as of the
        latest review.
    held : set of SuspectId
        The suspects that are held back.
    changes : int
        Increased when something is learned that other instances may not know.
    untold : dict of SuspectId to None
        The suspects of which that was learned, until `take_untold`, the oldest first.
    listeners : list of callable
        Called with a suspect and whether it is held back, when that changes.
    """

    suspects: OrderedDict[SuspectId, Evidence] = field(default_factory=OrderedDict)
    answered: OrderedDict[SuspectId, float] = field(default_factory=OrderedDict)
    ended: set[ProcessId] = field(default_factory=set)
    lost_at: dict[ProcessId, set[SuspectId]] = field(default_factory=dict)
    held: set[SuspectId] = field(default_factory=set)
    changes: int = 0
    untold: dict[SuspectId, None] = field(default_factory=dict)
    listeners: list[Callable[[SuspectId, bool], None]] = field(default_factory=list)

    # Evidence

    def record_loss(
        self,
        process: ProcessId,
        suspects: Iterable[SuspectId],
        sent: float,
        now: float,
    ) -> None:
        """Record that an answer broke off at a process of an endpoint."""
        for place, suspect in enumerate(suspects):
            depth = REQUEST_DEPTH if is_digest(suspect) else place
            self._add_loss(suspect, depth, process, Loss(sent, now))

    def record_end(self, process: ProcessId) -> None:
        """Record that a process has ended."""
        if process in self.ended:
            return
        suspects = [s for s, e in self.suspects.items() if process in e.losses]
        if suspects:
            self.ended.add(process)
            for suspect in suspects:
                self._note_change(suspect)

    def record_answer(self, suspects: Iterable[SuspectId], now: float) -> None:
        """Record a complete answer, which clears the suspects of its request."""
        for suspect in suspects:
            self._clear(suspect, now)

    def has_evidence(self, suspects: Iterable[SuspectId]) -> bool:
        """Return whether there is evidence against any of the suspects."""
        return any(
            suspect in self.suspects and self.suspects[suspect].losses
            for suspect in suspects
        )

    def _note_change(self, suspect: SuspectId) -> None:
        """Record that other instances may not know what was learned of a suspect."""
        self.changes += 1
        self.untold[suspect] = None

    def _answered_at(self, suspect: SuspectId) -> float:
        return self.answered.get(suspect, -math.inf)

    def _add_loss(
        self, suspect: SuspectId, depth: int, process: ProcessId, loss: Loss
    ) -> None:
        if loss.at <= self._answered_at(suspect):
            return
        evidence = self.suspects.setdefault(suspect, Evidence(depth))
        if process in evidence.losses:
            return
        evidence.losses[process] = loss
        self.suspects.move_to_end(suspect)
        if process in self.ended:
            self._note_change(suspect)
        self._drop_excess()

    def _drop_excess(self) -> None:
        while len(self.suspects) > MAX_SUSPECTS:
            oldest = next((p for p in self.suspects if p not in self.held), None)
            if oldest is None:
                return
            del self.suspects[oldest]

    def _clear(self, suspect: SuspectId, at: float) -> None:
        if at <= self._answered_at(suspect):
            return
        if is_digest(suspect) and suspect not in self.suspects:
            # Most requests never come again.
            return
        self.answered[suspect] = at
        self.answered.move_to_end(suspect)
        if len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        evidence = self.suspects.get(suspect)
        if evidence is None:
            return
        cleared = {p for p, loss in evidence.losses.items() if loss.at <= at}
        for process in cleared:
            del evidence.losses[process]
        if cleared & self.ended:
            self._note_change(suspect)
        if suspect in self.held and len(evidence.losses) < ENDS_TO_HOLD:
            self._release(suspect)

    # Which suspects are held back

    def review(self, now: float) -> None:
        """Decide again what is held back; to be called several times a second.

        Suspects whose latest answer is the oldest come first, and of these the deepest
        ones, which the fewest requests share. A suspect that is held back explains the
        evidence against parts.
        """
        if not self.suspects:
            return
        self._drop_old(now)
        by_suspicion = sorted(
            (s for s, e in self.suspects.items() if len(e.losses) >= ENDS_TO_HOLD),
            key=lambda suspect: (
                self._answered_at(suspect),
                -self.suspects[suspect].depth,
            ),
        )
        for suspect in by_suspicion:
            if suspect in self.held or not self._is_suspect(suspect, now):
                continue
            self.held.add(suspect)
            self._notify(suspect, True)
            for other in self._held_parts() - {suspect}:
                if not self._is_suspect(other, now):
                    self._release(other)

    def _held_parts(self) -> set[SuspectId]:
        return {suspect for suspect in self.held if not is_digest(suspect)}

    def _is_one_request(self, processes: Iterable[ProcessId]) -> bool:
        """Return whether one held request was lost at all of these processes."""
        lost_at = [self.lost_at.get(process, set()) for process in processes]
        return bool(lost_at and self.held.intersection(*lost_at))

    def _is_suspect(self, suspect: SuspectId, now: float) -> bool:
        """Return whether the ends that nothing else explains suffice."""
        counted = {
            process: loss
            for process, loss in self.suspects[suspect].losses.items()
            if process in self.ended and now - loss.at >= SETTLE_S
        }
        if is_digest(suspect):
            # A sound request that was lost each time as well is cleared by its trial.
            return len(counted) >= ENDS_TO_HOLD
        # One request that was lost each time explains all ends. Otherwise the part is
        # what the requests have in common.
        if self._is_one_request(counted):
            return False
        for other in self._held_parts() - {suspect}:
            ends = self.suspects[other].losses
            counted = {p: loss for p, loss in counted.items() if p not in ends}
        is_new = suspect not in self.answered
        least = ENDS_TO_HOLD if is_new else ENDS_TO_HOLD_ANSWERED
        rounds = _count_rounds(counted.values())
        return len(counted) >= least and rounds >= MIN_ROUNDS

    def _release(self, suspect: SuspectId) -> None:
        self.held.discard(suspect)
        self.suspects[suspect].trials = 0
        self.suspects[suspect].trial_until = -math.inf
        self._notify(suspect, False)

    def _notify(self, suspect: SuspectId, held: bool) -> None:
        for listener in self.listeners:
            listener(suspect, held)

    def _drop_old(self, now: float) -> None:
        for suspect, evidence in list(self.suspects.items()):
            kept_s = _kept_s(suspect) if suspect in self.held else EVIDENCE_S
            if any(now - loss.at <= kept_s for loss in evidence.losses.values()):
                continue
            if suspect in self.held:
                self._release(suspect)
            evidence.losses.clear()
            if now - self._answered_at(suspect) > SPREAD_S:
                del self.suspects[suspect]
        self.lost_at = {}
        for suspect, evidence in self.suspects.items():
            for process in evidence.losses:
                requests = self.lost_at.setdefault(process, set())
                if is_digest(suspect):
                    requests.add(suspect)
        self.ended &= self.lost_at.keys()

    # Decisions

    def held_suspect(
        self, suspects: Iterable[SuspectId], now: float
    ) -> tuple[SuspectId, float] | None:
        """Return a suspect that is held back and the seconds until its next trial.

        None means that the request may be sent, or that a trial is due.
        """
        waits = [
            (self.trial_at(suspect, now) - now, suspect)
            for suspect in suspects
            if suspect in self.held
        ]
        wait_s, suspect = max(waits, default=(0.0, SuspectId("")))
        return (suspect, wait_s) if wait_s > 0 else None

    def trial_at(self, suspect: SuspectId, now: float) -> float:
        """Return when a request with a held suspect may be sent as a trial."""
        evidence = self.suspects[suspect]
        if now < evidence.trial_until:
            # The coordinator refuses all requests but the trial.
            return now
        losses = evidence.losses.values()
        latest = max(loss.at for loss in losses)
        if is_digest(suspect):
            if evidence.trials >= len(REQUEST_TRIAL_DELAYS_S):
                return latest + HELD_REQUEST_S
            latest = max(latest, evidence.trial_until - TRIAL_S)
            return latest + REQUEST_TRIAL_DELAYS_S[evidence.trials]
        further = max(0, _count_rounds(losses) - MIN_ROUNDS)
        delay_s = TRIAL_DELAYS_S[min(further, len(TRIAL_DELAYS_S) - 1)]
        return latest + delay_s

    def start_trial(self, suspects: Iterable[SuspectId], now: float) -> bool:
        """Return whether a request may be sent, which makes it the trial if one is due.

        Only the coordinator of a pool may start trials, so that there is one at a time.
        """
        held = [self.suspects[suspect] for suspect in suspects if suspect in self.held]
        if any(now < evidence.trial_until for evidence in held):
            return False
        for evidence in held:
            evidence.trial_until = now + TRIAL_S
        return True

    def record_sent(self, suspects: Iterable[SuspectId], now: float) -> None:
        """Count a trial if a request that is about to be sent has a held suspect."""
        for suspect in suspects:
            if suspect in self.held:
                self.suspects[suspect].trials += 1
                self.suspects[suspect].trial_until = now + TRIAL_S
                self._note_change(suspect)

    # Exchange with other instances

    def rows(self, now: float) -> Rows:
        """Return the evidence of processes that have ended, for other instances.

        A row without a process says when the suspect was last cleared. It comes with
        evidence too, since a part that has been answered needs more of it.
        """
        ranked = sorted(self.suspects.items(), key=lambda item: -len(item[1].losses))
        rows: dict[bool, list[LossRow]] = {False: [], True: []}
        for suspect, evidence in ranked:
            rows[is_digest(suspect)] += self._rows_of(suspect, evidence, now)
        return (*rows[False][:MAX_ROWS], *rows[True][:MAX_ROWS])

    def take_untold(self, now: float) -> tuple[Rows, Rows]:
        """Return the rows that others may not know; those left over come next time.

        Returns
        -------
        repeated : Rows
            Of suspects that may soon be held back, or are tried.
        single : Rows
            Of the others. Most of these are sound requests that were lost together.
        """
        repeated: list[LossRow] = []
        single: list[LossRow] = []
        # The repeated ones do not wait behind a crowd of single ends.
        for suspect in sorted(self.untold, key=self._is_repeated, reverse=True):
            if len(repeated) + len(single) >= MAX_ROWS:
                break
            del self.untold[suspect]
            if suspect in self.suspects:
                rows = self._rows_of(suspect, self.suspects[suspect], now)
                (repeated if self._is_repeated(suspect) else single).extend(rows)
        return tuple(repeated), tuple(single)

    def _is_repeated(self, suspect: SuspectId) -> bool:
        """Return whether a suspect may soon be held back, or is tried.

        Parts of prompts whose processes ended together are not.
        """
        evidence = self.suspects.get(suspect)
        if evidence is None:
            return False
        ends = [loss for p, loss in evidence.losses.items() if p in self.ended]
        rounds = len(ends) if is_digest(suspect) else _count_rounds(ends)
        return evidence.trials > 0 or rounds >= MIN_ROUNDS

    def _rows_of(
        self, suspect: SuspectId, evidence: Evidence, now: float
    ) -> list[LossRow]:
        """Return the rows of one suspect, of processes that have ended."""
        ended = [p for p in evidence.losses if p in self.ended]
        evidence.is_shared = evidence.is_shared or bool(ended)
        if len(ended) == 1 and now - evidence.losses[ended[0]].at > SPREAD_S:
            return []
        rows = []
        is_recent = now - self._answered_at(suspect) <= SPREAD_S
        is_answered = suspect in self.answered
        if (ended and is_answered) or (evidence.is_shared and not ended and is_recent):
            age_ms = _age_ms(self._answered_at(suspect), now)
            row = (suspect, evidence.depth, ProcessId(""), age_ms, age_ms)
            rows.append(LossRow(*row))
        for process in ended:
            loss = evidence.losses[process]
            sent_ms, lost_ms = _age_ms(loss.sent, now), _age_ms(loss.at, now)
            row = (suspect, evidence.depth, process, sent_ms, lost_ms)
            rows.append(LossRow(*row, evidence.trials))
        return rows

    def merge(self, rows: Iterable[LossRow], now: float) -> None:
        """Add the evidence of another instance."""
        for row in rows:
            at = now - row.lost_age_ms / 1000
            if not row.process:
                self._clear(row.suspect, at)
                continue
            loss = Loss(now - row.sent_age_ms / 1000, at)
            self._add_loss(row.suspect, row.depth, row.process, loss)
            evidence = self.suspects.get(row.suspect)
            if evidence is not None:
                evidence.is_shared = True
            if evidence is not None and row.trials > evidence.trials:
                evidence.trials = row.trials
                evidence.trial_until = max(evidence.trial_until, now + TRIAL_S)
                self._note_change(row.suspect)
            self.record_end(row.process)


def _count_rounds(losses: Iterable[Loss]) -> int:
    """Return how often a request was sent and lost after earlier ones were lost."""
    rounds, latest = 0, -math.inf
    for loss in sorted(losses, key=lambda loss: loss.at):
        if loss.sent >= latest:
            rounds += 1
            latest = loss.at
    return rounds


def _kept_s(suspect: SuspectId) -> float:
    """Return for how long evidence against a held suspect is kept."""
    return HELD_REQUEST_S if is_digest(suspect) else HELD_EVIDENCE_S


def _age_ms(time: float, now: float) -> int:
    return max(0, int(1000 * (now - time)))
