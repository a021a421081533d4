"""Test cases for endpoints of a new software version that join unseen.

An instance that is out of step does not know the version yet. A stream that began
there, through another instance, must not go on at the version that it does know.
"""

import signal

import trio
from routed_cases import (
    BODY,
    EVENT_OF_VERSION,
    case,
    cut_links,
    serve_proxy,
    start_version,
)

from savorydyke._membership import rendezvous_score
from savorydyke_bench._soak import FaultProxy

OTHERS = 4
SETTLED_S = 1.5
"""Time after which the versions of a pool are stored, and read by all instances."""


async def start(site):
    """Start engines, and instances with a link of their own to the store.

    Returns
    -------
    tuple
        The instance that coordinates the engines, the others, and their links.
    """
    await start_version(site, "v1", 2)
    names = sorted(
        (f"instance-{number}" for number in range(OTHERS + 1)),
        key=lambda name: rendezvous_score("engines", name),
    )
    coordinator = await site.daemon(names.pop())
    proxies, others = [], []
    for name in names:
        proxies.append(FaultProxy(site.store_address))
        store = await serve_proxy(site, proxies[-1], "127.0.0.1:0")
        others.append(await site.daemon(name, store=store))
    await trio.sleep(SETTLED_S)
    return coordinator, others, proxies


async def stream_of(site, daemon, *more, hold_s=0.0):
    """Request a stream, and leave some time after its first event.

    Returns
    -------
    tuple
        Id of the request, and the numbers and versions of the events.
    """
    headers = site.headers(*more, deadline_ms=9000)
    caller = await site.connect(daemon.callers)
    body = b""

    async def read():
        nonlocal body
        while not EVENT_OF_VERSION.findall(body):
            part = await caller.stream.receive_some(65536)
            if not part:
                return
            body += part

    lines = [b"%s: %s" % pair for pair in headers]
    lines = [b"POST /digest/1 HTTP/1.1", *lines, b"Content-Length: %d" % len(BODY)]
    await caller.stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + BODY)
    with trio.move_on_after(3.0):
        await read()
    found = EVENT_OF_VERSION.findall(body)
    if not found or found[0][1] != b"v2":
        await trio.sleep(hold_s)
    await caller.stream.aclose()
    return dict(headers)[b"X-Savorydyke-Request-Id"], found


async def begin_at_new_version(site, coordinator):
    """Begin streams until one begins at the version that joins; return its begin."""
    begun = []

    async def begin():
        root, events = await stream_of(site, coordinator, hold_s=1.0)
        if events and events[0][1] == b"v2":
            begun.append((root, events[-1][0]))

    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            while not begun:
                # Those that run already keep the endpoints that are known busy.
                nursery.start_soon(begin)
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
    return begun[0]


async def take_up_at_all(site, others, root, last):
    """Take a stream up at instances; return the versions at which it went on."""
    found = set()

    async def take_up(daemon):
        more = ((b"Last-Event-Id", last), (b"Resumes", root))
        _, events = await stream_of(site, daemon, *more)
        found.update(version for _, version in events)

    async with trio.open_nursery() as nursery:
        for daemon in others:
            nursery.start_soon(take_up, daemon)
    return found


async def take_up_out_of_step(site):
    """Let a version join while the others have lost the store."""
    coordinator, others, proxies = await start(site)
    for proxy in proxies:
        proxy.fault = "silent"
    await start_version(site, "v2", 2)
    root, last = await begin_at_new_version(site, coordinator)
    found = await take_up_at_all(site, others, root, last)
    assert found <= {b"v2"}, found


@case("a stream of a version that joins unseen goes on there if its coordinator knows")
async def _(site):
    await take_up_out_of_step(site)


@case("a stream of a version that joins unseen does not go on elsewhere without links")
async def _(site):
    cut_links(site)
    await take_up_out_of_step(site)


@case("a stream of a version that joins while instances stand still is not mixed")
async def _(site):
    cut_links(site)
    coordinator, others, _ = await start(site)
    for daemon in others:
        daemon.process.send_signal(signal.SIGSTOP)
    await start_version(site, "v2", 2)
    root, last = await begin_at_new_version(site, coordinator)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(go_on, others)
        found = await take_up_at_all(site, others, root, last)
    assert found <= {b"v2"}, found


async def go_on(others):
    """Let instances run again, when requests wait for them already."""
    await trio.sleep(0.1)
    for daemon in others:
        daemon.process.send_signal(signal.SIGCONT)


@case("a stream of the only version goes on at an instance that has not seen it")
async def _(site):
    cut_links(site)
    coordinator, others, _ = await start(site)
    root, events = await stream_of(site, coordinator)
    assert await take_up_at_all(site, others, root, events[-1][0]) == {b"v1"}
