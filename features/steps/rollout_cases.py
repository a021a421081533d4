"""Test cases of roll-outs with real instances, and endpoints of two versions."""

import base64
import json
import random
import signal

import trio
from routed_cases import StreamTraffic, versioned
from upgrade_cases import ask_at, names_by_score, wait_linked

from savorydyke_standins._store import Mode

WITHIN_S = 8.0
PAUSE_S = 0.12
"""Pause of each caller; twelve callers make about 60 requests a second."""
CALLERS = 12
SLACK = 50
CASES = {}


def rollout_case(name):
    """Register a case under the name that the feature uses."""

    def register(function):
        CASES[name] = function
        return function

    return register


def working(failing=0.0, slower=1.0):
    """Return a script that fails a part of its requests, or takes longer."""
    rng = random.Random(1)

    async def script(exchange):
        await trio.sleep(0.03 * slower)
        if rng.random() < failing:
            await exchange.send_complete(500, b"failed")
        elif exchange.request.target.startswith(b"/digest"):
            last = int(exchange.request.headers.get(b"last-event-id", b"0"))
            await exchange.stream_events(last + 1, 5, pause_s=0.01 * slower)
        else:
            await exchange.send_complete()

    return script


class Rollout:
    """A roll-out of the pool `desk`, with traffic.

    Attributes
    ----------
    states : list of tuple
        States that the status has shown, and when.
    """

    def __init__(self, site):
        self.site = site
        self.states = []
        self.refused = []
        self.answered = 0
        self.ordered_at = 0.0

    async def start(self, script, endpoints=3):
        """Start endpoints of both versions, and instances, first the coordinator."""
        for number in range(3):
            await self.site.endpoint(f"v1-{number}", "desk", working())
        for name in names_by_score("desk"):
            await self.site.daemon(name)
        await wait_linked(self.site)
        self.order()
        for number in range(endpoints):
            name = f"v2-{number}"
            await self.site.endpoint(name, "desk", script, version="v2")

    def order(self, to="v2"):
        """Order the roll-out."""
        value = {"service": "desk", "to": to, "within_s": WITHIN_S}
        self.site.store.put("op/rollout/desk", value)
        self.ordered_at = trio.current_time()

    def read(self, key):
        """Return a value in the store, or None."""
        item = self.site.store.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item.value))

    def state(self):
        """Return the state that the system reports, empty for none."""
        found = self.read("status/rollout/desk")
        return found["state"] if found else ""

    def stage(self):
        """Return the stage of our record, empty for none."""
        found = self.read("savorydyke/rollouts/desk")
        return found["stage"] if found else ""

    def received(self, version):
        """Return the requests that the endpoints of a version have received."""
        endpoints = self.site.endpoints.items()
        found = [e.received_requests for n, e in endpoints if n.startswith(version)]
        return sorted((r for rows in found for r in rows), key=lambda r: r.at)

    async def call(self, number):
        """Send requests one after the other, until cancelled."""
        paths = ("/lookup/1", "/claim/1", "/open/1")
        while True:
            await trio.sleep(PAUSE_S)
            daemon = self.site.daemons[number % len(self.site.daemons)]
            path = paths[number % len(paths)]
            try:
                answer = await ask_at(self.site, daemon, path)
            except (OSError, trio.BrokenResourceError, trio.TooSlowError):
                continue
            self.answered += answer.status == 200
            # A busy machine makes instances refuse requests, with or without orders.
            if answer.status == 503 and b"instance is overloaded" not in answer.body:
                self.refused.append(answer.body)

    async def watch(self):
        """Record the states that the status shows, until cancelled."""
        while True:
            if self.state() and (not self.states or self.states[-1][0] != self.state()):
                self.states.append((self.state(), trio.current_time()))
            await trio.sleep(0.02)

    async def play(self, event=None):
        """Play the traffic until the deadline, with an event."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.watch)
            for number in range(CALLERS):
                nursery.start_soon(self.call, number)
            if event is not None:
                await event()
            await trio.sleep_until(self.ordered_at + WITHIN_S - 0.5)
            nursery.cancel_scope.cancel()
        shown = [state for state, _ in self.states]
        assert shown in (["running", "complete"], ["running", "reverted"]), self.states

    def check_complete(self):
        """Assert that the new version has everything, and the old one nothing."""
        assert self.state() == "complete", (self.states, self.read_record())
        at = self.states[-1][1]
        late = [r for r in self.received("v1") if r.at > at]
        assert not late, late[:2]
        assert not self.refused, self.refused[:2]
        assert self.answered > 100, self.answered

    def check_reverted(self):
        """Assert that the new version had no more than it may have."""
        assert self.state() == "reverted", (self.states, self.read_record())
        new, old = self.received("v2"), self.received("v1")
        assert len(new) <= 0.1 * (len(new) + len(old)) + SLACK, (len(new), len(old))
        assert len(new) >= 5, len(new)
        at = self.states[-1][1]
        assert not [r for r in new if r.at > at], at

    def read_record(self):
        """Return our record."""
        return self.read("savorydyke/rollouts/desk")

    async def reach(self, stage, timeout_s=WITHIN_S):
        """Wait until the record has a stage."""
        await self.site.wait_until(lambda: self.stage() == stage, timeout_s)


@rollout_case("a good version gets everything in time, the old one nothing")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())
    await rollout.play()
    rollout.check_complete()


@rollout_case("a version that fails is reverted")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working(failing=0.5))
    await rollout.play()
    rollout.check_reverted()


@rollout_case("a version that is slow is reverted")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working(slower=30.0))
    await rollout.play()
    rollout.check_reverted()


@rollout_case("a version that no endpoint runs is reverted at the deadline")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working(), endpoints=0)
    await rollout.play()
    assert rollout.state() == "reverted", rollout.states
    assert rollout.read_record()["why"] == "no endpoint ran the version"


async def kill_coordinator(rollout, stage):
    await rollout.reach(stage)
    await trio.sleep(0.5)
    coordinator = rollout.site.daemons.pop(0)
    coordinator.process.kill()


@rollout_case("a roll-out goes on when its coordinator is killed in the trial")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())
    await rollout.play(lambda: kill_coordinator(rollout, "trial"))
    # Requests of the instance that was killed are lost.
    rollout.refused.clear()
    rollout.check_complete()


@rollout_case("a bad version is reverted when its coordinator is killed in the trial")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working(failing=0.15))
    await rollout.play(lambda: kill_coordinator(rollout, "trial"))
    rollout.check_reverted()


@rollout_case("a roll-out goes on when its coordinator is killed in the drain")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())
    await rollout.play(lambda: kill_coordinator(rollout, "drain"))
    rollout.refused.clear()
    rollout.check_complete()


@rollout_case("a roll-out goes on when the store is restored from a copy")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())

    async def restore():
        await rollout.reach("trial")
        copy = site.store.back_up()
        await rollout.reach("drain")
        site.store.restore(copy)
        # The operator writes again after a restore, when instances have read it.
        await trio.sleep(0.5)
        site.configure()
        await rollout.reach("drain", 3.0)

    await rollout.play(restore)
    rollout.check_complete()


@rollout_case("a version whose order is withdrawn is reverted")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())

    async def withdraw():
        await rollout.reach("trial")
        await trio.sleep(1.0)
        site.store.remove("op/rollout/desk")
        await site.wait_until(lambda: rollout.state() == "reverted", 2.0)

    await rollout.play(withdraw)
    rollout.check_reverted()
    assert rollout.read_record()["why"] == "the order was withdrawn"


@rollout_case("a roll-out goes on when the store is out for a while")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())

    async def outage():
        await rollout.reach("trial")
        await trio.sleep(1.0)
        site.store.mode = Mode.SILENT
        await trio.sleep(1.5)
        site.store.mode = Mode.OK

    await rollout.play(outage)
    rollout.check_complete()


@rollout_case("a roll-out goes on when its coordinator stands still")
async def _(site):
    rollout = Rollout(site)
    await rollout.start(working())

    async def pause():
        await rollout.reach("trial")
        await trio.sleep(0.5)
        process = site.daemons[0].process
        process.send_signal(signal.SIGSTOP)
        await rollout.reach("complete")
        process.send_signal(signal.SIGCONT)
        await trio.sleep(1.0)

    await rollout.play(pause)
    rollout.refused.clear()
    rollout.check_complete()
    assert rollout.stage() == "complete"


@rollout_case("streams go on at the version that began them")
async def _(site):
    for version in ("v1", "v2"):
        for number in range(2):
            script = versioned(version)
            name = f"{version}-{number}"
            await site.endpoint(name, "engines", script, version=version)
    value = {"service": "engines", "to": "v2", "within_s": WITHIN_S}
    site.store.put("op/rollout/engines", value)
    for number in range(2):
        await site.daemon(f"instance-{number}")
    traffic = StreamTraffic(site)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(traffic.run, 30)
        await trio.sleep(2.0)
        site.endpoints["v1-0"].crash()
    mixed = [versions for versions, _, _ in traffic.streams if len(versions) > 1]
    assert not mixed, mixed
    assert any(taken_up for _, _, taken_up in traffic.streams)
