"""Runs an instance that serves routed callers until it receives a stop signal."""

import gc
import json
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import replace

import trio

from savorydyke import _logs
from savorydyke._background import BackgroundTasks
from savorydyke._build import build_digest
from savorydyke._directory import Directory
from savorydyke._endpoint_observer import EndpointObserver
from savorydyke._endpoint_probes import probe_failed_links
from savorydyke._endpoint_ways import forwarding_address
from savorydyke._forwarded_requests import MORE_HEAD_BYTES, ForwardedRequests
from savorydyke._gateway import Gateway, new_gateway
from savorydyke._gateway_settings import GatewaySettings, read_gateway_settings
from savorydyke._ingress import (
    IncomingRequest,
    Ingress,
    IngressLimits,
    Responder,
    open_listener,
)
from savorydyke._late_answers import LateAnswers
from savorydyke._log_writer import LogBuffer, flush, write_lines
from savorydyke._loop_pace import PacedClock
from savorydyke._lost_answers import LostAnswers
from savorydyke._routed_handler import RoutedHandler
from savorydyke._send_check import SendCheck
from savorydyke._store_records import read_or_create_fleet_key
from savorydyke._task_costs import TaskCosts, install_task_costs
from savorydyke.platform import READINESS_PATH, open_store
from savorydyke.serving import HeldBytes, new_held_bytes

DRAIN_NOTICE_S = 2.6
"""The balancer checks readiness once a second and removes an instance after two
failed checks."""
KILL_MARGIN_S = 0.6
"""Time between aborting the remaining requests and the kill."""
ABORT_S = 0.3
"""Time to tell the callers of aborted requests."""
STOP_CHECK_S = 0.02
METRICS_PATH = b"/metrics"

log = _logs.component_logger("gateway")


async def run(settings: GatewaySettings, path: str, clock: PacedClock) -> int:
    """Run an instance until it receives a stop signal; return the exit status.

    Parameters
    ----------
    clock : PacedClock
        That of the event loop.
    """
    log_buffer = _logs.configure_buffered(settings.log_level, settings.instance)
    try:
        return await _run(settings, path, clock, log_buffer)
    finally:
        flush(log_buffer)


async def _run(
    settings: GatewaySettings, path: str, clock: PacedClock, log_buffer: LogBuffer
) -> int:
    store = open_store(settings.store)
    gateway = new_gateway(settings, store, log_buffer)
    costs = install_task_costs() if settings.counts_tasks else None
    async with trio.open_nursery() as nursery:
        background = BackgroundTasks(nursery, gateway.metrics.count_failure)
        observer = EndpointObserver(gateway.states, gateway.limits, gateway.rejections)
        check = SendCheck(gateway.states, gateway.directory, gateway.rollouts)
        late_answers = LateAnswers(observer, background)
        lost_answers = LostAnswers(gateway.quarantine, gateway.ways, background)
        # Before requests are granted to what is listed now.
        gateway.directory.listeners.insert(0, lost_answers.observe_manifest)
        handler = RoutedHandler(
            settings.instance,
            gateway.directory,
            gateway.grant_client,
            background,
            gateway.rng,
            settings.bounds.apply.revocation_s,
            gateway.ways,
            check,
            observer,
            late_answers,
            gateway.quarantine,
            lost_answers,
            gateway.overload,
            gateway.pool_host.versions,
            gateway.pool_host.route_pools,
            gateway.metrics,
            incarnation=gateway.membership.incarnation,
        )
        gateway.directory.listeners.append(handler.activity.keep)
        held = new_held_bytes(settings.memory_mb, gateway.metrics)
        ingress = Ingress(
            handler.handle,
            handler.refuse_unreadable,
            lambda: _limits(gateway.directory),
            held=held,
            on_failure=gateway.metrics.count_failure,
        )
        readiness = Ingress(
            lambda request, responder: _answer_ready(gateway, request, responder),
            handler.refuse_unreadable,
            IngressLimits,
        )
        forwarded = _new_forwarded_requests(
            gateway, observer, late_answers, check, background
        )
        clock.pace.is_at_rest = lambda: (
            gateway.is_ready() and not (ingress.active or gateway.has_requests())
        )
        if costs is not None:
            background.keep_running(costs.log_regularly)
        nursery.start_soon(write_lines, log_buffer, sys.stdout.fileno())
        nursery.start_soon(gateway.ways.read_deadlines.run)
        nursery.start_soon(_listen, settings.readiness, readiness)
        if settings.metrics:
            pages = Ingress(
                lambda request, responder: _answer_metrics(
                    gateway, held, costs, request, responder
                ),
                handler.refuse_unreadable,
                IngressLimits,
            )
            nursery.start_soon(_listen, settings.metrics, pages)
        nursery.start_soon(_listen, settings.callers, ingress)
        nursery.start_soon(gateway.timers.run)
        nursery.start_soon(gateway.directory.watch_store)
        nursery.start_soon(gateway.directory.confirm_views)
        nursery.start_soon(_join, gateway, forwarded, held)
        log.info(
            "Started.",
            extra={"callers": settings.callers, "build": build_digest()},
        )
        gc.freeze()
        gc.enable()
        await _wait_for_stop(gateway, handler, ingress, path)
        nursery.cancel_scope.cancel()
    log.info("Stopped.", extra={"active": ingress.active})
    return 0


