"""Checkers of recorded histories, one for each point that must always hold.

A checker returns a sentence for each violation and nothing else; it reads only
the history, never the state of an instance.
"""

from collections import Counter
from collections.abc import Callable

from savorydyke_bench._client import CallerRecord, Ended, prompt_bytes
from savorydyke_bench._history import History
from savorydyke_standins._engine import expected_text

IN_FORCE_S = 4.0
LEAVING_S = 4.0
UNSETTLED_S = 6.0
"""Time after a fault of membership in which a pool may have two homes."""
MEMBERSHIP_FAULTS = ("kill", "freeze", "cut-peers", "stop")

Checker = Callable[[History], list[str]]


def check_dispatched_once(history: History) -> list[str]:
    """Each request id is in the records of all endpoints at most once."""
    counts = Counter(run.request_id for run in history.runs)
    return [f"{name} ran {count} times" for name, count in counts.items() if count > 1]


def check_tier_order(history: History) -> list[str]:
    """No request is shed while a lower tier's waits and is dispatched later.

    Both must have waited at the same time in the same pool, away from faults
    that may give a pool two homes.
    """
    dispatched = {run.caller_id: run.at for run in history.runs}
    shed = [
        r
        for r in history.requests
        if r.ended is Ended.REFUSED and r.reason == "overloaded"
    ]
    violations = []
    for high in shed:
        refused_at = high.sent + high.total_s
        if _is_unsettled(history, high.sent, refused_at):
            continue
        for low in history.requests:
            if low.pool != high.pool or low.tier == high.tier:
                continue
            if history.ranks[low.tier] < history.ranks[high.tier]:
                continue
            at = dispatched.get(low.request_id)
            if at is not None and low.sent < high.sent and at > refused_at + 0.1:
                violations.append(
                    f"{high.request_id} ({high.tier}) was shed while "
                    f"{low.request_id} ({low.tier}) waited"
                )
    return violations


def _is_unsettled(history: History, start: float, end: float) -> bool:
    return any(
        fault.start - 1 < end and start < fault.end + UNSETTLED_S
        for fault in history.faults_of(*MEMBERSHIP_FAULTS)
    )


def check_complete(history: History) -> list[str]:
    """Each answer that a caller took for complete is the whole of its own."""
    violations = []
    for record in history.requests:
        if record.ended is Ended.COMPLETE and not is_own_answer(record):
            violations.append(f"{record.request_id} got a wrong or cut answer")
    return violations


def is_own_answer(record: CallerRecord) -> bool:
    """Return whether an answer is the whole of what was asked for."""
    if record.idempotency_key or not record.output_tokens:
        return record.prompt in record.body
    wanted = expected_text(prompt_bytes(record.prompt), record.output_tokens)
    return record.text == wanted


def check_not_run(history: History) -> list[str]:
    """No request that was refused as not run had run by then.

    A request id that is sent again after the refusal may run then.
    """
    ran = {run.caller_id: run.at for run in history.runs}
    return [
        f"{record.request_id} was refused as not run ({record.reason}) and ran"
        for record in history.requests
        if record.ended is Ended.REFUSED
        and record.not_run
        and ran.get(record.request_id, float("inf")) <= record.sent + record.total_s
    ]


def check_once_per_key(history: History) -> list[str]:
    """Each idempotency key ran at most once, and is locked for no one.

    A key may stay undecided if an instance was killed, since then nobody knows
    whether it had sent the request. In all other runs it must end complete.
    """
    counts = Counter(run.idempotency_key for run in history.runs if run.idempotency_key)
    violations = [
        f"key {key} ran {count} times" for key, count in counts.items() if count > 1
    ]
    if history.faults_of("kill"):
        return violations
    by_key: dict[str, list[CallerRecord]] = {}
    for record in history.requests:
        if record.idempotency_key:
            by_key.setdefault(record.idempotency_key, []).append(record)
    for key, records in by_key.items():
        if not any(record.ended is Ended.COMPLETE for record in records):
            last = records[-1]
            violations.append(f"key {key} never completed: {last.status} {last.reason}")
    return violations


def check_leaving(history: History) -> list[str]:
    """Nothing new goes to a leaving endpoint once its notice is seconds old."""
    violations = []
    for fault in history.faults_of("leaving"):
        for run in history.runs:
            if run.endpoint != fault.target:
                continue
            if fault.start + LEAVING_S < run.at < fault.end:
                late = run.at - fault.start
                violations.append(
                    f"{run.endpoint} got {run.request_id} {late:.1f} s after the notice"
                )
    return violations


def check_graceful_stop(history: History) -> list[str]:
    """Nothing is cut off by an instance that stops, and it exits with 0."""
    violations = [
        f"{name} exited with {status} after a graceful stop"
        for name, status in history.exits.items()
        if status != 0
    ]
    for fault in history.faults_of("stop"):
        for record in history.requests:
            for broken in record.disconnects:
                is_here = broken.instance == fault.target
                if is_here and broken.sent < fault.start < broken.at < fault.end + 1:
                    violations.append(f"{record.request_id} was cut by a graceful stop")
    return violations


def check_configuration(history: History) -> list[str]:
    """Every accepted revision is in force everywhere in time and never reverts."""
    violations = []
    accepted = [a for a in history.applies if a.result == "accepted"]
    for sample in history.statuses:
        if not sample.ready:
            continue
        for apply in accepted:
            late = sample.asked - apply.at
            if late > IN_FORCE_S and sample.revision < apply.revision:
                violations.append(
                    f"{sample.instance} took work at revision {sample.revision}, "
                    f"{late:.1f} s after {apply.revision} was accepted"
                )
                break
    revisions = Counter(apply.revision for apply in accepted)
    violations += [
        f"revision {revision} was accepted {count} times"
        for revision, count in revisions.items()
        if count > 1
    ]
    return violations + _check_approvals(history)


def _check_approvals(history: History) -> list[str]:
    """Nothing of a team is sent once its approval is withdrawn for a while."""
    violations = []
    accepted = sorted(
        (a for a in history.applies if a.result == "accepted"),
        key=lambda a: a.revision,
    )
    if any(a.result == "undecided" for a in history.applies):
        # What an undecided application approved may be in force between.
        accepted = accepted[-1:]
    for apply, following in zip(accepted, [*accepted[1:], None], strict=True):
        until = following.at if following else float("inf")
        for run in history.runs:
            is_late = apply.at + IN_FORCE_S < run.at < until
            if is_late and run.team not in apply.approved:
                violations.append(
                    f"{run.request_id} ran {run.at - apply.at:.1f} s after the "
                    f"approval was withdrawn"
                )
    return violations


def check_answered(history: History) -> list[str]:
    """Each request gets a final answer, or its connection ends, in time."""
    if not history.hung:
        return []
    return [
        f"{record.request_id} ({record.pool}, {record.team}) at {record.instance} "
        f"had no final answer"
        for record in history.requests
        if not record.total_s
    ] or ["a fault or a retry did not end"]


CHECKERS: dict[str, Checker] = {
    "0 final answer": check_answered,
    "1 dispatched at most once": check_dispatched_once,
    "2 tier order": check_tier_order,
    "3 complete own answer": check_complete,
    "4 not run is true": check_not_run,
    "5 at most once per key": check_once_per_key,
    "6 leaving endpoint": check_leaving,
    "7 graceful stop": check_graceful_stop,
    "8 configuration": check_configuration,
}


def check_all(history: History) -> dict[str, list[str]]:
    """Return the violations of each point."""
    return {point: checker(history) for point, checker in CHECKERS.items()}
