"""Decision cases for requests that are granted before a slot is free."""

import heapq
import json
from collections import deque
from itertools import count

from decision_cases import case
from pace_decisions import SETTINGS, acquire

from savorydyke._gateway_settings import check_gateway_settings
from savorydyke._ids import InstanceId
from savorydyke.scheduling import Inbox, SlotOverlap, is_stale
from savorydyke.scheduling._slot_overlap import WANTED_QUEUE

SLOTS = 6
WORK_S = 0.06
WAY_S = 0.01
"""From the coordinator to the endpoint, and back."""
SECONDS = 20.0


def completed(way_s=WAY_S, lie=0, learns=True):
    """Return how many requests an endpoint ends, and the mean length of its queue.

    More requests are always waiting for it elsewhere.

    Parameters
    ----------
    lie : int
        Added to the number of waiting requests that it reports.
    """
    overlap, order, events = SlotOverlap(SLOTS), count(), []
    in_flight = running = ended = 0
    queued_s = before = 0.0
    queue = deque()

    def at(when, what, *values):
        heapq.heappush(events, (when, next(order), what, values))

    at(0.0, "grant")
    while events:
        now, _, what, values = heapq.heappop(events)
        if now > SECONDS:
            break
        queued_s += len(queue) * (now - before)
        before = now
        if what == "arrive":
            queue.append(now)
        elif what == "end":
            running -= 1
            ended += 1
            at(now + way_s, "report", running, max(0, len(queue) + lie))
        elif what == "report":
            if learns:
                overlap.record_report(*values, in_flight)
            in_flight -= 1
        while queue and running < SLOTS:
            queue.popleft()
            running += 1
            # Runs of different lengths, so that slots do not end together.
            at(now + WORK_S * (0.7 + 0.1 * (ended % 7)), "end")
        while in_flight < SLOTS + overlap.whole():
            in_flight += 1
            at(now + way_s, "arrive")
    return ended, queued_s / SECONDS


@case("slots of an endpoint are not idle while a release and a grant are on their way")
def _():
    possible = SLOTS * SECONDS / WORK_S
    without, _ = completed(learns=False)
    ended, queued = completed()
    assert without < 0.77 * possible, without / possible
    assert ended > 0.93 * possible, ended / possible
    assert queued <= WANTED_QUEUE + 1


@case("an endpoint that is close has no long queue")
def _():
    # Each slot that becomes free takes one, so that one more is there on average.
    _, queued = completed(way_s=0.0005)
    assert queued <= WANTED_QUEUE + 1


@case("wrong load reports cost an endpoint no more than half of its slots in its queue")
def _():
    _, queued = completed(lie=-100)
    assert queued <= SLOTS // 2
    without, _ = completed(learns=False)
    ended, queued = completed(lie=100)
    assert queued == 0 and ended >= 0.99 * without


@case("endpoints get requests beyond their slots only where the settings say so")
def _():
    for text, expected in (("[]", False), ('["base", "pressure"]', True)):
        settings = SETTINGS | {"terms": json.loads(text)}
        read, findings = check_gateway_settings(json.dumps(settings), "s")
        assert not findings.items and read.overlaps_slots is expected


@case("a coordinator that lags refuses the least urgent requests first")
def _():
    # In order of staleness alone, the most valuable requests were refused as well.
    inbox = Inbox()
    for number in range(100):
        urgency = number % 3
        message = acquire(number, urgency=urgency, objective_ms=600 - 150 * urgency)
        inbox.put(InstanceId("f"), message, 0.0, rank=urgency)
    now, refused = 0.0, []
    while (received := inbox.take()) is not None:
        # Of a processor that takes 1 ms for a decision.
        if is_stale(received.message, now):
            refused.append(received.message.urgency)
        else:
            now += 0.001
    assert refused and 0 not in refused, refused
