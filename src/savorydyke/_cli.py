"""``savorydyke``: the operators' command-line tool.

Exit statuses: 0 success, 1 refused or not in force at all instances, 2 findings or
bad arguments, 3 no instance answered, 4 outcome unknown.
"""

import getpass
import json
import os
import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from savorydyke import __version__, _keys
from savorydyke._build import build_digest
from savorydyke._exceptions import FindingsError
from savorydyke._explain import Line, lines_of_request, read_lines
from savorydyke._explain import causes as count_causes
from savorydyke._findings import is_address
from savorydyke._manifest import Manifest, check_manifest, read_manifest
from savorydyke._manifest_diff import diff as diff_manifests
from savorydyke._manifest_edit import EditError, set_approval, set_drained
from savorydyke._operators_client import Answer, OperatorsClient, Unreachable

EXIT_REFUSED = 1
EXIT_FINDINGS = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
IN_FORCE_TIMEOUT_S = 4.0


@dataclass
class GlobalOptions:
    """Options given before the command."""

    authority: str = ""


GLOBAL_OPTIONS = GlobalOptions()
app = typer.Typer(help="Operate a savorydyke fleet.", no_args_is_help=True)

Instances = Annotated[
    str,
    typer.Option(
        "--instances",
        envvar="SAVORYDYKE_INSTANCES",
        help="Operators' addresses of instances, separated by commas.",
    ),
]
Key = Annotated[
    str,
    typer.Option(
        "--key",
        envvar="SAVORYDYKE_OPERATOR_KEY",
        help="Operator key; better given in the environment.",
    ),
]
Authority = Annotated[
    str,
    typer.Option(
        "--authority",
        envvar="SAVORYDYKE_AUTHORITY",
        help="PEM file of the authority, if instances serve TLS.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
By = Annotated[str, typer.Option("--by", help="Who applies; the login by default.")]
ManifestFile = Annotated[Path, typer.Argument(help="Manifest, JSON with comments.")]
NoWait = Annotated[bool, typer.Option("--no-wait", help="Do not wait for all.")]


def _show(value: dict[str, Any], text: str, as_json: bool) -> None:
    typer.echo(json.dumps(value, indent=2) if as_json else text)


def _fail(value: dict[str, Any], text: str, as_json: bool, status: int) -> NoReturn:
    if as_json:
        typer.echo(json.dumps(value, indent=2))
    else:
        typer.echo(text, err=True)
    raise typer.Exit(status)


@app.callback()
def _options(authority: Authority = "") -> None:
    """Operate a savorydyke fleet."""
    if authority and not Path(authority).is_file():
        text = f"--authority: no file {authority!r}"
        _fail({"error": text}, text, False, EXIT_FINDINGS)
    GLOBAL_OPTIONS.authority = authority


def _client(instances: str, key: str) -> OperatorsClient:
    addresses = [part.strip() for part in instances.split(",") if part.strip()]
    bad = [address for address in addresses if not is_address(address)]
    if not addresses or bad:
        text = f"--instances: not an IP number and a port: {', '.join(bad) or '(none)'}"
        _fail({"error": text}, text, False, EXIT_FINDINGS)
    return OperatorsClient(addresses, key, GLOBAL_OPTIONS.authority)


def _answered(answer: Answer | Unreachable, as_json: bool) -> Answer:
    if isinstance(answer, Unreachable):
        text = "no instance answered: " + "; ".join(answer.causes)
        value = {"error": "unreachable", "causes": answer.causes}
        _fail(value, text, as_json, EXIT_UNREACHABLE)
    if answer.status == 401:
        _fail(
            {"error": "bad-key"}, "the operator key is unknown", as_json, EXIT_REFUSED
        )
    return answer


def _read(path: Path, as_json: bool) -> tuple[str, Manifest]:
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _fail({"error": str(error)}, f"{path}: {error}", as_json, EXIT_FINDINGS)
    manifest, findings = check_manifest(text, str(path))
    if findings.items:
        lines = [str(finding) for finding in findings.items]
        value = {"findings": lines}
        _fail(value, "\n".join(lines), as_json, EXIT_FINDINGS)
    return text, manifest


@app.command()
def version() -> None:
    """Print the version and the digest of the sources, as `Started.` has it."""
    typer.echo(f"savorydyke {__version__}, build {build_digest()}")


@app.command()
def check(file: ManifestFile, as_json: AsJson = False) -> None:
    """Check a manifest and report all findings with their places."""
    _, manifest = _read(file, as_json)
    counts = {
        "teams": len(manifest.teams),
        "tiers": len(manifest.tiers),
        "pools": len(manifest.pools),
        "endpoints": len(manifest.endpoints),
        "approvals": len(manifest.approvals),
    }
    text = ", ".join(f"{count} {name}" for name, count in counts.items())
    _show({"findings": [], **counts}, f"{file}: no findings ({text})", as_json)


LogFiles = Annotated[
    list[Path] | None,
    typer.Argument(help="Log files of instances; standard input if none."),
]


def _log_lines(files: list[Path] | None) -> list[Line]:
    if not files:
        return list(read_lines(sys.stdin))
    lines: list[Line] = []
    for file in files:
        try:
            with file.open(encoding="utf-8", errors="replace") as texts:
                lines += read_lines(texts)
        except OSError as error:
            text = f"{file}: {error.strerror}"
            _fail({"error": text}, text, False, EXIT_FINDINGS)
    return lines


@app.command()
def explain(request: str, files: LogFiles = None, as_json: AsJson = False) -> None:
    """Show what instances logged about one request, in order of time."""
    found = lines_of_request(_log_lines(files), request)
    if not found:
        text = f"no line about request {request!r}"
        _fail({"error": text}, text, as_json, EXIT_REFUSED)
    value = {"request": request, "lines": [vars(line) for line in found]}
    _show(value, "\n".join(str(line) for line in found), as_json)


@app.command()
def causes(
    files: LogFiles = None,
    since: Annotated[str, typer.Option("--since", help="First time.")] = "",
    until: Annotated[str, typer.Option("--until", help="Last time.")] = "",
    as_json: AsJson = False,
) -> None:
    """Count refusals, failed attempts and ends by cause."""
    counts = count_causes(_log_lines(files), since, until)
    rows = [f"{number:6}  {cause}" for cause, number in counts.most_common()]
    _show(dict(counts), "\n".join(rows), as_json)


@app.command()
def diff(
    file: ManifestFile, instances: Instances, key: Key, as_json: AsJson = False
) -> None:
    """Show what a manifest would change in the configuration in force."""
    _, manifest = _read(file, as_json)
    client = _client(instances, key)
    record = _answered(client.configuration(), as_json).value
    changes = diff_manifests(_manifest_of(record), manifest)
    lines = [str(change) for change in changes]
    value = {"revision": record["revision"], "changes": lines}
    text = "\n".join([f"against revision {record['revision']}:", *lines])
    _show(value, text if lines else "no changes", as_json)


def _manifest_of(record: dict[str, Any]) -> Manifest:
    if not record["text"]:
        empty: dict[str, list] = {
            "tiers": [],
            "teams": [],
            "pools": [],
            "endpoints": [],
        }
        return read_manifest(json.dumps(empty))
    return read_manifest(record["text"])


@app.command()
def apply(
    file: ManifestFile,
    instances: Instances,
    key: Key,
    base: Annotated[
        int, typer.Option("--base", help="Revision that the manifest was made from.")
    ] = -1,
    by: By = "",
    no_wait: NoWait = False,
    as_json: AsJson = False,
) -> None:
    """Apply a manifest as a whole; of racing operators one wins."""
    text, _ = _read(file, as_json)
    client = _client(instances, key)
    if base < 0:
        base = _answered(client.configuration(), as_json).value["revision"]
    _apply(client, text, base, by, no_wait, as_json)


def _apply(
    client: OperatorsClient, text: str, base: int, by: str, no_wait: bool, as_json: bool
) -> None:
    answer = _answered(client.apply(text, base, by or _login()), as_json)
    value = answer.value
    if value.get("result") == "accepted":
        _show_in_force(client, value["revision"], no_wait, as_json)
        return
    status = EXIT_UNKNOWN if value.get("result") == "undecided" else EXIT_REFUSED
    _fail(value, _apply_text(value, base), as_json, status)


def _apply_text(value: dict[str, Any], base: int) -> str:
    match value.get("result"):
        case "superseded":
            return (
                f"not applied: made from revision {base}, but revision "
                f"{value['revision']} was applied by {value['by']} at {value['at']}"
            )
        case "invalid":
            return "\n".join(["not applied:", *value["findings"]])
        case "undecided":
            return f"outcome unknown: {value['cause']}; ask for the status again"
    return f"not applied: {value.get('cause', value.get('detail', 'unknown cause'))}"


def _show_in_force(
    client: OperatorsClient, revision: int, no_wait: bool, as_json: bool
) -> None:
    seen: dict[str, int | None] = {}
    timeout_s = 0.0 if no_wait else IN_FORCE_TIMEOUT_S
    if not as_json:
        typer.echo(f"accepted as revision {revision}")
    for seen in client.wait_in_force(revision, timeout_s):
        reached = sum(1 for value in seen.values() if (value or 0) >= revision)
        if not as_json and sys.stderr.isatty():
            typer.echo(f"\rin force at {reached} of {len(seen)}", nl=False, err=True)
    lines = [f"  {a}: {'no answer' if r is None else r}" for a, r in seen.items()]
    value = {"result": "accepted", "revision": revision, "in_force": seen}
    if as_json:
        typer.echo(json.dumps(value, indent=2))
    else:
        typer.echo("\n".join(["revision in force:", *lines]))
    if not no_wait and any((r or 0) < revision for r in seen.values()):
        raise typer.Exit(EXIT_REFUSED)


@app.command()
def status(instances: Instances, key: Key, as_json: AsJson = False) -> None:
    """Show instances, endpoints, queues and the revision in force."""
    client = _client(instances, key)
    results = client.statuses()
    answers = {
        address: _answered(answer, as_json).value
        for address, answer in results
        if isinstance(answer, Answer)
    }
    if as_json:
        typer.echo(json.dumps(answers, indent=2))
    else:
        for address, answer in results:
            if isinstance(answer, Unreachable):
                typer.echo(f"{address}: no answer")
            else:
                typer.echo(_status_text(address, answer.value))
    if not answers:
        raise typer.Exit(EXIT_UNREACHABLE)


def _status_text(address: str, value: dict[str, Any]) -> str:
    live = sum(1 for m in value["members"].values() if m["state"] == "live")
    lines = [
        f"{value['instance']} at {address}: revision {value['revision']}, "
        f"{'ready' if value['ready'] else 'not ready'}, sees {live} live peers, "
        f"{value['pending']} waiting, {value['in_flight']} in flight"
    ]
    for pool, scheduler in value["cells"].items():
        lines.append(f"  home of {pool}: {scheduler['waiting']} waiting")
        for name, load in scheduler["endpoints"].items():
            state = "leaving" if load["leaving"] else "ok"
            if not load["usable"] and not load["leaving"]:
                state = "not usable"
            lines.append(f"    {name}: {state}, {load['in_flight']} in flight")
    return "\n".join(lines)


def _change(instances: str, key: str, by: str, as_json: bool, edit: Any) -> None:
    """Edit the manifest in force and apply the result."""
    client = _client(instances, key)
    record = _answered(client.configuration(), as_json).value
    try:
        text = edit(record["text"])
    except (EditError, FindingsError) as error:
        _fail({"error": str(error)}, str(error), as_json, EXIT_REFUSED)
    _apply(client, text, record["revision"], by, False, as_json)


@app.command()
def drain(
    endpoint: str, instances: Instances, key: Key, by: By = "", as_json: AsJson = False
) -> None:
    """Give an endpoint no new work; what runs there is finished."""
    _change(instances, key, by, as_json, lambda text: set_drained(text, endpoint, True))


@app.command()
def undrain(
    endpoint: str, instances: Instances, key: Key, by: By = "", as_json: AsJson = False
) -> None:
    """Give a drained endpoint new work again."""
    _change(
        instances, key, by, as_json, lambda text: set_drained(text, endpoint, False)
    )


@app.command()
def approve(
    team: str,
    pool: str,
    owner: str,
    instances: Instances,
    key: Key,
    by: By = "",
    as_json: AsJson = False,
) -> None:
    """Record an owner's approval of a team at the owner's endpoints."""
    now = datetime.now(UTC).isoformat(timespec="seconds")
    who = by or _login()
    _change(
        instances,
        key,
        by,
        as_json,
        lambda text: set_approval(text, team, pool, owner, who, now),
    )


@app.command()
def withdraw(
    team: str,
    pool: str,
    owner: str,
    instances: Instances,
    key: Key,
    by: By = "",
    as_json: AsJson = False,
) -> None:
    """Withdraw an owner's approval of a team."""
    _change(
        instances,
        key,
        by,
        as_json,
        lambda text: set_approval(text, team, pool, owner, None, ""),
    )


@app.command()
def approvals(instances: Instances, key: Key, as_json: AsJson = False) -> None:
    """List approvals in force, with who gave them and when."""
    client = _client(instances, key)
    record = _answered(client.configuration(), as_json).value
    manifest = _manifest_of(record)
    rows = [vars(approval) for approval in manifest.approvals]
    lines = [
        f"{a.team} at {a.owner}'s endpoints of {a.pool}: by {a.by}, {a.at}"
        for a in manifest.approvals
    ]
    applied = f"revision {record['revision']}, applied by {record['by']} {record['at']}"
    value = {
        "revision": record["revision"],
        "applied_by": record["by"],
        "applied_at": record["at"],
        "approvals": rows,
    }
    _show(value, "\n".join([applied, *lines]), as_json)


@app.command("new-key")
def new_key(as_json: AsJson = False) -> None:
    """Make a bearer key for a team, with its hash for the manifest."""
    bearer = _keys.new_key()
    hashed = _keys.hash_key(bearer)
    text = f"key (give it to the team): {bearer}\nhash (for the manifest): {hashed}"
    _show({"key": bearer, "hash": hashed}, text, as_json)


def _login() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return os.environ.get("USER", "unknown")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
