"""Runs the scenarios of behave side by side, each in a process of its own.

The steps are loaded once. Each scenario then runs in a forked process with its own
process group, temporary folder, log folder and random seed; ports are reserved by
`savorydyke_standins._ports`, which keeps processes apart. Tags of scenarios:

``@processes``
    Starts processes and mostly waits for them.
``@first``
    Takes long and is started first, so that no other one waits for it at the end.
``@alone``
    Measures time or load and runs after all others, one at a time.
``@fleet``
    Simulates a fleet, with much processor time; not in `make test-quick`.

Started with ``python .ci/run_features.py [options] [features or features:line ...]``.
"""

import argparse
import faulthandler
import json
import os
import random
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import known_red
from behave.configuration import Configuration
from behave.runner import Runner
from behave.runner_util import parse_features

ROOT = Path(__file__).resolve().parents[1]
SCENARIO_LIMIT_S = 300.0
POLL_S = 0.05
START_PAUSE_S = 0.1
"""Pause between two starts, in which the use of the processors begins to show."""
IDLE_TO_START = 1.5
"""Idle processors that a further start needs, since cases measure times too."""
SAMPLE_S = 0.5
PROGRESS_S = 10.0
STACKS_SIGNAL = signal.SIGUSR1
STACKS_S = 0.5
"""Time for a scenario that is ended to write its stacks."""
SLOWEST = 10
QUOTED = re.compile('"([^"]*)"')


@dataclass(eq=False)
class Unit:
    """One scenario, or one row of an outline, and its result.

    Attributes
    ----------
    wall_s, processor_s : float
        Duration, and processor time of the scenario with the processes it started.
    element : dict
        Its part of behave's JSON report.
    """

    location: str
    feature: str
    name: str
    steps: list[str]
    tags: set[str]
    touched: bool
    folder: Path = Path()
    started: float = 0.0
    wall_s: float = 0.0
    processor_s: float = 0.0
    pid: int = 0
    element: dict = field(default_factory=dict)
    lane: "Lane | None" = None


class LoadedRunner(Runner):
    """Runner of behave that uses hooks and steps that are loaded already."""

    loaded: Runner

    def load_hooks(self, filename=None):
        """Use the hooks that are loaded."""
        self.hooks = dict(self.loaded.hooks)

    def load_step_definitions(self, extra_step_paths=None):
        """Use the steps that are loaded, which behave keeps in one registry."""


class Processors:
    """The processors of this process, and how many of them are idle.

    Attributes
    ----------
    idle : float
        Mean number of idle processors in the last sample of `SAMPLE_S`.
    """

    def __init__(self):
        self.numbers = os.sched_getaffinity(0)
        self.idle = float(len(self.numbers))
        self.sampled_at = time.monotonic()
        self.idle_ticks = self._read_idle_ticks()

    def _read_idle_ticks(self):
        names = {f"cpu{number}" for number in self.numbers}
        lines = map(str.split, Path("/proc/stat").read_text().splitlines())
        # The fields 4 and 5 are the time of the idle task and of waiting for a disk.
        return sum(int(f[4]) + int(f[5]) for f in lines if f and f[0] in names)

    def sample(self):
        """Measure the idle processors again if the last sample is old enough."""
        now = time.monotonic()
        if now - self.sampled_at < SAMPLE_S:
            return
        ticks = self._read_idle_ticks()
        hertz = os.sysconf("SC_CLK_TCK")
        self.idle = (ticks - self.idle_ticks) / hertz / (now - self.sampled_at)
        self.sampled_at, self.idle_ticks = now, ticks


# Listing


def changed_files():
    """Return the files that the last commit or the working tree changes."""
    command = ["git", "diff", "--name-only", "HEAD~1"]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    # A clone may lack the previous commit. The order is then that of the features.
    return {ROOT / line for line in found.stdout.splitlines()}


