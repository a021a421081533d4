"""Steps about records, messages and answers of others, made by hypothesis."""

import json
import math

import cbor2
import trio
from behave import then
from decision_cases import POOL, configuration, unconnected_gateway
from decoder_steps import CASES, check
from hypothesis import given as with_cases
from hypothesis import strategies as st
from odd_record_cases import DEEP, ODD_RECORDS, ODD_SHARED, SHARED_KEYS, VALID

from savorydyke import _messages
from savorydyke._claims import parse_claim
from savorydyke._configuration import read_record
from savorydyke._exceptions import PlatformUnavailableError, ProtocolError
from savorydyke._messages import Heartbeat, decode
from savorydyke._platform import _decode_list, _decode_values
from savorydyke._quota_records import decode_balances, decode_record
from savorydyke._request_limits import BadLimitError, parse_limit
from savorydyke._retry_after import BadRetryAfterError, parse_retry_after
from savorydyke._shared_evidence import decode_evidence
from savorydyke._store_restores import read_generation
from savorydyke._untrusted import UnreadableError, parse_json
from savorydyke.platform import (
    BadRecordError,
    BadRequestHeadError,
    Change,
    StoreError,
    parse_request_headers,
    parse_response_headers,
    read_configuration,
    read_endpoint,
)
from savorydyke.platform._headers import (
    AUTHORIZATION,
    DEADLINE,
    LENGTH_HINT,
    LOAD,
    PREFIX,
    REQUEST_ID,
    TOKENS,
    parse_load_report,
)
from savorydyke.platform._records import read_instance, read_order
from savorydyke.platform._store import _changes, _decode, _decode_body, _readable
from savorydyke.rollouts._records import read_record as read_rollout

NUMBERS = st.sampled_from(
    [10**400, -(10**30), 2**63, 2**64, 65536, -1, 0, 1e308, -1e308, 1e-320, math.inf]
) | st.just(math.nan)
TEXTS = st.text(max_size=8) | st.sampled_from(["127.0.0.1:99999", "\x00", "\ud800"])
ODD = st.recursive(
    st.none() | st.booleans() | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=12,
)
NESTED = st.sampled_from([b"[" * DEEP, b'{"a":' * DEEP, b"[" * DEEP + b"]" * DEEP])


def encoded(value):
    """Return JSON with the numbers that the standard does not know, too."""
    return json.dumps(value).encode()


def changed(valid):
    """Return a strategy for a record with some of its fields replaced."""
    fields = st.dictionaries(st.sampled_from(sorted(valid)), ODD, min_size=1)
    return fields.map(lambda odd: encoded(valid | odd))


EVIDENCE = {
    "written_ms": 1,
    "losses": [["p", 0, "e1/1", 1, 1, 0]],
    "limits": [["e1", 1000, 1]],
    "rejections": [],
}
ROWS = st.lists(st.lists(ODD, min_size=3, max_size=6), max_size=2)
ODD_EVIDENCE = st.builds(
    lambda rows, other: encoded(EVIDENCE | {"losses": rows, "limits": other}),
    ROWS,
    ROWS,
)
INSTANCE = {"address": "127.0.0.1:9", "data_centre": "a", "cores": 1.0}
BALANCES = {"generation": 1, "teams": {"crew": [1, 2, 3]}}
RECORDS = (
    st.binary(max_size=20)
    | NESTED
    | ODD.map(encoded)
    | changed(VALID)
    | changed(INSTANCE)
    | changed(BALANCES)
    | ODD_EVIDENCE
    | st.sampled_from([*ODD_RECORDS.values(), *ODD_SHARED.values()])
)
NAMES = st.text(max_size=6) | st.sampled_from(["", "a b", "e1", "\u2603"])
PREFIXES = st.sampled_from(["servers/{}", *SHARED_KEYS, "savorydyke/generation{}"])
KEYS = st.builds(str.format, PREFIXES, NAMES) | st.just("op/config")


