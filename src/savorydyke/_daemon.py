"""``savorydyked``: one instance of the scheduler."""

import gc
import logging
import random
import signal
import socket
import ssl
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import trio
from hypercorn.config import Config as ServerConfig
from hypercorn.trio import serve

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._build import build_digest
from savorydyke._caller_app import CallerApp
from savorydyke._calls import stream_id
from savorydyke._claims import Claims
from savorydyke._configuration import Configuration
from savorydyke._dispatch import Dispatcher
from savorydyke._dispatch_at_most_once import AtMostOnceDispatcher
from savorydyke._endpoint_client import EndpointClient
from savorydyke._endpoint_load import Running
from savorydyke._endpoint_states import EndpointStates
from savorydyke._grant_client import GrantClient
from savorydyke._http_apps import new_callers_app, new_operators_app
from savorydyke._ids import EndpointId, InstanceId, PoolId, RequestId
from savorydyke._membership import HEARTBEAT_INTERVAL_S, Membership
from savorydyke._messages import (
    Acquire,
    ConfigurationPush,
    ConfigurationRequest,
    Grant,
    Heartbeat,
    Message,
    Queued,
    Refuse,
    Register,
    Release,
    Started,
    Withdraw,
)
from savorydyke._metrics import Metrics
from savorydyke._monitor import Monitor
from savorydyke._peers import Peers
from savorydyke._platform import Platform, open_platform
from savorydyke._pool_host import PoolHost
from savorydyke._settings import Settings, TlsFiles
from savorydyke._timers import TimerService

STALLED_CALLER_MS = 30_000
"""Time after which a caller that does not read loses its connection."""
BACKLOG = 1024
ABORT_S = 0.5
"""Time to tell the callers of aborted requests."""
STOP_CHECK_S = 0.05
LEAVE_NOTICE_S = 1.0
"""Time for the peers to learn that this instance is leaving."""
GRACE_AFTER_STOP_S = 0.5
MAX_REQUESTS_LOGGED = 100
EXIT_ABORTED = 1

log = _logs.component_logger("daemon")