async def _join(
    gateway: Gateway, forwarded: ForwardedRequests, held: HeldBytes
) -> None:
    """Join the fleet and run the tasks that need peers until cancelled."""
    secret = await read_or_create_fleet_key(gateway.store, gateway.rng)
    gateway.peers.shared_key = secret.encode()
    count_failure = gateway.metrics.count_failure
    async with trio.open_nursery() as nursery:
        await nursery.start(gateway.peers.listen, gateway.settings.peers)
        # The instance serves nobody soundly without one of these.
        nursery.start_soon(_listen_for_forwarded, gateway, forwarded, held)
        nursery.start_soon(gateway.run_heartbeats)
        nursery.start_soon(gateway.peers.maintain_links)
        nursery.start_soon(gateway.pool_host.run, gateway.timers)
        nursery.start_soon(gateway.grant_client.reconcile, gateway.timers)
        services = BackgroundTasks(nursery, count_failure)
        services.keep_running(
            probe_failed_links, gateway.ways, gateway.directory, count_failure
        )
        services.keep_running(gateway.store_records.keep_instance_record)
        services.keep_running(gateway.store_records.rewrite_fleet_records)
        services.keep_running(gateway.quota_balances.run)
        services.keep_running(gateway.quota_reports.run, gateway.timers)
        services.keep_running(gateway.shared_evidence.run)
        services.keep_running(
            gateway.stream_records.run, gateway.timers, gateway.pool_host.hosting
        )
        services.keep_running(gateway.rollouts.run_ticks, gateway.timers)
        services.keep_running(gateway.rollouts.run_writes)
        services.keep_running(gateway.tell_next_coordinators)
        services.keep_running(gateway.observe_delays)
        services.keep_running(gateway.peers.watch_traffic)


def _new_forwarded_requests(
    gateway: Gateway,
    observer: EndpointObserver,
    late_answers: LateAnswers,
    check: SendCheck,
    background: BackgroundTasks,
) -> ForwardedRequests:
    return ForwardedRequests(
        gateway.membership,
        lambda: gateway.peers.shared_key,
        gateway.directory,
        gateway.ways,
        observer,
        late_answers,
        check,
        gateway.overload,
        lambda: gateway.stopping,
        background,
    )


async def _listen_for_forwarded(
    gateway: Gateway, forwarded: ForwardedRequests, held: HeldBytes
) -> None:
    """Take requests of instances that do not reach their endpoints."""

    def limits() -> IngressLimits:
        found = _limits(gateway.directory)
        head_bytes = found.max_head_bytes + MORE_HEAD_BYTES
        return replace(found, max_head_bytes=head_bytes)

    ingress = Ingress(
        forwarded.handle,
        forwarded.refuse_unreadable,
        limits,
        held=held,
        on_failure=gateway.metrics.count_failure,
    )
    await _listen(forwarding_address(gateway.settings.peers), ingress)