@then("hypothesis finds no record in the store that ends or stops an instance")
def store_records(context):
    async def apply(changes):
        gateway = unconnected_gateway()
        directory = gateway.directory
        directory.configuration = configuration()
        for key, value in changes:
            directory._apply_change(Change(key, value, 1))
        valid = json.dumps(VALID | {"service": POOL}).encode()
        directory._apply_change(Change("servers/valid", valid, 1))
        directory._publish()
        gateway.apply_instance_records()
        assert "valid" in directory.manifest.endpoints
        assert gateway.membership.coordinator(POOL) == gateway.membership.id
        assert 0 < gateway.membership.equal_share() <= 1
        gateway.quarantine.review(trio.current_time())
        gateway.limits.rows(trio.current_time())
        gateway.peers._missing_addresses()

    check(
        st.lists(st.tuples(KEYS, RECORDS), min_size=1, max_size=3),
        lambda changes: trio.run(apply, changes),
    )


@then("hypothesis finds no answer of the store that raises anything but its error")
def store_answers(context):
    item = {"key": "servers/e1", "value": "e30=", "revision": 1}
    odd_item = st.dictionaries(st.sampled_from(sorted(item)), ODD).map(
        lambda odd: item | odd
    )
    answers = st.builds(
        lambda events: {"events": [*events, item], "current_rev": 2},
        st.lists(odd_item | ODD, max_size=3),
    )

    def read(answer):
        changes = _decode(_changes, answer)
        assert changes.changes[-1].value == b"{}"
        for event in answer["events"]:
            _readable(event)

    check(answers, read)


@then("hypothesis finds no value that is read as JSON with numbers out of range")
def json_values(context):
    def read(data):
        value = parse_json(data)
        assert json.loads(json.dumps(value, allow_nan=False)) == value

    check(RECORDS, read, UnreadableError)
    check(RECORDS, decode_balances)
    check(RECORDS, decode_record, UnreadableError)
    check(RECORDS, read_generation)


@then("hypothesis finds no message of a peer that ends an instance")
def peers_messages(context):
    kinds = st.sampled_from(sorted(_messages._TAGS.values()))
    numbers = NUMBERS | st.integers()
    fields = st.recursive(
        st.none() | st.booleans() | numbers | TEXTS | st.binary(max_size=8),
        lambda inner: st.lists(inner, max_size=9),
        max_leaves=30,
    )
    valid = [1, 0, False, 0, 0, [], [], False, [], [], False, []]
    heartbeat = st.tuples(st.integers(0, len(valid) - 1), fields).map(
        lambda odd: [*valid[: odd[0]], odd[1], *valid[odd[0] + 1 :]]
    )
    tag = _messages._TAGS[Heartbeat]
    rows = st.builds(lambda tag, rest: [tag, *rest], kinds, st.lists(fields))
    rows |= heartbeat.map(lambda values: [tag, *values])
    rows |= st.builds(
        lambda age: [
            tag,
            *valid[:6],
            [["i2", "127.0.0.1:9", "a", 1, 1, age, False, False, False]],
            *valid[7:],
        ],
        numbers,
    )
    nested = st.sampled_from([b"\x81" * DEEP, b"\x9f" * DEEP, b"\xc1" * DEEP])

    async def receive(frame):
        gateway = unconnected_gateway()
        for message in decode(frame):
            gateway.peers._handle("peer", message)
        gateway.membership.update(trio.current_time())
        assert gateway.membership.coordinator(POOL)

    frames = st.lists(rows, max_size=3).map(encoded_frame) | st.binary() | nested
    check(frames, lambda frame: trio.run(receive, frame), ProtocolError)


def encoded_frame(rows):
    """Return a frame; lone surrogates have no encoding and are replaced."""
    return cbor2.dumps(json.loads("null") if rows is None else _encodable(rows))


def _encodable(value):
    if isinstance(value, str):
        return value.encode(errors="replace").decode()
    return [_encodable(x) for x in value] if isinstance(value, list) else value


