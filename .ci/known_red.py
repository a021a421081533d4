"""Judges the failed scenarios of a test run against the list of known reds.

A line ``ci passes over: NAME`` in KNOWN-RED.txt names a scenario; one of an outline by
the outline's name, a colon and its first step. Prints why each failed scenario failed,
and the end of the logs of its instances.
"""

import json
import os
import re
import sys
from pathlib import Path

PREFIX = "ci passes over: "
FAILURES = {"failed", "error"}
MESSAGE_LINES = 40
LOG_LINES = 20
NEXT_SCENARIO = re.compile(r"^(?:  Scenario|Feature)", re.MULTILINE)
ROUTED_CASE = re.compile('the routed case "(.*)" holds')
ERROR = re.compile(r"^[ |+]*(\w+(?:\.\w+)*(?:Error|Exception|Cancelled|Timeout)\b.*)$")


def scenarios(report):
    """Yield the name in the list, the title and the status of each scenario."""
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            outline, _, is_row = element["name"].partition(" -- @")
            first_step = element["steps"][0]["name"]
            name = f"{outline}: {first_step}" if is_row else outline
            yield name, element["name"], element["status"]


def print_output(title, output):
    """Print the errors of a scenario, then the end of what it has printed."""
    _, _, found = output.partition(f": {title}\n")
    lines = NEXT_SCENARIO.split(found, maxsplit=1)[0].splitlines()
    errors = [match.group(1) for match in map(ERROR.match, lines) if match]
    print("\n".join(["errors:", *errors, *lines[-MESSAGE_LINES:]]))


def print_logs(name):
    """Print the end of each log that a failed routed case has left."""
    case = ROUTED_CASE.search(name)
    kept = os.environ.get("ROUTED_LOGS")
    if case is None or kept is None:
        return
    folder = Path(kept) / case.group(1).replace(" ", "-")
    for log in sorted(folder.glob("*.log")):
        print(f"{log.name}:")
        print("\n".join(log.read_text().splitlines()[-LOG_LINES:]))


def main(report_path, output_path, list_path, status):
    """Print the failures; return 0 if all of them are known reds, which exist.

    Parameters
    ----------
    report_path, output_path : str
        Reports of behave, as JSON and as plain text. The first has no messages of
        errors that are no failed assertions, such as groups of exceptions.
    status : str
        Exit status of the test run.
    """
    lines = Path(list_path).read_text().splitlines()
    known = {line[len(PREFIX) :] for line in lines if line.startswith(PREFIX)}
    found = list(scenarios(json.loads(Path(report_path).read_text())))
    missing = known - {name for name, *_ in found}
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a scenario that does not exist: {name}")
    output = Path(output_path).read_text()
    failed = [(n, title) for n, title, result in found if result in FAILURES]
    for name, title in failed:
        print(f"{'known red, passed over' if name in known else 'failed'}: {name}")
        print_output(title, output)
        print_logs(name)
    if int(status) and not failed:
        print(f"the test run ended with status {status} and no failed scenario")
        return 1
    return int(bool(missing) or any(name not in known for name, _ in failed))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:5]))
