"""Processor time and steps of the event loop's tasks, by kind.

Tells what a process spends on links, watches, decisions and relaying apart. An
instrument sees each step of each task, which costs about a microsecond a step, so
that it is installed only if the settings ask for it.
"""

import time
from collections import defaultdict
from typing import Any

import trio

from savorydyke import _logs

LOG_INTERVAL_S = 10.0
"""A process that is killed leaves its latest line."""
LOGGED_KINDS = 24
"""Kinds in a log line, those that took most."""

log = _logs.component_logger("tasks")


class TaskCosts(trio.abc.Instrument):
    """Counts the steps of tasks, and what they take.

    Attributes
    ----------
    seconds : dict of str to float
        Processor time by kind, in seconds. A kind is the function that a task runs.
    steps : dict of str to int
        Steps by kind.
    wake_ups : int
        How often the event loop has waited for input and output.
    """

    def __init__(self) -> None:
        self.seconds: defaultdict[str, float] = defaultdict(float)
        self.steps: defaultdict[str, int] = defaultdict(int)
        self.wake_ups = 0
        self.step_began = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """Count a wake-up."""
        self.wake_ups += 1

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Note when a step begins."""
        self.step_began = time.thread_time()

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count a step."""
        self.seconds[task.name] += time.thread_time() - self.step_began
        self.steps[task.name] += 1

    def report(self) -> dict[str, Any]:
        """Return the totals, and steps and milliseconds of the dearest kinds."""
        kinds = sorted(self.seconds, key=lambda kind: -self.seconds[kind])
        return {
            "processor_s": round(time.process_time(), 3),
            "in_tasks_s": round(sum(self.seconds.values()), 3),
            "wake_ups": self.wake_ups,
            "kinds": {
                kind.removeprefix("savorydyke."): [
                    self.steps[kind],
                    round(1000 * self.seconds[kind], 1),
                ]
                for kind in kinds[:LOGGED_KINDS]
            },
        }

    async def log_regularly(self) -> None:
        """Log the totals until cancelled, and at the end."""
        try:
            while True:
                await trio.sleep(LOG_INTERVAL_S)
                log.info("Task costs.", extra=self.report())
        finally:
            log.info("Task costs.", extra=self.report())


def install_task_costs() -> TaskCosts:
    """Return a new instrument, which sees all tasks of this event loop from now on."""
    costs = TaskCosts()
    trio.lowlevel.add_instrument(costs)
    return costs
