"""Decision cases for unforeseen errors in tasks that run beside requests.

An error is injected into each kind of task that serves one thing. It may cost that
thing only, and has to be logged and counted.
"""

import logging
import random
from contextlib import contextmanager
from types import SimpleNamespace

import decision_cases
import trio
from decision_cases import case
from trio.testing import MockClock

from savorydyke._background import RESTART_S, BackgroundTasks
from savorydyke._claims import Claims
from savorydyke._daemon import Instance
from savorydyke._dispatch import Dispatcher
from savorydyke._endpoint_links import EndpointLinks
from savorydyke._endpoint_probes import probe_failed_links
from savorydyke._endpoint_ways import Ended
from savorydyke._http1 import Channel, ChannelBrokenError, OutgoingRequest
from savorydyke._ids import ReleaseResult
from savorydyke._late_answers import LateAnswers
from savorydyke._lost_answers import LostAnswers
from savorydyke._manifest import PoolKind
from savorydyke._membership import Membership
from savorydyke._monitor import REPORT_INTERVAL_S, Monitor
from savorydyke._peers import Peers
from savorydyke._quarantine import Quarantine
from savorydyke_standins._routed_site import free_address

LONG_BODY = bytes(1_000_000)


class InjectedError(Exception):
    """An error that no code expects."""


def fail(*args, **kwargs):
    """Raise an error that no code expects."""
    raise InjectedError


async def fail_later(*args, **kwargs):
    """Raise it after a moment."""
    await trio.sleep(0.01)
    raise InjectedError


@contextmanager
def log_lines():
    """Yield a list of the messages logged with a traceback."""
    lines = []

    class Recorder(logging.Handler):
        def emit(self, record):
            if record.exc_info:
                lines.append(record.getMessage())

    handler, logger = Recorder(), logging.getLogger("savorydyke")
    logger.addHandler(handler)
    try:
        yield lines
    finally:
        logger.removeHandler(handler)


def failures_of(play):
    """Run tasks beside a healthy one, which has to outlive their errors.

    Parameters
    ----------
    play : async callable
        Starts tasks with the `BackgroundTasks` that it is given.

    Returns
    -------
    list of str
        The tasks that have failed; each has been logged with its traceback.
    """
    failed = []

    async def run():
        steps = 0

        async def healthy():
            nonlocal steps
            while True:
                await trio.sleep(0.1)
                steps += 1

        async with trio.open_nursery() as nursery:
            nursery.start_soon(healthy)
            await play(BackgroundTasks(nursery, failed.append))
            await trio.sleep(1.05)
            nursery.cancel_scope.cancel()
        assert steps >= 10

    with log_lines() as lines:
        trio.run(run, clock=MockClock(autojump_threshold=0))
    assert len(lines) == len(failed), (lines, failed)
    return failed


class BrokenAnswer:
    """A connection whose answer can be read, and whose closing is recorded."""

    read_until = 0.0
    is_closed = False

    async def read_head(self):
        """Return the head of an answer."""
        return SimpleNamespace(status=503, headers=[(b"X-Savorydyke-Request-Id", b"r")])

    def close(self):
        """Note that the connection is closed."""
        self.is_closed = True


# Guards against a late answer that ends the instance, whatever is wrong with it.
@case("an error in a late answer costs this answer")
def _():
    channel = BrokenAnswer()

    async def play(background):
        late = LateAnswers(SimpleNamespace(observe=fail), background)
        late.take_over(channel, SimpleNamespace(id="e1"), 0.0, "r", 1.0)
        await trio.sleep(0.1)
        assert late.waiting == 0 and channel.is_closed

    assert failures_of(play) == ["LateAnswers._read"]


