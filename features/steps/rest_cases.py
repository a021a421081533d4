"""Test cases for the cost of a fleet without requests, and what it still notices.

On large deployments half of a quiet day's processor time was spent on links, ticks and
watches that had nothing to do.
"""

import trio
from decision_cases import case as decision_case
from routed_cases import case

from savorydyke._peers import JOIN_S, STEADY_S, GrowingView
from savorydyke._timers import Gate, TimerService
from savorydyke_bench._rest import measure

CONTROL_SHARE = 0.016
"""Part of a core that control may take on each node."""


@case("a fleet at rest takes no more of its cores than control may")
async def _(site):
    cost = await measure(24, 60, 22.0)
    rates = cost.rates()
    assert rates[-1][2] < CONTROL_SHARE, rates


@decision_case("ticks come only while they are needed")
def _():
    async def play():
        timers, gate, count = TimerService(), Gate(), 0

        def act():
            nonlocal count
            count += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            nursery.start_soon(timers.run_while, gate, 0.02, act)
            await trio.sleep(0.2)
            assert count == 0 and not timers.heap
            gate.set(True)
            await trio.sleep(0.3)
            assert count > 5, count
            gate.set(False)
            await trio.sleep(0.1)
            assert not timers.heap
            closed = count
            await trio.sleep(0.1)
            assert count == closed
            gate.set(True)
            await trio.sleep(0.1)
            assert count > closed
            nursery.cancel_scope.cancel()

    trio.run(play)


@decision_case("an instance that starts alone opens links at once")
def _():
    view = GrowingView(10.0)
    # The others are listed already, and the list does not grow.
    assert view.is_steady(69, 10.0) and view.is_steady(69, 10.25)
    # Of a fleet that starts, the list grows.
    view = GrowingView(10.0)
    assert view.is_steady(3, 10.0)
    assert not view.is_steady(20, 10.25) and not view.is_steady(20, 10.5)
    assert not view.is_steady(40, 10.6)
    assert view.is_steady(40, 10.6 + STEADY_S)
    # It does not wait for long.
    assert view.is_steady(80, 10.0 + JOIN_S)
