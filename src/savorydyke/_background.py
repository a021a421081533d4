"""Tasks that run beside requests, and what an unforeseen error in one of them costs.

A task that serves one answer, endpoint, link or record ends alone. A service that the
instance can do without for a moment is started again. Both log the error with its
traceback and count it. Errors of all other tasks end the process, which is then started
anew: `docs/design/background-tasks.md` lists them.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from savorydyke import _logs

RESTART_S = 1.0
"""Pause before a service is started again, so that one that fails at once does not take
the processor."""

log = _logs.component_logger("tasks")

AsyncFunction = Callable[..., Awaitable[Any]]


@dataclass(eq=False)
class BackgroundTasks:
    """Starts tasks whose errors do not end others.

    Attributes
    ----------
    nursery : trio.Nursery
        Runs the tasks; cancelling it ends them.
    on_failure : callable
        Called with the name of each task that has failed.
    """

    nursery: trio.Nursery
    on_failure: Callable[[str], None] = field(default=lambda task: None)

    def start_soon(self, function: AsyncFunction, *args: Any) -> None:
        """Start a task that serves one thing; an error ends this task only."""
        self.nursery.start_soon(self._run, function, args, name=function)

    def keep_running(self, function: AsyncFunction, *args: Any) -> None:
        """Start a service, and again after an error, until it returns."""
        self.nursery.start_soon(self._keep_running, function, args, name=function)

    async def _run(self, function: AsyncFunction, args: tuple[Any, ...]) -> bool:
        """Return whether a function has ended without an error."""
        try:
            await function(*args)
        # A group may hold the cancellation of the nursery beside an error.
        except* Exception as errors:
            name = task_name(function)
            log.exception("Task failed.", extra={"task": name}, exc_info=errors)
            self.on_failure(name)
            is_done = False
        else:
            is_done = True
        return is_done

    async def _keep_running(
        self, function: AsyncFunction, args: tuple[Any, ...]
    ) -> None:
        while not await self._run(function, args):
            await trio.sleep(RESTART_S)


def task_name(function: AsyncFunction) -> str:
    """Return the name of a task for logs and metrics, such as ``LateAnswers._read``."""
    if isinstance(function, partial):
        function = function.func
    return function.__qualname__