async def _listen(address: str, ingress: Ingress) -> None:
    send_buffer = ingress.held.bounds.socket
    await trio.serve_listeners(ingress.serve, [open_listener(address, send_buffer)])


def _limits(directory: Directory) -> IngressLimits:
    configuration = directory.configuration
    return configuration.limits if configuration else IngressLimits()


async def _answer_ready(
    gateway: Gateway, request: IncomingRequest, responder: Responder
) -> None:
    if request.target.partition(b"?")[0] != READINESS_PATH:
        await responder.send_answer(404, [], b"")
        return
    body = {
        "ready": gateway.is_ready(),
        "version": gateway.directory.version,
        "peers": len(gateway.peers.links),
    }
    status = 200 if gateway.is_ready() else 503
    headers = [(b"Content-Type", b"application/json")]
    await responder.send_answer(status, headers, json.dumps(body).encode())


async def _answer_metrics(
    gateway: Gateway,
    held: HeldBytes,
    costs: TaskCosts | None,
    request: IncomingRequest,
    responder: Responder,
) -> None:
    if request.target.partition(b"?")[0] != METRICS_PATH:
        await responder.send_answer(404, [], b"")
        return
    gateway.update_gauges()
    for kind, size in held.sizes.items():
        gateway.metrics.held_bytes.set({"kind": kind.value}, size)
    if costs is not None:
        for name, seconds in costs.seconds.items():
            gateway.metrics.task_seconds.set({"kind": name}, seconds)
            gateway.metrics.task_steps.set({"kind": name}, costs.steps[name])
    content, headers = gateway.metrics.render(["text/plain"])
    pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
    await responder.send_answer(200, pairs, content)


async def _wait_for_stop(
    gateway: Gateway,
    handler: RoutedHandler,
    ingress: Ingress,
    path: str,
) -> None:
    """Wait for a stop signal, then until the requests in progress have ended.

    A second signal aborts those that remain, as does `KILL_MARGIN_S` before the process
    would be killed. SIGHUP only checks the settings file.
    """
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                break
            _check_settings(gateway, path)
        log.info("Stopping.", extra={"active": ingress.active})
        gateway.stopping = True
        gateway.membership.leaving = True
        gateway.membership.notify()
        ingress.closing = True
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            stop_s = gateway.settings.bounds.stop_s
            scope.deadline = trio.current_time() + stop_s - KILL_MARGIN_S
            handler.stop_at = scope.deadline
            nursery.start_soon(_cancel_at_signal, signals, scope)
            # The balancer sends callers here until two readiness checks have failed.
            await trio.sleep(min(DRAIN_NOTICE_S, stop_s / 3))
            handler.stop_taking()
            ingress.close_idle()
            while ingress.active or gateway.ways.forwarding:
                await trio.sleep(STOP_CHECK_S)
                ingress.close_idle()
            scope.cancel()
    if ingress.active:
        await _abort(handler, ingress)


async def _cancel_at_signal(
    signals: AsyncIterator[int], scope: trio.CancelScope
) -> None:
    """Cancel a scope at the next signal that asks for a stop."""
    async for number in signals:
        if number != signal.SIGHUP:
            log.info("Second signal.")
            scope.cancel()
            return


async def _abort(handler: RoutedHandler, ingress: Ingress) -> None:
    """End the requests in progress, and wait until their callers have been told."""
    log.warning("Requests aborted.", extra={"active": ingress.active})
    handler.abort()
    with trio.move_on_after(ABORT_S):
        while ingress.active:
            await trio.sleep(STOP_CHECK_S)


def _check_settings(gateway: Gateway, path: str) -> None:
    """Check the settings file; changes take effect only at the next start."""
    try:
        settings = read_gateway_settings(path)
    except Exception as error:
        log.error("Settings check failed.", extra={"error": str(error)})
        return
    log.info("Settings checked.", extra={"changed": settings != gateway.settings})
