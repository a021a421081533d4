"""Steps about readers of untrusted bytes."""

import contextlib
import itertools
import json
from types import SimpleNamespace

import trio
from behave import then
from hypothesis import given as with_cases
from hypothesis import settings
from hypothesis import strategies as st
from pool_scheduler_steps import manifest_value

import savorydyke
from savorydyke._calls import Call, RequestHead, parse_head, parse_model_call
from savorydyke._claims import Claim, ClaimState, KeptAnswer, parse_claim
from savorydyke._configuration import read_record
from savorydyke._endpoint_states import EndpointStates
from savorydyke._exceptions import PlatformUnavailableError, ProtocolError
from savorydyke._monitor import Monitor
from savorydyke._platform import _decode_list, _decode_values
from savorydyke._pool_scheduler import new_pool_scheduler
from savorydyke._problems import Refusal
from savorydyke._relay import STREAM_END, RelayProgress

CASES = settings(derandomize=True, deadline=None, max_examples=200)
FIELD_NAMES = """
Key Value ModifyIndex Service ID Meta state answer attempt digest events serial evicted
requests leaving model messages prompt max_tokens stream content revision
"""
NAMES = st.sampled_from(FIELD_NAMES.split())
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=6)
    ),
    max_leaves=25,
)
TEXTS = st.binary(max_size=30) | VALUES.map(lambda value: json.dumps(value).encode())


def check(cases, function, *allowed):
    @CASES
    @with_cases(cases)
    def run(case):
        with contextlib.suppress(*allowed):
            function(case)

    run()


FLOOD = b"x" * 65536


@then("hypothesis finds no response that raises anything but PlatformUnavailableError")
def platform_responses(context):
    check(TEXTS, _decode_values, PlatformUnavailableError)
    check(TEXTS, _decode_list, PlatformUnavailableError)


@then("hypothesis finds no stored claim that raises anything but ProtocolError")
def stored_claims(context):
    check(TEXTS, parse_claim, ProtocolError)


@then("hypothesis finds no stored record that raises anything but ProtocolError")
def stored_records(context):
    check(TEXTS, read_record, ProtocolError)


@then("every claim is the same after being stored and read")
def claims_survive(context):
    text = st.text(max_size=8)
    answers = st.builds(
        KeptAnswer,
        st.integers(100, 599),
        st.lists(st.tuples(text, text), max_size=3).map(tuple),
        st.binary(max_size=20),
    )
    claims = st.builds(
        Claim,
        st.sampled_from(ClaimState),
        text,
        text,
        st.integers(0, 2**60),
        text,
        st.floats(0, 2e9),
        st.none() | answers,
    )

    def same(claim):
        assert parse_claim(claim.to_bytes()) == claim

    check(claims, same)


def manifest():
    return savorydyke.read_manifest(json.dumps(manifest_value([("e1", 2, 1000)])))


@then("hypothesis finds no load report or cache events on which the monitor fails")
def reports(context):
    spec = manifest().endpoints["e1"]

    def poll(report):
        async def get_json(endpoint, target):
            return report if isinstance(report, dict) else None

        scheduler = new_pool_scheduler("p", manifest(), 0.0)
        pool_host = SimpleNamespace(
            hosted={"p": SimpleNamespace(scheduler=scheduler)},
            mark_reported=lambda pool, endpoint: None,
        )
        endpoint_client = SimpleNamespace(get_json=get_json)
        monitor = Monitor(
            pool_host, EndpointStates(), endpoint_client, None, None, None, manifest
        )
        trio.run(monitor._poll_load, spec)
        trio.run(monitor._poll_cache, spec)
        assert scheduler.endpoints["e1"].credits(1.0) >= 1

    check(VALUES, poll)


HEADER_NAMES = (
    b"authorization content-length x-request-id last-event-id "
    b"idempotency-key x-deadline-seconds x-other"
)
ODD_VALUES = st.sampled_from([b"5", b"Bearer k", b"nan", b"-1"])
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(HEADER_NAMES.split()), st.binary(max_size=12) | ODD_VALUES
    ),
    max_size=6,
)


@then("hypothesis finds no head or body that is neither read as a call nor refused")
def heads(context):
    checked = manifest()

    def read(case):
        headers, body, path = case
        scope = {
            "method": "POST",
            "path": path,
            "query_string": b"",
            "headers": headers,
        }
        head = parse_head(scope)
        if isinstance(head, Refusal):
            return
        assert isinstance(head, RequestHead)
        call = parse_model_call(head, "high", checked, body, 0.0)
        assert isinstance(call, Call | Refusal)
        if isinstance(call, Call):
            assert call.demand.deadline > 0

    paths = st.sampled_from(["/v1/chat/completions", "/v1/completions"])
    known = VALUES.map(lambda v: {"model": "m", "messages": [{"content": v}]})
    bodies = TEXTS | known.map(lambda value: json.dumps(value).encode())
    check(st.tuples(HEADERS, bodies, paths), read)


def stream_of(words):
    events = [f"id: {i + 1}\ndata: {w}\n\n".encode() for i, w in enumerate(words)]
    return events, b"".join(events) + STREAM_END


WORDS = st.lists(st.text("ab{}: ", max_size=6), max_size=6)
SPLITS = st.lists(st.integers(0, 200), max_size=8)


def pieces(data, splits):
    edges = sorted({0, len(data), *[split % (len(data) + 1) for split in splits]})
    return [data[a:b] for a, b in itertools.pairwise(edges)]


async def relay_all(data, splits, progress):
    return b"".join([progress.feed(piece) for piece in pieces(data, splits)])


@then("hypothesis finds no split of a stream that changes the count of its events")
def any_split(context):
    def same(case):
        words, splits = case
        _, data = stream_of(words)
        progress = RelayProgress()
        assert trio.run(relay_all, data, splits, progress) == data
        assert progress.events == len(words) + 1
        assert progress.is_finished()

    check(st.tuples(WORDS, SPLITS), same)


@then("hypothesis finds no truncation after which a resumed stream is not complete")
def any_truncation(context):
    def same(case):
        words, splits, at = case
        events, data = stream_of(words)
        at %= len(data)
        progress = RelayProgress()

        async def relay():
            relayed = await relay_all(data[:at], splits, progress)
            assert not progress.is_finished()
            progress.rewind(is_stream=True)
            rest = data[len(b"".join(events[: progress.events])) :]
            return relayed + await relay_all(rest, splits, progress)

        assert trio.run(relay) == data
        assert progress.is_finished()

    check(st.tuples(WORDS, SPLITS, st.integers(0, 10**6)), same)


@then("an event without end is relayed with bounded memory")
def endless_event(context):
    async def relay():
        progress = RelayProgress()
        for _ in range(2000):
            assert progress.feed(FLOOD) == FLOOD
        kept = [v for v in vars(progress).values() if isinstance(v, bytes)]
        assert sum(map(len, kept)) < len(FLOOD), [len(value) for value in kept]
        # A resumed answer repeats what has been relayed of the event.
        progress.rewind(is_stream=True)
        assert progress.feed(FLOOD) == b""

    trio.run(relay)