@dataclass
class Instance:
    """The components of one instance and the routing of messages between them."""

    settings: Settings
    timers: TimerService
    rng: random.Random
    metrics: Metrics
    platform: Platform
    endpoint_client: EndpointClient
    membership: Membership
    peers: Peers
    configuration: Configuration
    states: EndpointStates
    pool_host: PoolHost
    grant_client: GrantClient
    monitor: Monitor

    def deliver(self, instance: InstanceId, message: Message) -> None:
        """Send a message to an instance, possibly this one."""
        if instance == self.membership.id:
            self.handle(instance, message)
        else:
            self.peers.send(instance, message)

    def handle(self, sender: InstanceId, message: Message) -> None:
        """Dispatch a message to the component that handles its type."""
        match message:
            case Acquire() | Register() | Release() | Started() | Withdraw():
                self.pool_host.handle(sender, message)
            case Grant() | Refuse() | Queued():
                self.grant_client.handle(sender, message)
            case Heartbeat():
                now = trio.current_time()
                self.membership.receive_heartbeat(sender, message, now)
                self.configuration.receive_heartbeat(sender, message)
                self.states.update_from_peer(message.leaving_processes, now)
            case ConfigurationRequest():
                self.configuration.send_if_newer(sender, message)
            case ConfigurationPush():
                self.configuration.receive_push(sender, message)

    async def run_heartbeats(self) -> None:
        """Send heartbeats and update the state of members until cancelled."""
        async with self.timers.every(HEARTBEAT_INTERVAL_S) as ticks:
            async for _ in ticks:
                now = trio.current_time()
                counter = self.membership.next_heartbeat(now)
                self._send_heartbeats(counter, now)
                self.states.update(now)
                self.membership.update(now)

    def _send_heartbeats(self, counter: int, now: float) -> None:
        peers = list(self.peers.links)
        informed = self.rng.choice(peers) if peers else None
        for peer in peers:
            member = self.membership.members.get(peer)
            rows = self.membership.rows(now) if peer == informed else ()
            heartbeat = Heartbeat(
                counter=counter,
                echo=member.last_direct_counter if member else 0,
                leaving=self.membership.leaving,
                revision=self.configuration.revision,
                confirmation_age_ms=self.configuration.confirmation_age_ms(now),
                leaving_processes=self.states.observed_leaving(),
                rows=rows,
            )
            self.peers.send(peer, heartbeat)

    def is_ready(self) -> bool:
        """Return whether this instance accepts new requests."""
        if self.membership.leaving:
            return False
        return self.configuration.current(trio.current_time()) is not None

    def status(self) -> dict[str, Any]:
        """Return the status for operators, and update the gauges."""
        now = trio.current_time()
        membership = self.membership
        schedulers = {}
        for pool, hosted in self.pool_host.hosted.items():
            schedulers[pool] = _pool_scheduler_status(hosted.scheduler, now)
        status = {
            "instance": membership.id,
            "data_centre": membership.data_centre,
            "revision": self.configuration.revision,
            "confirmed_ms": self.configuration.confirmation_age_ms(now),
            "ready": self.is_ready(),
            "leaving": membership.leaving,
            "members": {
                member.id: {
                    "state": membership.states[member.id].value,
                    "address": member.address,
                    "data_centre": member.data_centre,
                    "linked": member.linked,
                }
                for member in membership.members.values()
                if member.id in membership.states
            },
            "homes": {pool: membership.coordinator(pool) for pool in self._pools()},
            "cells": schedulers,
            "leaving_endpoints": sorted(self.states.leaving),
            "pending": len(self.grant_client.pending),
            "in_flight": len(self.grant_client.in_flight),
            "platform_calls": self.platform.calls,
            "peer_bytes_sent": self.peers.traffic.bytes_sent,
            "peer_frames_sent": self.peers.traffic.frames_sent,
            "refused_frames": self.peers.traffic.refused,
        }
        for kind, value in status.items():
            if isinstance(value, int):
                self.metrics.state.set({"kind": kind}, int(value))
        return status

    def _pools(self) -> list[PoolId]:
        manifest = self.configuration.manifest
        return list(manifest.pools) if manifest else []

    def cancel_orphan(self, background: BackgroundTasks) -> Callable:
        """Return a function that cancels an orphaned request at its endpoint.

        A request is orphaned when its frontend instance is lost, or when its caller
        disconnects from a stream and may resume it. It is left running at endpoints
        that cannot resume streams.
        """

        def cancel(endpoint: EndpointId, item: Running) -> None:
            manifest = self.configuration.manifest
            spec = manifest.endpoints.get(endpoint) if manifest else None
            if spec is None or not spec.resumes:
                return
            request_id = RequestId(item.key.removeprefix(f"{item.team}/"))
            background.start_soon(
                self.endpoint_client.cancel, spec, stream_id(item.team, request_id)
            )

        return cancel


def _pool_scheduler_status(scheduler: Any, now: float) -> dict[str, Any]:
    return {
        "settled": scheduler.grants_enabled,
        "share": round(scheduler.capacity.share, 3),
        "waiting": len(scheduler.queue),
        "endpoints": {
            load.id: {
                "in_flight": len(load.running),
                "tokens": load.tokens,
                "usable": load.usable(now),
                "leaving": load.leaving,
                "failures": load.failures,
                "prefill_factor": round(load.prefill_factor, 2),
                "decode_tokens_per_s": round(load.decode_tokens_per_s, 1),
            }
            for load in scheduler.endpoints.values()
        },
    }