@then("hypothesis finds no header of an endpoint that raises an error")
def answer_headers(context):
    names = st.sampled_from(
        [
            b"X-Savorydyke-Load-Report",
            b"X-Savorydyke-Request-Id",
            b"Server-Limit",
            b"Server-Brittle",
            b"Server-Leaving",
            b"Retry-After",
            b"Date",
        ]
    )
    values = (
        st.binary(max_size=12)
        | ODD_DATES
        | st.sampled_from(
            [b"1e999", b"9" * 5000, b"nan", b"-1", b"\xb2,1,1", b"1,1,\xb3"]
        )
    )

    def read(headers):
        info = parse_response_headers(503, headers)
        parse_retry_after(info.retry_after, info.date)

    headers = st.lists(st.tuples(names, values), max_size=5)
    check(headers, read, BadRetryAfterError)


# A date whose parts are each sound, absent or beyond what a library can represent.
DIGITS = st.sampled_from(["", "0", "07", "99", "2026", "9" * 20, "9" * 5000, "-1"])
ODD_DATES = st.builds(
    lambda day, year, hour, zone: f"Mon, {day} Dec {year} {hour}:00:07 {zone}".encode(),
    DIGITS,
    DIGITS | st.integers(0, 10**12).map(str),
    DIGITS,
    st.sampled_from(["GMT", "+9999", "-2359", "+" + "9" * 30, "", "EST"]),
)


@then("hypothesis finds no bytes on which a parser raises anything but its own error")
def all_parsers(context):
    texts = ODD_DATES | RECORDS | st.sampled_from([b"9" * 5000, b"-1e400", b"\xff"])
    pairs = st.lists(st.tuples(HEADER_NAMES, texts), max_size=4)
    times = st.tuples(ODD_DATES, texts).map(
        lambda pair: [data.decode("latin-1") for data in pair]
    )
    check(times, lambda pair: parse_retry_after(*pair), BadRetryAfterError)
    for parse, error in PARSERS_OF_BYTES.items():
        check(texts, parse, error)
    for parse, error in PARSERS_OF_TEXT.items():
        check(texts.map(lambda data: data.decode("latin-1")), parse, error)
    check(pairs, parse_request_headers, BadRequestHeadError)
    check(pairs, lambda headers: parse_response_headers(503, headers))


HEADER_NAMES = st.sampled_from(
    [REQUEST_ID, DEADLINE, TOKENS, PREFIX, LENGTH_HINT, AUTHORIZATION, LOAD, b"host"]
)
PARSERS_OF_BYTES = {
    parse_json: UnreadableError,
    parse_claim: ProtocolError,
    read_record: ProtocolError,
    read_rollout: UnreadableError,
    decode: ProtocolError,
    _decode_values: PlatformUnavailableError,
    _decode_list: PlatformUnavailableError,
    read_configuration: BadRecordError,
    lambda data: read_endpoint("e1", data): BadRecordError,
    lambda data: read_instance("i1", data): BadRecordError,
    lambda data: read_order(POOL, data, "1.1"): BadRecordError,
    lambda data: decode_evidence(data, 10**13): UnreadableError,
    lambda data: _decode_body(200, data): StoreError,
}
PARSERS_OF_TEXT = {parse_limit: BadLimitError, parse_load_report: ()}


@then("hypothesis finds no entry of the platform's list that hides the others")
def platform_list(context):
    valid = {
        "Service": {
            "ID": "i1",
            "Address": "127.0.0.1",
            "Port": 9,
            "Meta": {"data_centre": "a", "state": "live"},
        }
    }
    inner = st.dictionaries(st.sampled_from(["ID", "Address", "Port", "Meta"]), ODD)
    entries = ODD | inner.map(lambda odd: {"Service": valid["Service"] | odd})

    @CASES
    @with_cases(st.lists(entries, max_size=3))
    def run(odd):
        listed = _decode_list(encoded([*odd, valid]))
        assert listed[-1].name == "i1"
        assert all(0 < int(i.address.rpartition(":")[2]) < 65536 for i in listed)

    run()
    check(NESTED, _decode_list, PlatformUnavailableError)