def list_units(runner, config):
    """Return the scenarios to run, and the number of those that tags exclude."""
    files = changed_files()
    texts = [f.read_text() for f in files if f.parent.name == "steps" and f.exists()]
    units, excluded = [], 0
    locations = [f for f in runner.feature_locations() if not config.exclude(f)]
    for feature in parse_features(locations, language=config.lang):
        for scenario in feature.walk_scenarios():
            if not config.tag_expression.check(scenario.effective_tags):
                excluded += 1
            if not scenario.should_run(config):
                continue
            names = [n for step in scenario.steps for n in QUOTED.findall(step.name)]
            touched = ROOT / str(feature.filename) in files or any(
                f'"{name}"' in text for name in names for text in texts
            )
            units.append(
                Unit(
                    str(scenario.location),
                    str(feature.filename),
                    scenario.name,
                    [step.name for step in scenario.steps],
                    set(scenario.effective_tags),
                    touched,
                )
            )
    return units, excluded


def list_with_behave(paths, tags):
    """Return the locations that behave itself lists, by a dry run of it."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--dry-run", "--no-summary"]
        command += ["--format", "json", "--outfile", str(report), "--tags", tags]
        subprocess.run([*command, *paths], cwd=ROOT, stdout=subprocess.DEVNULL)
        features = json.loads(report.read_text())
    return sorted(
        element["location"]
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] != "background" and element["status"] != "skipped"
    )


# One scenario


def run_unit(unit, seed):
    """Run one scenario in this process, which was forked for it."""
    os.setsid()
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    output = os.open(unit.folder / "output.txt", os.O_WRONLY | os.O_APPEND)
    os.dup2(output, 1)
    os.dup2(output, 2)
    faulthandler.register(STACKS_SIGNAL, all_threads=True)
    temporary = unit.folder / "tmp"
    temporary.mkdir()
    os.environ["TMPDIR"] = str(temporary)
    tempfile.tempdir = None
    os.environ["ROUTED_LOGS"] = str(unit.folder / "logs")
    random.seed(f"{seed} {unit.name}")
    report = str(unit.folder / "report.json")
    options = ["--no-capture", "--no-color", "--no-skipped", "--no-summary"]
    options += ["--format", "json", "--outfile", report, "--format", "plain"]
    started = used_processor_s()
    LoadedRunner(Configuration([*options, unit.location])).run()
    used = str(used_processor_s() - started)
    (unit.folder / "processor_s").write_text(used)


def used_processor_s():
    """Return the processor time of this process and of its ended children."""
    kinds = resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN
    usages = map(resource.getrusage, kinds)
    return sum(usage.ru_utime + usage.ru_stime for usage in usages)


def start_unit(unit, seed):
    """Run one scenario in a forked process, whose id is then `unit.pid`."""
    unit.pid = os.fork()
    if unit.pid:
        return
    status = 1
    try:
        run_unit(unit, seed)
        status = 0
    except BaseException:
        traceback.print_exc()
    finally:
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(status)


def has_ended(unit):
    """Return whether its process has ended, whose id stays reserved."""
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    return os.waitid(os.P_PID, unit.pid, options) is not None


def kill_unit(unit):
    """End all processes of a unit; return the exit status of the first one."""
    with suppress(ProcessLookupError):
        os.killpg(unit.pid, signal.SIGKILL)
    return os.waitstatus_to_exitcode(os.waitpid(unit.pid, 0)[1])


def finish_unit(unit, reason=""):
    """End the processes of a unit and read its result.

    Parameters
    ----------
    reason : str
        Why the scenario is ended, if it did not end by itself.
    """
    if reason:
        os.kill(unit.pid, STACKS_SIGNAL)
        time.sleep(STACKS_S)
    exit_status = kill_unit(unit)
    unit.wall_s = time.monotonic() - unit.started
    if not reason:
        with suppress(OSError, ValueError):
            report = json.loads((unit.folder / "report.json").read_text())
            elements = [e for f in report for e in f.get("elements", ())]
            (unit.element,) = (e for e in elements if e["location"] == unit.location)
            unit.processor_s = float((unit.folder / "processor_s").read_text())
        reason = f"ended with exit status {exit_status} and no result"
    if not unit.element or exit_status:
        with (unit.folder / "output.txt").open("a") as output:
            output.write(f"\nScenarioError: {reason}\n")
        unit.element |= {
            "type": "scenario",
            "name": unit.name,
            "location": unit.location,
            "steps": [{"name": name} for name in unit.steps],
            "status": "error",
        }
    unit.element["folder"] = str(unit.folder)
    if unit.element["status"] == "passed":
        shutil.rmtree(unit.folder)
    else:
        print(f"{unit.element['status']}: {unit.location} {unit.name}")


# All scenarios


@dataclass(eq=False)
class Lane:
    """Units that wait and need the same of the machine.

    Attributes
    ----------
    fewest : int
        Number of units that run at a time also beside other load, since the whole run
        has a limit of time.
    """

    waiting: list[Unit]
    fewest: int


class Run:
    """Runs units, as many at a time as the processors allow.

    Attributes
    ----------
    jobs : int
        Largest number of units at a time; 0 to derive it from the idle processors.
    """

    def __init__(self, units, folder, jobs, seed, limit_s):
        self.folder, self.jobs, self.seed = folder, jobs, seed
        self.limit_s = limit_s
        self.processors = Processors()
        self.running, self.done = [], []
        self.count = len(units)
        self.most = 0
        self.began = self.last_start = self.last_progress = time.monotonic()
        self.alone = [u for u in units if "alone" in u.tags]
        beside = [u for u in units if "alone" not in u.tags]
        beside.sort(key=lambda u: ("first" not in u.tags, not u.touched))
        count = len(self.processors.numbers)
        # A scenario without processes uses one processor. One that starts processes
        # waits for them and uses a quarter of one on average.
        in_memory = Lane([], max(2, count // 3))
        of_processes = Lane([], max(2, count - 2))
        for unit in beside:
            lane = of_processes if "processes" in unit.tags else in_memory
            lane.waiting.append(unit)
        self.lanes = [of_processes, in_memory]

    def run(self):
        """Run all units; end their processes also if this is interrupted."""
        try:
            self._run_lanes(self.lanes, self.jobs)
            self._run_lanes([Lane(self.alone, 1)], 1)
        finally:
            for unit in self.running:
                kill_unit(unit)
        return self.done

    def _run_lanes(self, lanes, jobs):
        while self.running or any(lane.waiting for lane in lanes):
            self.processors.sample()
            for lane in lanes:
                if lane.waiting and self._may_start(lane, jobs):
                    self._start(lane)
                    # The other lane is the next one to use an idle processor.
                    lanes = [*lanes[1:], lanes[0]]
                    break
            time.sleep(POLL_S)
            self._collect()
            self._show_progress()

    def _may_start(self, lane, jobs):
        """Return whether another unit of a lane may start beside those that run."""
        if jobs:
            return len(self.running) < jobs
        if time.monotonic() - self.last_start < START_PAUSE_S:
            return False
        if sum(unit.lane is lane for unit in self.running) < lane.fewest:
            return True
        most = len(self.processors.numbers)
        return len(self.running) < most and self.processors.idle >= IDLE_TO_START

    def _start(self, lane):
        unit = lane.waiting.pop(0)
        unit.lane = lane
        number = len(self.done) + len(self.running)
        feature = Path(unit.feature).stem
        unit.folder = self.folder / f"{number:04d}-{feature}"
        unit.folder.mkdir()
        (unit.folder / "output.txt").touch()
        unit.started = self.last_start = time.monotonic()
        start_unit(unit, self.seed)
        self.running.append(unit)
        self.most = max(self.most, len(self.running))

    def _collect(self):
        now = time.monotonic()
        for unit in list(self.running):
            late = now - unit.started > self.limit_s
            if not late and not has_ended(unit):
                continue
            reason = f"did not end within {self.limit_s:.0f} s" if late else ""
            self.running.remove(unit)
            finish_unit(unit, reason)
            self.done.append(unit)
            times = f"{unit.wall_s:.2f}\t{unit.processor_s:.2f}\t{unit.location}\n"
            with (self.folder / "times.txt").open("a") as log:
                log.write(times)

    def _show_progress(self):
        now = time.monotonic()
        if now - self.last_progress < PROGRESS_S:
            return
        self.last_progress = now
        bad = sum(u.element["status"] in known_red.FAILURES for u in self.done)
        print(
            f"{now - self.began:4.0f} s: {len(self.done)} of {self.count} done, "
            f"{bad} failed, {len(self.running)} running, "
            f"{self.processors.idle:.1f} processors idle",
            flush=True,
        )


# Report


def write_report(units, folder):
    """Write the results as one JSON report of behave; return it."""
    features = {}
    for unit in units:
        features.setdefault(unit.feature, []).append(unit.element)
    report = [{"location": f, "elements": e} for f, e in sorted(features.items())]
    (folder / "report.json").write_text(json.dumps(report, indent=1))
    return report


def find_differences(units, listed):
    """Return an error line for each scenario that ran not exactly once."""
    ran = [unit.location for unit in units]
    lost = [f"not run: {location}" for location in set(listed) - set(ran)]
    extra = [f"not listed by behave: {location}" for location in set(ran) - set(listed)]
    twice = [
        f"run twice: {location}" for location in set(ran) if ran.count(location) > 1
    ]
    return sorted(lost + extra + twice)


def print_slowest(units, run):
    """Print the slowest scenarios, and the totals of time."""
    print(f"the {SLOWEST} slowest scenarios (seconds; of them processor time):")
    for unit in sorted(units, key=lambda u: -u.wall_s)[:SLOWEST]:
        used = f"{unit.wall_s:7.1f} {unit.processor_s:6.1f}"
        print(f"{used}  {unit.location} {unit.name}")
    one_by_one = sum(unit.wall_s for unit in units)
    processor = sum(unit.processor_s for unit in units)
    print(
        f"{time.monotonic() - run.began:.0f} s for {one_by_one:.0f} s of scenarios, "
        f"{processor:.0f} s of processor time, at most {run.most} at a time"
    )


def read_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("paths", nargs="*", default=["features"])
    parser.add_argument("--tags", default="not @large")
    parser.add_argument("--jobs", type=int, default=0, help="0: by idle processors")
    parser.add_argument("--seed", default="1", help="seed of the random module")
    parser.add_argument(
        "--limit", type=float, default=SCENARIO_LIMIT_S, help="of a scenario, in s"
    )
    parser.add_argument("--known", default=str(ROOT / "KNOWN-RED.txt"))
    return parser.parse_args()


def main():
    """Run the scenarios and report; return 0 if only known reds failed."""
    options = read_options()
    os.chdir(ROOT)
    # A forked process must not inherit lines that are not written yet.
    sys.stdout.reconfigure(line_buffering=True)
    # Ends the processes of the scenarios too, which are in groups of their own.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("ended by a signal"))
    config = Configuration(["--tags", options.tags, *options.paths])
    runner = LoadedRunner.loaded = Runner(config)
    runner.path_manager.__enter__()
    runner.setup_paths()
    runner.load_hooks()
    runner.load_step_definitions()
    units, skipped = list_units(runner, config)
    Path("run").mkdir(exist_ok=True)
    stamp = time.strftime("features-%Y%m%d-%H%M%S-")
    folder = Path(tempfile.mkdtemp(prefix=stamp, dir=ROOT / "run"))
    run = Run(units, folder, options.jobs, options.seed, options.limit)
    done = run.run()
    report = write_report(done, folder)
    print_slowest(done, run)
    errors = find_differences(done, list_with_behave(options.paths, options.tags))
    is_whole = options.paths == ["features"]
    status = known_red.judge(report, options.known, is_whole)
    for error in errors:
        print(error)
    failed = sum(unit.element["status"] != "passed" for unit in done)
    print(f"report and logs of failures: {folder}")
    print(f"{len(done) - failed} passed, {failed} failed, {skipped} skipped")
    return int(bool(errors) or bool(status))


if __name__ == "__main__":
    sys.exit(main())