# Guards against a check of one endpoint that ends the instance or all later checks.
@case("an error in the check of an endpoint costs this check")
def _():
    endpoint = decision_cases.endpoint_of("e", started_ms=1)

    async def play(background):
        ways = SimpleNamespace(has_ended=fail_later)
        lost = LostAnswers(Quarantine(), ways, background)
        for _ in range(2):
            lost.record_lost(endpoint, ("part",), trio.current_time())
            await trio.sleep(0.2)
        assert not lost.checking

    assert failures_of(play) == ["LostAnswers._check"] * 2


# Guards against ends that stay in doubt for good after one failed attempt.
@case("ends stay in doubt for a moment longer after an error")
def _():
    endpoint = decision_cases.endpoint_of("e", started_ms=1)
    attempts = []

    async def has_ended(_):
        return Ended.IN_DOUBT

    async def is_any_reached(_):
        attempts.append(trio.current_time())
        if len(attempts) == 1:
            raise InjectedError
        return True

    async def is_gone(_):
        return True

    async def play(background):
        ways = SimpleNamespace(has_ended=has_ended, is_any_reached=is_any_reached)
        quarantine = Quarantine()
        lost = LostAnswers(quarantine, ways, background)
        lost._is_gone = is_gone
        lost.record_lost(endpoint, ("part",), trio.current_time())
        await trio.sleep(RESTART_S + 1.0)
        assert not lost.in_doubt and quarantine.ended == {endpoint.process}

    assert failures_of(play) == ["LostAnswers._settle"]


# Guards against a probe of one endpoint that ends the instance.
@case("an error in a probe leaves the probes of other endpoints running")
def _():
    probed = []

    async def probe(endpoint):
        probed.append(endpoint.id)
        if endpoint.id == "e0":
            raise InjectedError

    async def play(background):
        links = EndpointLinks()
        endpoints = {f"e{n}": SimpleNamespace(id=f"e{n}") for n in range(2)}
        for name in endpoints:
            links.record_failed(name, trio.current_time())
        ways = SimpleNamespace(links=links, rng=random.Random(1), probe_own_link=probe)
        directory = SimpleNamespace(manifest=SimpleNamespace(endpoints=endpoints))
        background.start_soon(
            probe_failed_links, ways, directory, background.on_failure
        )
        await trio.sleep(1.0)

    failed = failures_of(play)
    assert failed and probed.count("e1") == probed.count("e0") == len(failed) >= 2


# Guards against one peer that ends an instance which has dialled it.
@case("an error on a link costs this link, whoever has opened it")
def _():
    failed = []

    def new_peers(name):
        membership = Membership(name, free_address(), "a", 1)
        peers = Peers(membership, "secret", lambda *_: None, random.Random(1))
        peers.on_failure = failed.append
        return peers

    async def run():
        one, other = new_peers("i1"), new_peers("i2")
        async with trio.open_nursery() as nursery:
            await nursery.start(other.listen, other.membership.address)
            one.seeds = {other.membership.address}
            one._add_link = fail
            nursery.start_soon(one.maintain_links)
            with trio.fail_after(5.0):
                while "Peers._dial" not in failed:
                    await trio.sleep(0.01)
            del one._add_link
            other._add_link = fail
            with trio.fail_after(5.0):
                while "Peers._accept" not in failed:
                    await trio.sleep(0.01)
            del other._add_link
            with trio.fail_after(5.0):
                while not (one.links and other.links):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    with log_lines() as lines:
        trio.run(run)
    assert len(lines) == len(failed) >= 2


# Guards against an answer that is awaited on a connection to which nobody sends.
@case("an error in sending a long body ends the wait for its answer")
def _():
    async def play(background):
        near, _far = trio.socket.socketpair()
        channel = Channel(trio.SocketStream(near))
        send_all, sent = channel._send_all, []

        async def send_head_only(data):
            sent.append(data)
            await (send_all(data) if len(sent) == 1 else fail_later())

        channel._send_all = send_head_only
        request = OutgoingRequest(b"POST", b"/", [], LONG_BODY)
        await channel.send(request, background)
        with trio.fail_after(0.5):
            try:
                await channel.read_head()
            except ChannelBrokenError:
                return
        raise AssertionError("there is an answer")

    assert failures_of(play) == ["Channel._send_body"]


