"""Steps about manifests and settings."""

import copy
import json
import subprocess
import sys
import tempfile
from pathlib import Path

import jsonschema
from behave import given, then, when
from hypothesis import given as with_cases
from hypothesis import settings
from hypothesis import strategies as st

import savorydyke
from savorydyke._jsonc import parse
from savorydyke._manifest_diff import diff

ROOT = Path(__file__).parents[2]
SCHEMA = ROOT / "src" / "savorydyke" / "manifest.schema.json"
CASES = settings(derandomize=True, deadline=None, max_examples=300)


def small_manifest():
    return {
        "tiers": [{"name": "high", "deadline_s": 10}],
        "teams": [
            {"name": "crews", "tier": "high", "keys": [savorydyke.hash_key("k", "00")]}
        ],
        "pools": [{"name": "digest", "kind": "engine", "models": ["m"]}],
        "endpoints": [
            {
                "name": "e1",
                "pool": "digest",
                "address": "127.0.0.1:9001",
                "data_centre": "a",
                "owner": "owners",
            },
            {
                "name": "e2",
                "pool": "digest",
                "address": "127.0.0.1:9002",
                "data_centre": "a",
                "owner": "others",
            },
        ],
        "access": [{"team": "crews", "pool": "digest", "endpoints": ["e1"]}],
        "approvals": [
            {
                "team": "crews",
                "pool": "digest",
                "owner": "owners",
                "by": "lead",
                "at": "2026-12-01",
            }
        ],
    }


def read(value):
    return savorydyke.read_manifest(json.dumps(value))


@given("the manifest")
def the_manifest(context):
    context.manifest = context.text


@given("the manifest text {text}")
def manifest_text(context, text):
    context.manifest = text


@given("the example {name}")
def example(context, name):
    context.manifest = (ROOT / "examples" / f"{name}.jsonc").read_text()


@when("it is checked")
def check(context):
    _, context.findings = savorydyke.check_manifest(context.manifest, "m.json")


@then("the findings are")
def findings_are(context):
    found = context.findings.items
    assert len(found) == len(context.table.rows), [str(x) for x in found]
    for row in context.table:
        line, path, message = row["line"], row["path"], row["message"]
        assert any(
            str(f.line) == line and f.path == path and message in f.message
            for f in found
        ), (line, path, [str(x) for x in found])


@then("the only finding contains {message}")
def only_finding(context, message):
    assert len(context.findings.items) == 1, context.findings.items
    assert message in context.findings.items[0].message, context.findings.items


@then("there are no findings")
def no_findings(context):
    assert not context.findings.items, [str(x) for x in context.findings.items]


@then("it matches the published schema")
def matches_schema(context):
    schema = json.loads(SCHEMA.read_text())
    jsonschema.validate(parse(context.manifest).value, schema)


@given("settings without an instance, with a host name and a short key")
def bad_settings(context):
    value = {
        "data_centre": "a",
        "callers": "localhost:80",
        "peers": "127.0.0.1:1",
        "operators": "127.0.0.1:2",
        "platform": ["127.0.0.1:3"],
        "shared_key": "short",
        "operator_key": "key",
    }
    folder = tempfile.TemporaryDirectory()
    context.stack.callback(folder.cleanup)
    context.path = Path(folder.name) / "settings.json"
    context.path.write_text(json.dumps(value, indent=1))


@when("the daemon checks them")
def daemon_checks(context):
    arguments = ["-m", "savorydyke", "--config", str(context.path), "--check"]
    context.result = subprocess.run(
        [sys.executable, *arguments], capture_output=True, text=True, check=False
    )


@then("it exits with status 2 and reports 3 findings with file and line")
def reports_findings(context):
    lines = context.result.stderr.splitlines()
    assert context.result.returncode == 2, context.result
    assert len(lines) == 3, lines
    assert any("'instance' is missing" in line for line in lines)
    assert any("settings.json:3: callers" in line for line in lines), lines
    assert any("shared_key" in line for line in lines)


@given("a manifest with access and approval of one team")
def approved_manifest(context):
    context.value = small_manifest()


@then("that team reaches the endpoint")
def reaches(context):
    assert read(context.value).reachable("crews", "digest") == {"e1"}


@then("without the {part} it reaches nothing")
def reaches_nothing(context, part):
    value = copy.deepcopy(context.value)
    value["access" if part == "access" else "approvals"] = []
    assert not read(value).reachable("crews", "digest")


@then("with another owner's approval it reaches nothing")
def other_owner(context):
    value = copy.deepcopy(context.value)
    value["approvals"][0]["owner"] = "others"
    assert not read(value).reachable("crews", "digest")


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["tiers", "teams", "pools", "endpoints", "name", "tier", "keys", "pool"]
            )
            | st.text(max_size=4),
            children,
            max_size=5,
        )
    ),
    max_leaves=30,
)


@then("hypothesis finds no text on which the {what} reader fails")
def reader_never_fails(context, what):
    check = savorydyke.check_manifest
    if what == "settings":
        check = savorydyke.check_settings

    @CASES
    @with_cases(st.text() | VALUES.map(json.dumps))
    def never_fails(text):
        check(text, "file")

    never_fails()


@then(
    "hypothesis finds no JSON that the reader of JSON with comments parses differently"
)
def same_as_json(context):
    @CASES
    @with_cases(VALUES.filter(lambda value: value == value))
    def same(value):
        text = json.dumps(value, indent=1)
        if "NaN" in text or "Infinity" in text:
            return
        assert parse("// comment\n" + text + "/* end */").value == json.loads(text)

    same()


@given("two manifests that differ in a team, an endpoint and an approval")
def two_manifests(context):
    old, new = small_manifest(), small_manifest()
    new["teams"][0]["weight"] = 2
    new["endpoints"][1]["drained"] = True
    new["approvals"] = []
    context.pair = read(old), read(new)


@then("the diff has three lines")
def three_lines(context):
    lines = [str(change) for change in diff(*context.pair)]
    assert lines == [
        "~ team crews: weight 1.0 -> 2.0",
        "~ endpoint e2: drained False -> True",
        "- approval crews digest owners",
    ], lines
