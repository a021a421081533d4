"""Test cases for records of other writers in the store that can be anything."""

import json

import trio
from routed_cases import case

from savorydyke_standins._store import StoredItem

FOLLOWED_S = 2.0
"""Time within which a change of the store is in use."""
DEEP = 100_000
VALID = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
    "born": 1,
}


def with_field(name, text):
    """Return an endpoint's record with the JSON text of one field replaced."""
    fields = {key: json.dumps(value) for key, value in VALID.items()} | {name: text}
    rows = ", ".join(f'"{key}": {value}' for key, value in fields.items())
    return ("{" + rows + "}").encode()


ODD_RECORDS = {
    "nested": b"[" * DEEP,
    "nested-closed": b"[" * DEEP + b"]" * DEEP,
    "nested-object": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "nested-field": with_field("slots", "[" * DEEP + "]" * DEEP),
    "slots-exponent": with_field("slots", "1e999"),
    "slots-digits": with_field("slots", "9" * 4000),
    "slots-all-digits": with_field("slots", "9" * 10_000),
    "slots-large": with_field("slots", "1" + "0" * 30),
    "slots-negative": with_field("slots", "-5"),
    "cold-digits": with_field("cold_left_ms", "9" * 4000),
    "cold-infinite": with_field("cold_left_ms", "1e999"),
    "cold-nan": with_field("cold_left_ms", "NaN"),
    "born-digits": with_field("born", "9" * 4000),
    "seq-exponent": with_field("seq", "-1e999"),
    "port-range": with_field("address", '"127.0.0.1:99999"'),
    "port-zero": with_field("address", '"127.0.0.1:0"'),
    "port-digits": with_field("address", '"127.0.0.1:' + "9" * 5000 + '"'),
    "port-superscript": with_field("address", '"127.0.0.1:\u00b2"'),
    "port-negative": with_field("address", '"127.0.0.1:-1"'),
    "host-name": with_field("address", '"localhost:9"'),
    "host-empty": with_field("address", '":9"'),
    "host-spaces": with_field("address", '" 127.0.0.1 :9"'),
    "zone-long": with_field("zone", json.dumps("z" * 900_000)),
    "version-nested": with_field("version", "[" * 500 + "]" * 500),
    "no-text": b"\xff\xfe\x00",
    "empty": b"",
    "surrogate": with_field("service", '"\\ud800"'),
}
ODD_NAMES = ("", "a b", "a\r\nX-Injected: 1", "\u00e9\u2603", "n" * 180, "a/b", "\x00")
SHARED_KEYS = (
    "savorydyke/instances/{}",
    "savorydyke/evidence/{}",
    "savorydyke/streams/desk/{}",
    "savorydyke/versions/{}",
    "savorydyke/quotas/{}",
)
ODD_SHARED = {
    "nested": b"[" * DEEP,
    "numbers": b'{"written_ms": 1e999, "losses": [["a", 1e999, "p", 1, 1, 1]]}',
    "digits": b'{"written_ms": 1, "losses": [["a", '
    + b"9" * 4000
    + b', "p", 1, 1, 1]], "limits": [["e1", '
    + b"9" * 4000
    + b", 1]]}",
    "limits": b'{"written_ms": 1, "losses": [], "limits": [["e1", 1, 1e999]]}',
    "address": b'{"address": "127.0.0.1:99999", "data_centre": "a", "cores": 2}',
    "no-port": b'{"address": "here", "data_centre": "a", "cores": 2}',
    "cores": b'{"address": "127.0.0.1:9", "data_centre": "a", "cores": 1e999}',
    "cores-nan": b'{"address": "127.0.0.1:9", "data_centre": "a", "cores": NaN}',
    "balances": b'{"generation": 1e999, "teams": {"crew": [1e999, NaN]}}',
    "versions": b'{"generation": 1e999, "versions": [[[]]]}',
    "rows": b'{"1": 5, "2": [1e999]}',
}


async def serves_and_follows(site, daemon, name):
    """Assert that an instance serves, and uses an endpoint that is added now."""
    assert daemon.process.poll() is None, "the process has ended"
    for earlier in list(site.endpoints):
        site.write_record(earlier, "desk", state="draining")
    added = await site.endpoint(name, "desk")
    await trio.sleep(FOLLOWED_S)
    for number in range(4):
        caller = await site.connect(daemon.callers)
        path = f"/claim/{number}"
        answer = await caller.request("POST", path, site.headers(), b"x")
        await caller.stream.aclose()
        assert answer.status == 200, (answer.status, answer.body)
    assert len(added.received_requests) == 4, "a new endpoint is not used"
    assert daemon.process.poll() is None, "the process has ended"


async def play_odd_records(site, write):
    """Let records be written while an instance runs, and before it starts again."""
    await site.endpoint("e1", "desk")
    daemon = await site.daemon()
    write()
    await serves_and_follows(site, daemon, "after-change")
    again = await site.daemon("instance-2")
    await serves_and_follows(site, again, "after-start")
    unreadable = [
        line for line in again.log_records() if "unreadable" in line["message"]
    ]
    assert unreadable, "no line says that records are unreadable"
    assert max(len(json.dumps(line)) for line in again.log_records()) < 5000


@case("odd records among those of the endpoints cost themselves only")
async def _(site):
    def write():
        for name, value in ODD_RECORDS.items():
            site.store.put(f"servers/{name}", value)

    await play_odd_records(site, write)


@case("odd names among those of the endpoints cost themselves only")
async def _(site):
    def write():
        for name in ODD_NAMES:
            site.store.put(f"servers/{name}", VALID)

    await play_odd_records(site, write)


@case("odd records among those of the instances cost themselves only")
async def _(site):
    def write():
        for key in SHARED_KEYS:
            for name, value in ODD_SHARED.items():
                site.store.put(key.format(name), value)
        for key in ("savorydyke/versions/desk", "savorydyke/quotas/desk"):
            site.store.put(key, ODD_SHARED["nested"])
        site.store.put("savorydyke/evidence/\u2603", ODD_SHARED["digits"])

    await play_odd_records(site, write)


@case("items of the store that can not be decoded cost themselves only")
async def _(site):
    def write():
        store = site.store
        for name, value in (("text", "###"), ("number", 7), ("none", None)):
            store.revision += 1
            key = f"servers/{name}"
            item = StoredItem(key, value, store.revision, store.revision)
            store.items[key] = item
            store._record_event(item.to_json())

    await play_odd_records(site, write)


@case("a record that is replaced by an odd one is not used until it is back")
async def _(site):
    first = await site.endpoint("e1", "desk")
    second = await site.endpoint("e2", "desk")
    daemon = await site.daemon()
    for value in ODD_RECORDS.values():
        site.store.put("servers/e1", value)
    await trio.sleep(FOLLOWED_S)
    seen = len(first.received_requests)
    for number in range(4):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert len(first.received_requests) == seen and second.received_requests
    site.write_record("e1", "desk", born=2)
    site.write_record("e2", "desk", state="draining")
    await trio.sleep(FOLLOWED_S)
    for number in range(4):
        assert (await site.ask(f"/claim/{number}")).status == 200
    assert len(first.received_requests) > seen
    assert daemon.process.poll() is None