# Guards against a stop that waits for a write which has ended.
@case("an error in a claim's last write costs this write")
def _():
    async def play(background):
        platform = SimpleNamespace(read=fail_later)
        membership = SimpleNamespace(id="i1", incarnation=1)
        claims = Claims(platform, membership, background, random.Random(1))
        claims.record_lost_later("key", "digest", "attempt")
        await trio.sleep(0.001)
        assert claims.pending_writes == 1
        await trio.sleep(0.5)
        assert claims.pending_writes == 0

    assert failures_of(play) == ["Claims._write_final"]


# Guards against a cancellation at one endpoint that ends the instance.
@case("an error in cancelling a request at its endpoint costs this cancellation")
def _():
    endpoint = SimpleNamespace(id="e1", resumes=True)
    client = SimpleNamespace(cancel=fail_later)
    manifest = SimpleNamespace(endpoints={"e1": endpoint})

    async def play(background):
        instance = SimpleNamespace(
            configuration=SimpleNamespace(manifest=manifest), endpoint_client=client
        )
        cancel = Instance.cancel_orphan(instance, background)
        cancel("e1", SimpleNamespace(key="crew/r1", team="crew"))
        grants = SimpleNamespace(release=lambda *_: None)
        dispatcher = Dispatcher(grants, None, client, background)
        head = SimpleNamespace(has_caller_id=False)
        call = SimpleNamespace(
            head=head, stream_id="s", demand=SimpleNamespace(key="k")
        )
        dispatcher.release(
            SimpleNamespace(
                result=ReleaseResult.CANCELLED,
                sent=True,
                endpoint=endpoint,
                call=call,
                output_tokens=0,
                progress=SimpleNamespace(decode_s=lambda: 0.0),
            )
        )

    assert failures_of(play) == ["fail_later"] * 2


# Guards against one report that ends the instance, or the reports of all endpoints.
@case("an error in reading an endpoint's report costs this report")
def _():
    endpoints = {n: SimpleNamespace(id=n, pool="p") for n in ("e1", "e2")}
    pools = {"p": SimpleNamespace(kind=PoolKind.SERVICE)}
    polled = []

    async def get_json(endpoint, target):
        polled.append(endpoint.id)
        if endpoint.id == "e1":
            raise InjectedError
        return None

    async def play(background):
        host = SimpleNamespace(hosted={"p": None}, awaits_reports=trio.Event())
        monitor = Monitor(
            host,
            None,
            SimpleNamespace(get_json=get_json),
            None,
            None,
            None,
            lambda: SimpleNamespace(endpoints=endpoints, pools=pools),
            on_failure=background.on_failure,
        )
        timers = decision_cases.TimerService(random.Random(1))
        background.start_soon(timers.run)
        background.start_soon(monitor.poll_endpoints, timers)
        await trio.sleep(5 * REPORT_INTERVAL_S)

    failed = failures_of(play)
    assert len(failed) == polled.count("e1") >= 2
    assert polled.count("e2") == polled.count("e1")


# Guards against a service that is missing for good after one error.
@case("a service is started again after an error until it returns")
def _():
    starts = []

    async def serve():
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise InjectedError

    async def play(background):
        background.keep_running(serve)
        await trio.sleep(4 * RESTART_S)

    assert len(failures_of(play)) == 2
    assert len(starts) == 3 and starts[1] - starts[0] >= RESTART_S


# Guards against a stop that fails since a task was cancelled while it failed.
@case("an error beside a cancellation does not end the others")
def _():
    async def play(background):
        async def cancelled():
            try:
                await trio.sleep_forever()
            finally:
                raise InjectedError

        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                BackgroundTasks(nursery, background.on_failure).start_soon(cancelled)
                await trio.sleep(0.01)
                scope.cancel()

    (failed,) = failures_of(play)
    assert failed.endswith("cancelled")
