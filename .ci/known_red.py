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
MESSAGE_LINES = 40
LOG_LINES = 20
ROUTED_CASE = re.compile('the routed case "(.*)" holds')


def scenarios(report):
    """Yield the name, the status and the errors of each scenario of a JSON report."""
    for feature in report:
        for element in feature.get("elements", ()):
            if element["type"] == "background":
                continue
            outline, _, is_row = element["name"].partition(" -- @")
            steps = element["steps"]
            name = f"{outline}: {steps[0]['name']}" if is_row else outline
            results = [step.get("result", {}) for step in steps]
            messages = [r["error_message"] for r in results if "error_message" in r]
            yield name, element["status"], messages


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


def main(report_path, list_path, status):
    """Print the failures; return 0 if all of them are known reds, which exist.

    Parameters
    ----------
    status : str
        Exit status of the test run.
    """
    lines = Path(list_path).read_text().splitlines()
    known = {line[len(PREFIX) :] for line in lines if line.startswith(PREFIX)}
    found = list(scenarios(json.loads(Path(report_path).read_text())))
    missing = known - {name for name, *_ in found}
    for name in sorted(missing):
        print(f"KNOWN-RED.txt names a scenario that does not exist: {name}")
    failed = [(n, m) for n, status, m in found if status in {"failed", "error"}]
    for name, messages in failed:
        print(f"{'known red, passed over' if name in known else 'failed'}: {name}")
        for message in messages:
            text = message if isinstance(message, str) else "\n".join(message)
            print("\n".join(text.splitlines()[-MESSAGE_LINES:]))
        print_logs(name)
    if int(status) and not failed:
        print(f"the test run ended with status {status} and no failed scenario")
        return 1
    return int(bool(missing) or any(name not in known for name, _ in failed))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:4]))
