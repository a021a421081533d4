"""Checkers of recorded histories, one for each invariant.

A checker returns a message for each violation. It reads only the history, never
the state of an instance.
"""

from collections import Counter
from collections.abc import Callable

from savorydyke_bench._client import CallerRecord, Ended, prompt_bytes
from savorydyke_bench._history import History
from savorydyke_standins._engine import expected_text

CONFIGURATION_LIMIT_S = 4.0
"""Time in which an accepted revision must be in force at every instance."""
LEAVING_LIMIT_S = 4.0
"""Time after which a leaving endpoint must get no new requests."""
MEMBERSHIP_RECOVERY_S = 6.0
"""Time after a membership fault in which a pool may have two coordinators."""
MEMBERSHIP_FAULTS = ("kill", "freeze", "cut-peers", "stop")

Checker = Callable[[History], list[str]]


def check_dispatched_once(history: History) -> list[str]:
    """Each request id is executed at most once over all endpoints."""
    counts = Counter(execution.request_id for execution in history.executions)
    return [
        f"{name} was executed {count} times"
        for name, count in counts.items()
        if count > 1
    ]


def check_tier_order(history: History) -> list[str]:
    """No request is refused as overloaded in favour of one of a lower tier.

    A violation is a refusal while a request of a lower tier is queued in the same
    pool and dispatched later. Refusals close to membership faults are not checked,
    since a pool may have two coordinators then.
    """
    dispatched = {execution.caller_id: execution.at for execution in history.executions}
    overloaded = [
        r
        for r in history.requests
        if r.ended is Ended.REFUSED and r.reason == "overloaded"
    ]
    violations = []
    for high in overloaded:
        refused_at = high.sent + high.total_s
        if _overlaps_membership_fault(history, high.sent, refused_at):
            continue
        for low in history.requests:
            if low.pool != high.pool or low.tier == high.tier:
                continue
            if history.tier_ranks[low.tier] < history.tier_ranks[high.tier]:
                continue
            at = dispatched.get(low.request_id)
            if at is not None and low.sent < high.sent and at > refused_at + 0.1:
                violations.append(
                    f"{high.request_id} ({high.tier}) was refused as overloaded while "
                    f"{low.request_id} ({low.tier}) was queued"
                )
    return violations


def _overlaps_membership_fault(history: History, start: float, end: float) -> bool:
    return any(
        fault.start - 1 < end and start < fault.end + MEMBERSHIP_RECOVERY_S
        for fault in history.faults_of(*MEMBERSHIP_FAULTS)
    )


def check_complete(history: History) -> list[str]:
    """Each answer that ended as complete is the full answer to its own request."""
    violations = []
    for record in history.requests:
        if record.ended is Ended.COMPLETE and not is_own_complete_answer(record):
            violations.append(f"{record.request_id} got a wrong or truncated answer")
    return violations


def is_own_complete_answer(record: CallerRecord) -> bool:
    """Return whether an answer is the full expected answer to its request."""
    if record.idempotency_key or not record.output_tokens:
        return record.prompt in record.body
    expected = expected_text(prompt_bytes(record.prompt), record.output_tokens)
    return record.text == expected


def check_not_run(history: History) -> list[str]:
    """No request that was refused as not run had been executed by then.

    A request id that is sent again after the refusal may be executed later.
    """
    started_at = {execution.caller_id: execution.at for execution in history.executions}
    return [
        f"{record.request_id} was executed, then refused as not run ({record.reason})"
        for record in history.requests
        if record.ended is Ended.REFUSED
        and record.not_run
        and started_at.get(record.request_id, float("inf"))
        <= record.sent + record.total_s
    ]


def check_once_per_key(history: History) -> list[str]:
    """Each idempotency key is executed at most once and gets an answer in the end.

    If an instance was killed, a key may keep an unknown outcome, since the instance
    may or may not have sent the request. In all other runs it must complete.
    """
    counts = Counter(
        execution.idempotency_key
        for execution in history.executions
        if execution.idempotency_key
    )
    violations = [
        f"key {key} was executed {count} times"
        for key, count in counts.items()
        if count > 1
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
    """No endpoint gets new requests later than `LEAVING_LIMIT_S` after its notice."""
    violations = []
    for fault in history.faults_of("leaving"):
        for execution in history.executions:
            if execution.endpoint != fault.target:
                continue
            if fault.start + LEAVING_LIMIT_S < execution.at < fault.end:
                elapsed_s = execution.at - fault.start
                violations.append(
                    f"{execution.endpoint} got {execution.request_id} "
                    f"{elapsed_s:.1f} s after the notice"
                )
    return violations


def check_graceful_stop(history: History) -> list[str]:
    """No answer is interrupted by a graceful stop, and the process exits with 0."""
    violations = [
        f"{name} exited with {status} after a graceful stop"
        for name, status in history.exit_statuses.items()
        if status != 0
    ]
    for fault in history.faults_of("stop"):
        for record in history.requests:
            for disconnect in record.disconnects:
                is_here = disconnect.instance == fault.target
                if (
                    is_here
                    and disconnect.sent < fault.start < disconnect.at < fault.end + 1
                ):
                    violations.append(
                        f"{record.request_id} was interrupted by a graceful stop"
                    )
    return violations


def check_configuration(history: History) -> list[str]:
    """Each revision is accepted once, in force in time everywhere, and not reverted."""
    violations = []
    accepted = [a for a in history.updates if a.result == "accepted"]
    for sample in history.statuses:
        if not sample.ready:
            continue
        for update in accepted:
            elapsed_s = sample.requested_at - update.at
            if elapsed_s > CONFIGURATION_LIMIT_S and sample.revision < update.revision:
                violations.append(
                    f"{sample.instance} was ready at revision {sample.revision}, "
                    f"{elapsed_s:.1f} s after {update.revision} was accepted"
                )
                break
    revisions = Counter(update.revision for update in accepted)
    violations += [
        f"revision {revision} was accepted {count} times"
        for revision, count in revisions.items()
        if count > 1
    ]
    return violations + _check_approvals(history)


def _check_approvals(history: History) -> list[str]:
    """No request of a team is executed long after its approval was withdrawn.

    The limit is `CONFIGURATION_LIMIT_S`.
    """
    violations = []
    accepted = sorted(
        (a for a in history.updates if a.result == "accepted"),
        key=lambda a: a.revision,
    )
    if any(a.result == "undecided" for a in history.updates):
        # An update of unknown result may have been in force between two accepted
        # ones, so only the last accepted one is checked.
        accepted = accepted[-1:]
    for update, following in zip(accepted, [*accepted[1:], None], strict=True):
        until = following.at if following else float("inf")
        for execution in history.executions:
            is_after_limit = update.at + CONFIGURATION_LIMIT_S < execution.at < until
            if is_after_limit and execution.team not in update.approved:
                violations.append(
                    f"{execution.request_id} was executed "
                    f"{execution.at - update.at:.1f} s after the approval was withdrawn"
                )
    return violations


def check_answered(history: History) -> list[str]:
    """Each request gets a final answer or the end of its connection in time."""
    if not history.timed_out:
        return []
    return [
        f"{record.request_id} ({record.pool}, {record.team}) at {record.instance} "
        f"had no final answer"
        for record in history.requests
        if not record.total_s
    ] or ["a fault or a retry did not end in time"]


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
    """Return the violations found by each checker."""
    return {point: checker(history) for point, checker in CHECKERS.items()}