def new_instance(settings: Settings) -> Instance:
    """Return an instance with its components connected."""
    rng = random.Random()
    metrics = Metrics()
    platform = open_platform(settings.platform)
    platform.on_call = lambda kind: metrics.platform_calls.inc({"kind": kind})
    endpoint_client = EndpointClient()
    membership = Membership(
        settings.instance,
        settings.advertise or settings.peers,
        settings.data_centre,
        time.time_ns() // 1_000_000,
    )
    client_tls, server_tls = _tls_contexts(settings.tls)
    peers = Peers(
        membership,
        settings.shared_key,
        lambda sender, message: instance.handle(sender, message),
        rng,
        client_tls,
        server_tls,
    )
    peers.seeds = set(settings.seeds)
    peers.on_failure = metrics.count_failure
    configuration = Configuration(platform, membership, peers)
    states = EndpointStates()
    pool_host = PoolHost(
        membership=membership,
        states=states,
        manifest=lambda: configuration.manifest,
        answer=lambda frontend, answer: instance.deliver(frontend, answer),
        cancel_orphan=lambda endpoint, item: None,
        orphan_grace_s=settings.limits.resume_grace_s,
        rng=rng,
        on_failure=metrics.count_failure,
    )
    grant_client = GrantClient(
        membership=membership,
        send=lambda peer, message: instance.deliver(peer, message),
        link=lambda peer: peers.links.get(peer),
        pools=lambda: instance._pools(),
    )
    monitor = Monitor(
        pool_host,
        states,
        endpoint_client,
        platform,
        membership,
        peers,
        lambda: configuration.manifest,
        on_failure=metrics.count_failure,
    )
    instance = Instance(
        settings,
        TimerService(rng),
        rng,
        metrics,
        platform,
        endpoint_client,
        membership,
        peers,
        configuration,
        states,
        pool_host,
        grant_client,
        monitor,
    )
    _connect(instance)
    return instance


def _connect(instance: Instance) -> None:
    """Subscribe the components to each other's events."""
    membership, pool_host = instance.membership, instance.pool_host
    membership.listeners.append(instance.grant_client.follow_coordinators)
    membership.loss_listeners.append(pool_host.frontend_lost)
    instance.states.listeners.append(pool_host.set_leaving)
    instance.configuration.listeners.append(
        lambda manifest: instance.states.observe_manifest(manifest, trio.current_time())
    )
    instance.configuration.listeners.append(pool_host.reconfigure)
    instance.configuration.listeners.append(
        lambda manifest: instance.grant_client.follow_coordinators()
    )


async def run(settings: Settings) -> int:
    """Run an instance until it receives a stop signal; return the exit status."""
    instance = new_instance(settings)
    async with trio.open_nursery() as nursery:
        background = BackgroundTasks(nursery, instance.metrics.count_failure)
        instance.pool_host.cancel_orphan = instance.cancel_orphan(background)
        claims = Claims(
            instance.platform, instance.membership, background, instance.rng
        )
        dispatcher = Dispatcher(
            instance.grant_client,
            instance.configuration,
            instance.endpoint_client,
            background,
        )
        at_most_once = AtMostOnceDispatcher(dispatcher, claims)
        callers = _new_caller_app(instance, dispatcher, at_most_once)
        for task in _tasks(instance):
            nursery.start_soon(task)
        for service in _services(instance, claims):
            background.keep_running(service)
        stopped = trio.Event()
        await nursery.start(instance.peers.listen, settings.peers)
        await _serve_http(instance, callers, nursery, stopped)
        log.info(
            "Started.",
            extra={"callers": settings.callers, "build": build_digest()},
        )
        gc.freeze()
        gc.enable()
        status = await _wait_for_stop(instance, callers, claims)
        stopped.set()
        await trio.sleep(GRACE_AFTER_STOP_S)
        nursery.cancel_scope.cancel()
    log.info("Stopped.", extra={"status": status})
    return status


def _tasks(instance: Instance) -> list[Callable]:
    """Return the tasks without which the instance serves nobody soundly."""
    timers = instance.timers
    return [
        timers.run,
        instance.run_heartbeats,
        instance.peers.maintain_links,
        instance.configuration.watch,
        partial(instance.pool_host.run, timers),
        partial(instance.grant_client.reconcile, timers),
    ]


def _services(instance: Instance, claims: Claims) -> list[Callable]:
    """Return the tasks that the instance can do without for a moment."""
    timers = instance.timers
    return [
        partial(instance.monitor.poll_endpoints, timers),
        partial(instance.monitor.poll_list, timers),
        partial(claims.sweep, timers),
    ]


