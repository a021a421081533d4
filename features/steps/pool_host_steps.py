"""Steps about frontends and coordinators, with fake links and simulated time."""

import json
import random

import trio
import trio.testing
from behave import given, then, when
from pool_scheduler_steps import manifest_value

import savorydyke
from savorydyke._endpoint_states import EndpointStates
from savorydyke._grant_client import Demand, GrantClient, Granted
from savorydyke._ids import Reason, ReleaseResult
from savorydyke._membership import Membership
from savorydyke._messages import Acquire, Grant, MemberRow, Refuse, Register, Release
from savorydyke._pool_host import PoolHost
from savorydyke._timers import TimerService

KEY = "mid/r1"


def run_in_simulated_time(function):
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


def make_pool_host(membership):
    manifest = savorydyke.read_manifest(json.dumps(manifest_value([("e1", 1, 1000)])))
    return PoolHost(
        membership,
        EndpointStates(),
        lambda: manifest,
        lambda frontend, answer: None,
        lambda endpoint, item: None,
        5.0,
        random.Random(1),
    )


@given("a pool scheduler whose coordinator took over two minutes ago")
def old_coordinator(context):
    async def prepare(after):
        membership = Membership("me", "a:1", "dc", 1)
        pool_host = make_pool_host(membership)
        pool_host.handle("me", Register("p", True, ()))
        scheduler = pool_host.hosted["p"].scheduler
        for _ in range(1200):
            await trio.sleep(0.1)
            pool_host._check_stall(trio.current_time())
            pool_host._tick("p", pool_host.hosted["p"], trio.current_time())
        assert not scheduler._is_warming_up(trio.current_time())
        await after(pool_host, membership)
        return scheduler._is_warming_up(trio.current_time())

    context.prepare = prepare


@when("its process was paused for 3 s")
def paused(context):
    async def after(pool_host, membership):
        await trio.sleep(3.0)
        pool_host.handle("me", Register("p", True, ()))

    context.is_warming_up = run_in_simulated_time(lambda: context.prepare(after))


@when("another instance is the coordinator for a while")
def other_coordinator(context):
    async def after(pool_host, membership):
        membership.leaving = True
        now = trio.current_time()
        membership.merge_row(MemberRow("other", "b:1", "dc", 1, 1, 0, False), now)
        membership.members["other"].linked = True
        membership.update(now)
        assert not membership.is_coordinator("p")
        pool_host._tick("p", pool_host.hosted["p"], now)

    context.is_warming_up = run_in_simulated_time(lambda: context.prepare(after))


@then("the scheduler is in its warm-up")
def is_warming_up(context):
    assert context.is_warming_up


class FakeFrontend:
    """The grant client of a frontend whose messages are recorded."""

    def __init__(self):
        self.membership = Membership("frontend", "a:1", "dc", 1)
        self.sent = []
        self.coordinator = "h1"
        self.membership.coordinator = lambda pool: self.coordinator
        self.grant_client = GrantClient(
            self.membership,
            lambda peer, message: self.sent.append((peer, message)),
            lambda peer: None,
            lambda: ["p"],
        )

    async def acquire(self, results):
        demand = Demand(
            KEY,
            "p",
            "mid",
            "m",
            10,
            10,
            (),
            trio.current_time() + 5.0,
            has_caller_id=True,
        )
        results.append(await self.grant_client.acquire(demand))

    def acquired(self):
        return [m for _, m in self.sent if isinstance(m, Acquire)]

    def grant(self, coordinator, endpoint="e1"):
        message = Grant(KEY, self.acquired()[-1].attempt, endpoint, False, ())
        self.grant_client.handle(coordinator, message)

    def take_over(self):
        self.coordinator = "h2"
        self.grant_client.follow_coordinators()

    def released(self):
        return [(p, m) for p, m in self.sent if isinstance(m, Release)]


