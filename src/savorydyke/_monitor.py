"""Polls the endpoints' load reports and cache events, and the platform's list."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._endpoint_client import EndpointClient
from savorydyke._endpoint_states import EndpointStates
from savorydyke._exceptions import PlatformUnavailableError
from savorydyke._ids import (
    UNKNOWN_START,
    EndpointId,
    InstanceId,
    MemberState,
    process_id,
)
from savorydyke._manifest import Endpoint, Manifest, PoolKind
from savorydyke._membership import Membership
from savorydyke._peers import Peers
from savorydyke._platform import Platform
from savorydyke._pool_host import PoolHost
from savorydyke._timers import TimerService

REPORT_INTERVAL_S = 1.0
LIST_INTERVAL_S = 1.5
LIST_READERS = 16
INSTANCE_SERVICE = "savorydyke"
ENDPOINT_SERVICE = "savorydyke-endpoints"

log = _logs.component_logger("monitor")


@dataclass
class Monitor:
    """Polls the endpoints of pools coordinated here, and the platform's list.

    Attributes
    ----------
    last_cache_serial : dict
        Serial number of the last cache event of each endpoint.
    """

    pool_host: PoolHost
    states: EndpointStates
    endpoint_client: EndpointClient
    platform: Platform
    membership: Membership
    peers: Peers
    manifest: Callable[[], Manifest | None]
    last_cache_serial: dict[EndpointId, int] = field(default_factory=dict)
    on_failure: Callable[[str], None] = field(default=lambda task: None)

    async def poll_endpoints(self, timers: TimerService) -> None:
        """Poll the endpoints of all pools coordinated here until cancelled.

        Those of a pool whose grants wait for the reports are polled at once.
        """
        polling: set[EndpointId] = set()

        async def poll(endpoint: Endpoint, is_engine: bool) -> None:
            try:
                await self._poll_load(endpoint)
                if is_engine:
                    await self._poll_cache(endpoint)
            finally:
                polling.discard(endpoint.id)

        def start_polls(tasks: BackgroundTasks) -> None:
            manifest = self.manifest()
            for endpoint in self._hosted(manifest):
                if endpoint.id in polling or manifest is None:
                    continue
                polling.add(endpoint.id)
                kind = manifest.pools[endpoint.pool].kind
                tasks.start_soon(poll, endpoint, kind is PoolKind.ENGINE)

        async def poll_when_awaited(tasks: BackgroundTasks) -> None:
            while True:
                await self.pool_host.awaits_reports.wait()
                self.pool_host.awaits_reports = trio.Event()
                start_polls(tasks)

        async with (
            trio.open_nursery() as nursery,
            timers.every(REPORT_INTERVAL_S) as ticks,
        ):
            tasks = BackgroundTasks(nursery, self.on_failure)
            nursery.start_soon(poll_when_awaited, tasks)
            async for _ in ticks:
                start_polls(tasks)

    def _hosted(self, manifest: Manifest | None) -> list[Endpoint]:
        if manifest is None:
            return []
        endpoints = manifest.endpoints.values()
        return [e for e in endpoints if e.pool in self.pool_host.hosted]

    async def _poll_load(self, endpoint: Endpoint) -> None:
        report = await self.endpoint_client.get_json(endpoint, "/load")
        hosted = self.pool_host.hosted.get(endpoint.pool)
        if report is None or hosted is None:
            return
        requests = report.get("requests")
        load = hosted.scheduler.endpoints.get(endpoint.id)
        if type(requests) is int and load is not None:
            load.report(requests)
        leaving = report.get("leaving") is True
        self.states.set_reported(endpoint.process, leaving, trio.current_time())
        self.pool_host.mark_reported(endpoint.pool, endpoint.id)

    async def _poll_cache(self, endpoint: Endpoint) -> None:
        """Apply an engine's cache events.

        After a gap in the serial numbers the known contents of the cache are
        discarded.
        """
        last = self.last_cache_serial.get(endpoint.id, 0)
        target = f"/cache-events?after={last}"
        report = await self.endpoint_client.get_json(endpoint, target)
        hosted = self.pool_host.hosted.get(endpoint.pool)
        if report is None or hosted is None:
            return
        events = report.get("events")
        for event in events if isinstance(events, list) else []:
            if not isinstance(event, dict) or type(event.get("serial")) is not int:
                continue
            serial, evicted = event["serial"], event.get("evicted")
            if serial != last + 1:
                hosted.scheduler.estimates.prefixes.forget(endpoint.id)
            elif isinstance(evicted, list):
                digests = tuple(x for x in evicted if type(x) is int)
                hosted.scheduler.estimates.prefixes.evict(endpoint.id, digests)
            last = serial
        self.last_cache_serial[endpoint.id] = last

    async def poll_list(self, timers: TimerService) -> None:
        """Read the platform's list of instances and endpoints until cancelled."""
        async with timers.every(LIST_INTERVAL_S) as ticks:
            async for _ in ticks:
                if self.membership.is_chosen(ENDPOINT_SERVICE, LIST_READERS):
                    await self._read_list()

    async def _read_list(self) -> None:
        now = trio.current_time()
        try:
            instances = await self.platform.list_instances(INSTANCE_SERVICE)
            endpoints = await self.platform.list_instances(ENDPOINT_SERVICE)
        except PlatformUnavailableError as error:
            log.debug("Platform's list could not be read.", extra={"error": str(error)})
            return
        self.peers.set_listed(
            {
                InstanceId(item.name): item.address
                for item in instances
                if item.state is MemberState.LIVE
            }
        )
        leaving = {
            process_id(EndpointId(item.name), UNKNOWN_START)
            for item in endpoints
            if item.state is not MemberState.LIVE
        }
        self.states.set_listed(leaving, now)