def _new_caller_app(
    instance: Instance, dispatcher: Dispatcher, at_most_once: AtMostOnceDispatcher
) -> CallerApp:
    configuration = instance.configuration
    pages_app = new_callers_app(
        instance.is_ready, lambda: configuration.current(trio.current_time())
    )
    return CallerApp(
        dispatcher,
        at_most_once,
        configuration,
        instance.metrics,
        instance.settings.limits,
        pages_app,  # type: ignore[arg-type]
    )


async def _serve_http(
    instance: Instance, callers: CallerApp, nursery: trio.Nursery, stopped: trio.Event
) -> None:
    settings = instance.settings
    operators = new_operators_app(
        instance.is_ready,
        instance.configuration,
        instance.metrics,
        instance.status,
        settings.operator_key,
    )
    for app, address in ((callers, settings.callers), (operators, settings.operators)):
        config = _server_config(settings, address)
        start = partial(serve, app, config, shutdown_trigger=stopped.wait)  # type: ignore[arg-type]
        await nursery.start(start)


def _server_config(settings: Settings, address: str) -> ServerConfig:
    config = ServerConfig()
    # The server takes ownership of the socket and closes it.
    config.bind = [f"fd://{open_listener(address).detach()}"]
    config.accesslog = None
    config.errorlog = logging.getLogger("savorydyke.http")
    config.errorlog.setLevel("WARNING")
    config.keep_alive_timeout = settings.limits.header_timeout_s
    config.graceful_timeout = GRACE_AFTER_STOP_S
    config.include_server_header = False
    config.backlog = BACKLOG
    if settings.tls.certificate:
        config.certfile = settings.tls.certificate
        config.keyfile = settings.tls.key
    return config


def open_listener(address: str) -> socket.socket:
    """Return a listening socket that disconnects callers that stop reading."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The server sends within a shielded cancel scope, so that only the kernel can
    # end a stalled send.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALLED_CALLER_MS)
    listener.bind((host.strip("[]"), int(port)))
    listener.listen(BACKLOG)
    return listener


def _tls_contexts(
    files: TlsFiles,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the client and server contexts of peer links, for mutual TLS."""
    if not files.certificate:
        return None, None
    client = ssl.create_default_context(cafile=files.authority)
    client.load_cert_chain(files.certificate, files.key)
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=files.authority)
    server.load_cert_chain(files.certificate, files.key)
    server.verify_mode = ssl.CERT_REQUIRED
    return client, server


# Stopping


async def _wait_for_stop(instance: Instance, callers: CallerApp, claims: Claims) -> int:
    """Wait for a signal, then until all requests have ended; return the exit status.

    A second signal or the stop limit aborts the remaining requests. Callers without an
    answer are told.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        log.info("Stopping.", extra={"active": callers.active})
        callers.stopping = True
        instance.membership.leaving = True
        instance.membership.notify()
        status = 0
        async with trio.open_nursery() as nursery:

            async def abort_after(reason: str, wait: Callable) -> None:
                nonlocal status
                await wait()
                status = EXIT_ABORTED
                names = sorted(callers.requests)[:MAX_REQUESTS_LOGGED]
                extra = {"cut": len(callers.requests), "requests": names}
                log.warning(reason, extra=extra)
                callers.aborting.set()
                with trio.move_on_after(ABORT_S):
                    while callers.active:
                        await trio.sleep(STOP_CHECK_S)
                nursery.cancel_scope.cancel()

            nursery.start_soon(abort_after, "Second signal.", signals.__anext__)
            limit_s = instance.settings.limits.stop_limit_s
            if limit_s:
                nursery.start_soon(
                    abort_after, "Stop limit reached.", lambda: trio.sleep(limit_s)
                )
            await trio.sleep(LEAVE_NOTICE_S)
            while (
                callers.active
                or claims.pending_writes
                or instance.grant_client.in_flight
            ):
                await trio.sleep(STOP_CHECK_S)
            nursery.cancel_scope.cancel()
    return status