@given("a frontend whose request with a caller's id waits at its coordinator")
def waiting_frontend(context):
    def run(act):
        async def main():
            frontend, results = FakeFrontend(), []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(frontend.acquire, results)
                await trio.testing.wait_all_tasks_blocked()
                await act(frontend, nursery)
            return frontend, results

        return run_in_simulated_time(main)

    context.run_frontend = run


@when("another instance takes over and the earlier coordinator refuses the request")
def earlier_refuses(context):
    async def act(frontend, nursery):
        frontend.take_over()
        attempt = frontend.acquired()[-1].attempt
        refusal = Refuse(KEY, attempt, Reason.DEADLINE, "late", -1, False)
        frontend.grant_client.handle("h1", refusal)
        await trio.testing.wait_all_tasks_blocked()
        assert KEY in frontend.grant_client.pending
        frontend.grant("h2")

    context.frontend, context.results = context.run_frontend(act)


@then("the frontend still waits and uses the grant of the new coordinator")
def takes_next(context):
    (result,) = context.results
    assert isinstance(result, Granted) and result.coordinator == "h2"


@when("no coordinator answers until the deadline")
def no_answer(context):
    async def act(frontend, nursery):
        await trio.sleep(6.0)

    context.frontend, context.results = context.run_frontend(act)


@then("it is refused for its deadline and may have run")
def refused_unknown(context):
    (result,) = context.results
    assert result.reason is Reason.DEADLINE and result.may_have_run


@when("two coordinators grant it at different endpoints")
def two_grants(context):
    async def act(frontend, nursery):
        frontend.grant("h1", "e1")
        frontend.grant("h2", "e2")

    context.frontend, context.results = context.run_frontend(act)


@then("the first grant is used and the other one released as not sent")
def other_released(context):
    (result,) = context.results
    assert result.endpoint == "e1"
    ((peer, release),) = context.frontend.released()
    assert (peer, release.endpoint, release.result) == (
        "h2",
        "e2",
        ReleaseResult.NOT_SENT,
    )


@when("it is granted and another instance takes over before it ends")
def takeover_while_running(context):
    async def act(frontend, nursery):
        frontend.grant("h1")
        await trio.testing.wait_all_tasks_blocked()
        frontend.take_over()
        registers = [
            m for p, m in frontend.sent if p == "h2" and isinstance(m, Register)
        ]
        assert [row.key for row in registers[-1].running] == [KEY]
        frontend.grant_client.release(KEY, ReleaseResult.COMPLETE, 10, 1.0)

    context.frontend, context.results = context.run_frontend(act)


@then("both coordinators are notified of its end")
def both_notified(context):
    assert {peer for peer, _ in context.frontend.released()} == {"h1", "h2"}


@when("its caller disconnects just before the grant arrives")
def disconnects_at_grant(context):
    async def act(frontend, nursery):
        nursery.cancel_scope.cancel()
        frontend.grant("h1")

    context.frontend, context.results = context.run_frontend(act)


@then("the grant is released as not sent")
def released_not_sent(context):
    assert not context.results
    ((peer, release),) = context.frontend.released()
    assert (peer, release.result) == ("h1", ReleaseResult.NOT_SENT)
    assert not context.frontend.grant_client.in_flight


@when("its caller disconnects and the frontend has nothing in flight any more")
def nothing_in_flight(context):
    async def act(frontend, nursery):
        nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            timers = TimerService(random.Random(1))
            async with trio.open_nursery() as service:
                service.start_soon(timers.run)
                service.start_soon(frontend.grant_client.reconcile, timers)
                await trio.sleep(10)
                service.cancel_scope.cancel()

    context.frontend, context.results = context.run_frontend(act)


@then("the frontend still sends an empty registration every few seconds")
def registers_empty(context):
    found = [m for _, m in context.frontend.sent if isinstance(m, Register)]
    assert len(found) >= 3 and not any(message.running for message in found)
