"""Finds out when endpoints that were not reached are reached again.

Connections are opened for that, so that no caller's request is sent to find out.
"""

from collections.abc import Callable

import trio

from savorydyke._background import BackgroundTasks
from savorydyke._directory import Directory
from savorydyke._endpoint_ways import EndpointWays

PROBE_INTERVAL_S = 0.5
MAX_PROBES = 3
"""Connections that are opened at an interval while no endpoint is reached."""
MAX_OTHERS = 2
"""Connections to other endpoints besides. Endpoints that have ended would not show that
the links are good."""
MAX_PROBES_REACHED = 16
"""Same once an endpoint has been reached again."""


async def probe_failed_links(
    ways: EndpointWays,
    directory: Directory,
    on_failure: Callable[[str], None] = lambda task: None,
) -> None:
    """Try endpoints that were not reached again and again, until cancelled.

    Parameters
    ----------
    on_failure : callable
        Called with the name of a probe that failed with an unforeseen error.
    """
    while True:
        await ways.links.failing.opened.wait()
        await trio.sleep(PROBE_INTERVAL_S * (0.75 + 0.5 * ways.rng.random()))
        was_cut_off = ways.links.is_cut_off
        if not ways.links.failed_at:
            continue
        await _probe(ways, directory, MAX_PROBES, on_failure)
        if was_cut_off and not ways.links.is_cut_off:
            await _probe(ways, directory, MAX_PROBES_REACHED, on_failure)


async def _probe(
    ways: EndpointWays,
    directory: Directory,
    most: int,
    on_failure: Callable[[str], None],
) -> None:
    manifest = directory.manifest
    failed = ways.links.failed_at
    # The one that was tried longest ago comes first.
    names = sorted(failed, key=lambda name: failed[name])[:most]
    if manifest is not None:
        others = sorted(manifest.endpoints.keys() - failed.keys())
        names += ways.rng.sample(others, min(len(others), MAX_OTHERS))
    async with trio.open_nursery() as nursery:
        tasks = BackgroundTasks(nursery, on_failure)
        for name in names:
            endpoint = manifest.endpoints.get(name) if manifest else None
            if endpoint is None:
                ways.links.forget(name)
                continue
            tasks.start_soon(ways.probe_own_link, endpoint)
