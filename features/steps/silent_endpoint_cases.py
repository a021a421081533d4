"""Test cases for endpoints that are silent for a while, and for good.

A sound endpoint that is silent for a second works on what it has. A stream may go on
elsewhere only if it does not, or notices that it was given up.
"""

import trio
from decision_cases import case as decision
from decision_cases import endpoint_of
from routed_cases import BODY, case, is_whole_stream
from trio.testing import MockClock

from savorydyke import _silent_endpoints
from savorydyke._http1 import ChannelBrokenError
from savorydyke._silent_endpoints import EndpointActivity
from savorydyke_standins._routed_endpoint import EVENTS, chunk, event

SECOND_OR_SO_S = 1.2
LATEST_S = 2.8
"""Time in which a stream goes on elsewhere if its endpoint stays silent."""
SOON_S = 1.2
"""The same if the endpoint serves others meanwhile."""


def pausing_for(seconds):
    """Return a script that pauses after the first event."""

    async def script(exchange):
        kind = (b"Content-Type", b"text/event-stream")
        head = exchange.response_head(200, kind, (b"Transfer-Encoding", b"chunked"))
        await exchange.send(head + chunk(event(1)))
        await trio.sleep(seconds)
        for number in range(2, EVENTS + 1):
            await exchange.send(chunk(event(number)))
        await exchange.send(b"0\r\n\r\n")

    return script


def hanging_for(seconds):
    """Return a script that answers after a time."""

    async def script(exchange):
        await trio.sleep(seconds)
        await exchange.stream_events(1, EVENTS)

    return script


async def busy(exchange):
    """Stream an event every 50 ms for six seconds."""
    await exchange.stream_events(1, 120, pause_s=0.05)


async def rest(exchange):
    """Stream the events after the request's last one."""
    last = int(exchange.request.headers.get(b"last-event-id", b"0"))
    await exchange.stream_events(last + 1, EVENTS)


def configure(site):
    """Let requests take long."""
    routes = [route | {"timeout_ms": 9000} for route in site.routes()]
    site.configure(routes=routes)


async def ask_with_other(site, script, others=0):
    """Ask for a stream at an endpoint, and let another one join then.

    Returns
    -------
    tuple of Answer, RoutedEndpoint and float
        The answer, the other endpoint, and the time that it took.
    """
    configure(site)
    first = await site.endpoint("e1", "engines", script, busy)
    daemon = await site.daemon()
    async with trio.open_nursery() as nursery:
        answers = []

        async def ask():
            headers = site.headers(deadline_ms=9000)
            caller = await site.connect(daemon.callers)
            with trio.fail_after(9.0):
                answers.append(await caller.request("POST", "/digest/1", headers, BODY))

        started = trio.current_time()
        nursery.start_soon(ask)
        await site.wait_until(lambda: len(first.received_requests) == 1)
        for number in range(others):
            nursery.start_soon(ask)
            await site.wait_until(
                lambda count=number + 2: len(first.received_requests) == count
            )
        second = await site.endpoint("e2", "engines", rest)
        with trio.fail_after(9.0):
            while not answers:
                await trio.sleep(0.02)
        took_s = trio.current_time() - started
        nursery.cancel_scope.cancel()
    return answers[0], second, took_s


@case("a stream stays at an endpoint that is silent for a second")
async def _(site):
    answer, other, _ = await ask_with_other(site, pausing_for(SECOND_OR_SO_S))
    assert is_whole_stream(answer) and not other.received_requests, answer


@case("a stream that has not begun stays at an endpoint that is silent for a second")
async def _(site):
    answer, other, _ = await ask_with_other(site, hanging_for(SECOND_OR_SO_S))
    assert is_whole_stream(answer) and not other.received_requests, answer


@case("a stream goes on elsewhere when its endpoint stays silent")
async def _(site):
    answer, other, took_s = await ask_with_other(site, pausing_for(9.0))
    assert is_whole_stream(answer), answer
    (request,) = other.received_requests
    assert request.headers[b"last-event-id"] == b"1"
    assert SECOND_OR_SO_S < took_s < LATEST_S, took_s


@case("a stream that hangs leaves an endpoint that serves others")
async def _(site):
    answer, other, took_s = await ask_with_other(site, pausing_for(9.0), others=1)
    assert is_whole_stream(answer), answer
    assert other.received_requests[0].headers[b"last-event-id"] == b"1"
    assert took_s < SOON_S, took_s


async def may_leave(silent_s, others_heard_s=None, is_own=True, connects=True):
    """Return whether a request may leave an endpoint.

    Parameters
    ----------
    silent_s : float
        How long it has been silent towards the request.
    others_heard_s : float or None
        How long ago it sent something on another connection.
    """
    endpoint, activity = endpoint_of("e1", 1), EndpointActivity()
    await trio.sleep(10.0)
    now = trio.current_time()
    if others_heard_s is not None:
        activity.heard[endpoint.process] = now - others_heard_s

    async def open_channel(address, timeout_s):
        if not connects:
            raise ChannelBrokenError("connect failed")
        return Closing()

    real, _silent_endpoints.open_channel = _silent_endpoints.open_channel, open_channel
    try:
        return await activity.may_leave(endpoint, now - silent_s, is_own)
    finally:
        _silent_endpoints.open_channel = real


class Closing:
    """A channel that is only closed."""

    def close(self):
        """Do nothing."""


@decision("a request leaves a silent endpoint that notices it, or is gone")
def _():
    def leaves(*args, **how):
        clock = MockClock(autojump_threshold=0)
        return trio.run(lambda: may_leave(*args, **how), clock=clock)

    assert not leaves(0.6)
    assert not leaves(1.4)
    assert leaves(2.1)
    # It serves others at present, or stopped when this request's answer did.
    assert leaves(0.6, others_heard_s=0.1)
    assert not leaves(0.6, others_heard_s=0.55)
    assert not leaves(0.6, others_heard_s=0.7)
    # Nothing is there any more.
    assert leaves(0.6, connects=False)
    # Another instance has sent it, whose links are not known here.
    assert not leaves(0.6, is_own=False, connects=False)
    assert leaves(2.1, is_own=False)
