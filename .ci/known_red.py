"""Judges the failed scenarios of a test run against the list of known reds.

A line ``ci passes over: NAME`` in KNOWN-RED.txt names a scenario; one of an outline by
the outline's name, a colon and its first step. Prints why each failed scenario failed,
and the end of the logs of its instances.
"""

import re
from pathlib import Path

PREFIX = "ci passes over: "
FAILURES = {"failed", "error"}
MESSAGE_LINES = 40
LOG_LINES = 20
ERROR = re.compile(r"^[ |+]*(\w+(?:\.\w+)*(?:Error|Exception|Cancelled|Timeout)\b.*)$")


def scenarios(report):
    """Yield the name in the list and the element of each scenario."""
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            outline, _, is_row = element["name"].partition(" -- @")
            first_step = element["steps"][0]["name"]
            yield f"{outline}: {first_step}" if is_row else outline, element


def print_failure(folder):
    """Print the errors of a scenario, the end of its output and of each log."""
    output = folder / "output.txt"
    lines = output.read_text(errors="replace").splitlines() if output.exists() else []
    errors = [match.group(1) for match in map(ERROR.match, lines) if match]
    print("\n".join(["errors:", *errors, *lines[-MESSAGE_LINES:]]))
    for log in sorted(folder.rglob("*.log")):
        print(f"{log.relative_to(folder)}:")
        print("\n".join(log.read_text(errors="replace").splitlines()[-LOG_LINES:]))
    print(f"output and logs: {folder}")


def judge(report, list_path, is_whole):
    """Print the failures; return 0 if all of them are known reds, which exist.

    Parameters
    ----------
    report : list of dict
        Report of behave. The field `folder` of an element names the folder with the
        output and the logs of its scenario.
    is_whole : bool
        Whether all scenarios were run, so that each known red has to be among them.
    """
    lines = Path(list_path).read_text().splitlines()
    known = {line[len(PREFIX) :] for line in lines if line.startswith(PREFIX)}
    found = list(scenarios(report))
    missing = known - {name for name, _ in found} if is_whole else set()
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a scenario that does not exist: {name}")
    # A scenario that did not run to its end has not passed either.
    failed = [(n, e) for n, e in found if e["status"] != "passed"]
    titles = [
        f"{'known red, passed over' if name in known else 'failed'}: {name}"
        for name, _ in failed
    ]
    for title, (_, element) in zip(titles, failed, strict=True):
        print(title)
        print_failure(Path(element["folder"]))
    # Again, since only the end of a long output may be kept.
    print("\n".join(titles))
    return int(bool(missing) or any(name not in known for name, _ in failed))
