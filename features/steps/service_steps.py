"""Steps for a running fleet: two instances, three endpoints and the platform."""

import json
import re
import signal
import socket
import ssl
import time
from collections import Counter

import httpx
import openai
import trio
import trustme
from behave import given, then, when
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect

from savorydyke._messages import Hello, encode
from savorydyke_bench._client import (
    CallerRecord,
    Ended,
    chat,
    chat_body,
    new_id,
    prompt_bytes,
    service_call,
)
from savorydyke_bench._fleet import OPERATOR_KEY, open_fleet
from savorydyke_bench._sites import EngineSpec, Site, TeamSpec
from savorydyke_standins._engine import expected_text

MODEL = "notes"
SITE = Site(
    name="small",
    instances=2,
    tiers=(("high", 20.0), ("low", 20.0)),
    teams=(
        TeamSpec("crews", "high", ("digest", "claims")),
        TeamSpec("archive", "low", ("digest", "claims")),
        TeamSpec("guests", "low", ("digest", "claims")),
    ),
    model_pool="digest",
    models=(MODEL,),
    engines=(
        EngineSpec("engine-1", "dc-1", 20_000, 50, 8),
        EngineSpec("engine-2", "dc-1", 10_000, 40, 8),
    ),
    service_pool="claims",
    services=(("desk-1", "dc-1"),),
    hop_s=0,
    client_s=0,
    unapproved=("guests",),
)
LIMITS = {
    "max_body_bytes": 200_000,
    "body_timeout_s": 2,
    "header_timeout_s": 4,
    "resume_grace_s": 2,
}


class SmallFleet:
    """Synchronous access to a fleet, for steps that do not run in trio."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.revision = 1

    def run(self, function, *arguments, **keywords):
        async def main():
            # Connections cannot be reused by another run of trio.
            limits = httpx.Limits(max_keepalive_connections=0)
            self.fleet.client = httpx.AsyncClient(
                timeout=30, limits=limits, trust_env=False
            )
            async with self.fleet.client:
                return await function(*arguments, **keywords)

        return trio.run(main)

    def instances(self):
        return list(self.fleet.instances.values())

    def requests(self, kind="request"):
        async def read():
            found = []
            for endpoint in self.fleet.endpoints.values():
                for entry in await self.fleet.record(endpoint):
                    if entry["kind"] == kind:
                        found.append({**entry, "endpoint": endpoint.name})
            return found

        return self.run(read)

    def control(self, name, **shape):
        standin = self.fleet.endpoints.get(name, self.fleet.platform)
        self.run(self.fleet.control, standin, **shape)

    def chat(self, prompt, tokens, number=0, team="crews", **more):
        record = CallerRecord(new_id(), team, prompt=prompt, output_tokens=tokens)
        address = self.instances()[number].callers
        client_chat = chat
        return self.run(
            lambda: client_chat(
                self.fleet.client, address, f"key-of-{team}", record, MODEL, **more
            )
        )

    def claim(self, key, number=0, body="farm", team="crews"):
        record = CallerRecord(
            new_id(), team, pool="claims", idempotency_key=key, prompt=body
        )
        address = self.instances()[number].callers
        secret = f"key-of-{team}"
        value = {"farm": body}
        client_call = service_call
        return self.run(
            lambda: client_call(
                self.fleet.client, address, secret, record, "permits", value
            )
        )

    def runs_of_key(self, key):
        return sum(entry.get("idempotency_key") == key for entry in self.requests())


@given("the small fleet")
def small_fleet(context):
    fleet = context.stack.enter_context(open_fleet())
    context.small = SmallFleet(fleet)
    fleet.limits = LIMITS
    context.small.run(SITE.start, fleet)


def is_complete(record):
    expected = expected_text(prompt_bytes(record.prompt), record.output_tokens)
    return record.ended is Ended.COMPLETE and record.text == expected


# The OpenAI client library


def openai_client(context, team="crews"):
    address = context.small.instances()[0].callers
    return openai.OpenAI(
        base_url=f"http://{address}/v1",
        api_key=f"key-of-{team}",
        max_retries=0,
        timeout=20,
    )


@when("the openai client requests a streamed and an unstreamed chat")
def openai_chat(context):
    client = openai_client(context)
    messages = [{"role": "user", "content": "Where does it land?"}]
    stream = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=8, stream=True
    )
    context.streamed = "".join(c.choices[0].delta.content or "" for c in stream)
    whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=8)
    context.whole = whole.choices[0].message.content


@then("both answers are complete")
def both_complete(context):
    expected = expected_text(prompt_bytes("Where does it land?"), 8)
    assert context.streamed == context.whole == expected


@then("the client lists the team's models")
def lists_models(context):
    assert [m.id for m in openai_client(context).models.list()] == [MODEL]
    assert [m.id for m in openai_client(context, "guests").models.list()] == []


@then("an unknown model gives the client its not-found error")
def unknown_model(context):
    try:
        openai_client(context).completions.create(model="none", prompt="x")
    except openai.NotFoundError as error:
        assert "none" in str(error)
    else:
        raise AssertionError("no error")


# Bad input

BODY = chat_body(MODEL, "hello", 5)
CHAT = "/v1/chat/completions"
INPUTS = {
    "text that is not JSON": (CHAT, {"content": b"{not json"}),
    "a JSON list": (CHAT, {"json": [1]}),
    "an empty list of messages": (CHAT, {"json": {**BODY, "messages": []}}),
    "a negative max_tokens": (CHAT, {"json": {**BODY, "max_tokens": -1}}),
    "an unknown model": (CHAT, {"json": {**BODY, "model": "none"}}),
    "a body that is too large": (CHAT, {"content": b"x" * 300_000}),
    "a large body without its length": (
        CHAT,
        {"content": iter([b"x" * 50_000] * 6)},
    ),
    "no key": (CHAT, {"json": BODY, "key": None}),
    "a wrong key": (CHAT, {"json": BODY, "key": "key-of-nobody"}),
    "a key of an unapproved team": (CHAT, {"json": BODY, "key": "key-of-guests"}),
    "a claim without an idempotency key": ("/v1/services/claims/x", {"json": {}}),
    "an unknown service pool": ("/v1/services/nothing/x", {"json": {}}),
    "a bad deadline": (
        CHAT,
        {"json": BODY, "headers": {"x-deadline-seconds": "soon"}},
    ),
}


@when("the input is {what}")
def sends(context, what):
    path, options = INPUTS[what]
    options = dict(options)
    key = options.pop("key", "key-of-crews")
    headers = options.pop("headers", {})
    if key:
        headers = {**headers, "authorization": f"Bearer {key}"}
    context.before = len(context.small.requests())
    address = context.small.instances()[1].callers
    url = f"http://{address}{path}"
    context.answer = httpx.post(url, headers=headers, timeout=10, **options)


@then("the answer is {status:d} {reason}, not run")
def answer_is(context, status, reason):
    value = context.answer.json()
    assert context.answer.status_code == status, context.answer.text
    assert context.answer.headers["content-type"] == "application/problem+json"
    assert (value["title"], value["outcome"]) == (reason, "not run"), value


@then("no endpoint received a request")
def nothing_received(context):
    assert len(context.small.requests()) == context.before


def raw_connection(context):
    host, _, port = context.small.instances()[0].callers.rpartition(":")
    connection = socket.create_connection((host, int(port)), timeout=12)
    context.stack.callback(connection.close)
    return connection


@when("a caller sends its headers byte by byte")
def sends_headers_slowly(context):
    connection = raw_connection(context)
    start = time.monotonic()
    try:
        for byte in b"POST /v1/chat/completions HTTP/1.1\r\nHost: x" * 3:
            connection.sendall(bytes([byte]))
            connection.settimeout(0.2)
            try:
                if connection.recv(100) == b"":
                    break
            except TimeoutError:
                continue
    except OSError:
        pass
    context.elapsed_s = time.monotonic() - start


@then("its connection is closed within 7 s")
def connection_closed(context):
    assert context.elapsed_s < 7, context.elapsed_s


@when("a caller stops in the middle of its body")
def stops_in_body(context):
    connection = raw_connection(context)
    connection.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key-of-crews\r\nContent-Length: 1000\r\n\r\n{"
    )
    start = time.monotonic()
    connection.settimeout(10)
    context.reply = connection.recv(4000)
    context.elapsed_s = time.monotonic() - start


@then("it is refused within 5 s")
def refused_soon(context):
    assert context.elapsed_s < 5, context.elapsed_s
    assert b" 400 " in context.reply, context.reply


# Flow control and disconnections


def memory_mb(instance):
    with open(f"/proc/{instance.process.pid}/status", encoding="ascii") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read())[1]) / 1024


@when("a caller asks for {size:d} MB and does not read them")
def asks_without_reading(context, size):
    instance = context.small.instances()[0]
    context.memory = memory_mb(instance)
    connection = raw_connection(context)
    connection.sendall(
        f"GET /v1/services/claims/bytes/{size * 1_000_000} HTTP/1.1\r\nHost: x\r\n"
        "Authorization: Bearer key-of-crews\r\n\r\n".encode()
    )
    time.sleep(2.0)


@then("the instance's memory grows by less than 20 MB")
def memory_bounded(context):
    grown = memory_mb(context.small.instances()[0]) - context.memory
    assert grown < 20, grown


@then("another caller is answered meanwhile")
def other_answered(context):
    assert is_complete(context.small.chat("meanwhile", 3))


def disconnect_from_stream(context, headers):
    address = context.small.instances()[0].callers
    context.marker = f"leaving {new_id()}"
    body = chat_body(MODEL, context.marker, 200)
    headers = {"authorization": "Bearer key-of-crews", **headers}
    url = f"http://{address}{CHAT}"
    context.before = len(context.small.requests("cancelled"))
    with httpx.stream("POST", url, json=body, headers=headers, timeout=10) as answer:
        next(answer.iter_raw())
    context.disconnected_at = time.monotonic()


@when("a caller without a request id disconnects from its stream")
def disconnect_without_id(context):
    disconnect_from_stream(context, {})


@when("a caller with a request id disconnects from its stream")
def disconnect_with_id(context):
    disconnect_from_stream(context, {"x-request-id": new_id()})


def wait_cancelled(context, limit_s):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        found = context.small.requests("cancelled")
        if len(found) > context.before:
            return found[-1]["at"] - context.disconnected_at
        time.sleep(0.1)
    raise AssertionError("the stream was not cancelled")


@then("the engine's record shows it cancelled within 2 s")
def cancelled_soon(context):
    assert wait_cancelled(context, 2.5) < 2


@then("the engine's record shows it cancelled only after the grace period")
def cancelled_later(context):
    assert 1.5 < wait_cancelled(context, 6) < 4.5


@when("the engine truncates each stream after 4 events")
def truncates_streams(context):
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=4)
    before = len(context.small.requests())
    context.record = context.small.chat("cut on the way", 12)
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=0)
    context.sent = len(context.small.requests()) - before


@then("a caller still gets the complete answer")
def complete_nonetheless(context):
    assert is_complete(context.record), context.record


@then("the engine received the request once")
def sent_once(context):
    assert context.sent == 1


@when("an engine that does not resume truncates a stream")
def truncated_without_resume(context):
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=4, resumes=False)
    context.record = context.small.chat("cut for good", 12)
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=0, resumes=True)


@when("the engine truncates each stream and goes on with {rest}")
def goes_on_with(context, rest):
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=4, stray_rest=rest)
    context.record = context.small.chat("goes on wrongly", 12)
    for name in ("engine-1", "engine-2"):
        context.small.control(name, cut_after=0, stray_rest="")


@when("the engine answers streams with {first}")
def answers_with(context, first):
    for name in ("engine-1", "engine-2"):
        context.small.control(name, stray_first=first)
    context.record = context.small.chat("begins wrongly", 12)
    for name in ("engine-1", "engine-2"):
        context.small.control(name, stray_first="")


@when("the engine sends {first} to a caller that takes a stream up")
def sends_to_resuming_caller(context, first):
    small = context.small
    headers = {"authorization": "Bearer key-of-crews", "x-request-id": new_id()}
    messages = [{"role": "user", "content": f"taken up as {first}"}]
    body = {"model": MODEL, "messages": messages, "max_tokens": 5, "stream": True}

    def url(path):
        return f"http://{small.instances()[0].callers}{path}"

    def post():
        where = url("/v1/chat/completions")
        return httpx.post(where, json=body, headers=headers, timeout=20)

    assert b"[DONE]" in post().content
    for name in ("engine-1", "engine-2"):
        small.control(name, stray_rest=first)
    more = {"last-event-id": "2"}
    where = url(f"/v1/requests/{headers['x-request-id']}")
    context.answers = [
        post(),
        httpx.get(where, headers=headers | more, timeout=20),
        httpx.get(where, headers=headers, timeout=20),
    ]
    for name in ("engine-1", "engine-2"):
        small.control(name, stray_rest="")


@then("no caller that takes it up gets an answer")
def no_answer_to_resuming_caller(context):
    for answer in context.answers:
        assert answer.status_code == 409, (answer.status_code, answer.content)
        assert b"may have run" in answer.content, answer.content


@when("an engine that does not resume answers streams with {first}")
def answers_with_for_good(context, first):
    for name in ("engine-1", "engine-2"):
        context.small.control(name, stray_first=first, resumes=False)
    context.record = context.small.chat("begins wrongly for good", 12)
    for name in ("engine-1", "engine-2"):
        context.small.control(name, stray_first="", resumes=True)


@then("the caller learns that the request may have run")
def learns_that_it_may_have_run(context):
    record = context.record
    assert record.status == 502 and record.ended is Ended.REFUSED, record
    assert not record.not_run, record


@then("the caller has a part of the answer that does not look complete")
def part_not_complete(context):
    record = context.record
    assert record.ended is Ended.TRUNCATED, record
    assert record.status == 200 and record.events == 4, record
    whole = expected_text(prompt_bytes("goes on wrongly"), 12)
    assert record.text and whole.startswith(record.text), record


@then("the caller's connection is aborted without a regular end")
def connection_aborted(context):
    assert context.record.ended is Ended.TRUNCATED, context.record
    assert context.record.status == 200 and context.record.events == 4


# Claims


@when("a claim is sent through both instances at once")
def claim_twice(context):
    context.key = new_id()
    small = context.small

    async def both():
        records = []

        async def one(number):
            record = CallerRecord(
                new_id(), "crews", pool="claims", idempotency_key=context.key
            )
            address = small.instances()[number].callers
            secret = "key-of-crews"
            body = {"farm": "farm"}
            client = small.fleet.client
            await service_call(client, address, secret, record, "permits", body)
            records.append(record)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(one, 0)
            nursery.start_soon(one, 1)
        return records

    context.records = small.run(both)


@then("both callers get the same answer and it ran once")
def same_answer(context):
    first, second = context.records
    assert first.ended is second.ended is Ended.COMPLETE, context.records
    assert first.body == second.body
    assert context.small.runs_of_key(context.key) == 1


@then("the same key with another body is refused as reused")
def reused(context):
    record = context.small.claim(context.key, body="another farm")
    assert (record.status, record.reason) == (422, "idempotency-key-reused")


@when("the platform is out")
def platform_out(context):
    context.small.control("platform", out=True)
    context.stack.callback(context.small.control, "platform", out=False)


@then("a claim is refused within 3 s and not executed")
def claim_refused(context):
    context.key = new_id()
    start = time.monotonic()
    record = context.small.claim(context.key)
    assert time.monotonic() - start < 3
    assert record.reason == "claims-unavailable", record
    assert record.retry_after >= 1
    assert context.small.runs_of_key(context.key) == 0


@then("a model request is answered")
def model_answered(context):
    assert is_complete(context.small.chat("in the outage", 3))


@when("the platform is back")
def platform_back(context):
    context.small.control("platform", out=False)


@then("the same claim runs once")
def claim_runs(context):
    record = context.small.claim(context.key)
    assert record.ended is Ended.COMPLETE, record
    assert context.small.runs_of_key(context.key) == 1


@when("the platform loses the answer of every write")
def loses_answers(context):
    context.small.control("platform", lost_answers=1.0)
    context.stack.callback(context.small.control, "platform", lost_answers=0.0)


@then("a claim runs once and its answer is complete")
def claim_read_back(context):
    key = new_id()
    record = context.small.claim(key)
    assert record.ended is Ended.COMPLETE, record
    assert context.small.runs_of_key(key) == 1


# Metrics, logs and links


def operators(context, path, number=0):
    address = context.small.instances()[number].operators
    headers = {"authorization": f"Bearer {OPERATOR_KEY}"}
    return httpx.get(f"http://{address}{path}", headers=headers, timeout=5)


@then("the metrics show histograms by tier and team, and refusals by reason")
def metrics(context):
    context.small.chat("metrics", 3)
    context.small.chat("metrics", 3, team="guests")
    text = operators(context, "/metrics").text
    for name in ("waiting", "first_token", "between_tokens", "total"):
        pattern = (
            rf'savorydyke_{name}_seconds_bucket{{[^}}]*team="crews"[^}}]*tier="high"'
        )
        assert re.search(pattern, text), name
    assert re.search(r'savorydyke_refusals_total{[^}]*reason="not-approved"', text)
    assert "savorydyke_wasted_prefill_tokens_total" in text
    assert re.search(r'savorydyke_state{kind="revision"} [1-9]', text)


@then("the logs are JSON with fixed prefixes, without keys or prompts")
def logs(context):
    secret = f"a secret prompt {new_id()}"
    context.small.chat(secret, 3)
    context.small.chat(secret, 3, team="guests")
    parts = set()
    for instance in context.small.instances():
        log = context.small.fleet.folder / f"{instance.name}.log"
        text = log.read_text()
        assert secret not in text and "key-of-" not in text
        for line in text.splitlines():
            value = json.loads(line)
            parts.add(value["message"].partition(":")[0])
    assert {"daemon", "peers", "configuration", "home", "callers"} <= parts, parts


def peers_address(context):
    return context.small.instances()[0].advertised


@when("an unknown peer opens a link with a wrong shared key")
def unknown_peer(context):
    context.refused = operators(context, "/status").json()["refused_frames"]
    with connect(f"ws://{peers_address(context)}", compression=None) as link:
        link.recv()
        hello = Hello(1, "stranger", "127.0.0.1:9", "dc", 1, b"n" * 16, b"s" * 32)
        link.send(encode([hello]))
        try:
            link.recv(timeout=3)
            raise AssertionError("the unknown peer was answered")
        except Exception as error:
            assert "closed" in type(error).__name__.lower(), error


@when("another one sends an undecodable frame")
def undecodable_frame(context):
    with connect(f"ws://{peers_address(context)}", compression=None) as link:
        link.recv()
        link.send(b"\xff\x00garbage")
        try:
            link.recv(timeout=3)
        except Exception as error:
            assert "closed" in type(error).__name__.lower(), error


@then("the instance counts two refused links and still answers")
def counts_refused(context):
    status = operators(context, "/status").json()
    assert status["refused_frames"] == context.refused + 2
    assert "stranger" not in status["members"]
    assert is_complete(context.small.chat("after strangers", 3))


# Operators


def tool(context, *arguments):
    result = context.small.run(context.small.fleet.run_tool, *arguments)
    return result.returncode, result.stdout.decode(), result.stderr.decode()


def revision_of(context):
    return operators(context, "/configuration").json()["revision"]


@when("two operators apply manifests based on one revision")
def race(context):
    fleet = context.small.fleet
    base = revision_of(context)
    manifest = SITE.manifest(fleet)
    context.results = []

    async def both():
        async def one(name, by):
            answer = await fleet.apply(manifest, base, name, by)
            context.results.append(answer)

        async with trio.open_nursery() as nursery:
            for number, name in enumerate(fleet.instances):
                nursery.start_soon(one, name, f"operator-{number}")

    context.small.run(both)


@then("one is accepted and the other is told who applied first")
def one_accepted(context):
    results = {answer["result"]: answer for answer in context.results}
    assert set(results) == {"accepted", "superseded"}, context.results
    assert results["superseded"]["by"].startswith("operator-")
    assert results["superseded"]["revision"] == results["accepted"]["revision"]


@then("the tool's check and diff exit with 0, and with 2 for a bad manifest")
def check_and_diff(context):
    folder = context.small.fleet.folder
    manifest = folder / "manifest.json"
    manifest.write_text(json.dumps(SITE.manifest(context.small.fleet)))
    assert tool(context, "check", str(manifest))[0] == 0
    code, out, err = tool(context, "diff", str(manifest))
    assert (code, out) == (0, "no changes\n"), (out, err)
    bad = folder / "bad.json"
    bad.write_text('{"tiers": 5}')
    code, _, err = tool(context, "check", str(bad))
    assert code == 2 and "bad.json:1: tiers" in err, err


@then("draining an engine keeps new work away from it")
def drains(context):
    code, out, err = tool(context, "drain", "engine-1", "--by", "ops")
    assert code == 0, (out, err)
    before = len([r for r in context.small.requests() if r["endpoint"] == "engine-1"])
    for number in range(4):
        assert is_complete(context.small.chat(f"drained {number}", 2))
    after = len([r for r in context.small.requests() if r["endpoint"] == "engine-1"])
    assert after == before
    assert tool(context, "undrain", "engine-1", "--by", "ops")[0] == 0
    assert tool(context, "drain", "no-such-engine")[0] == 1


@then("withdrawing an approval refuses the team within 4 s")
def withdraws(context):
    approval = ("archive", "digest", "model-owners")
    assert is_complete(context.small.chat("still approved", 2, team="archive"))
    code, _, err = tool(context, "withdraw", *approval)
    assert code == 0, err
    for number in range(2):
        record = context.small.chat("withdrawn", 2, number, team="archive")
        assert record.reason == "not-approved", record
    code, out, _ = tool(context, "approvals", "--json")
    assert not [
        a
        for a in json.loads(out)["approvals"]
        if (a["team"], a["pool"]) == ("archive", "digest")
    ]
    assert tool(context, "approve", *approval, "--by", "lead")[0] == 0
    code, out, _ = tool(context, "approvals")
    assert "archive at model-owners's endpoints of digest: by lead" in out
    assert is_complete(context.small.chat("approved again", 2, team="archive"))


@then("the tool's status shows both instances as JSON")
def tool_status(context):
    code, out, _ = tool(context, "status", "--json")
    values = json.loads(out).values()
    assert code == 0
    assert {value["instance"] for value in values} == {"instance-1", "instance-2"}
    code, out, _ = tool(context, "status")
    assert code == 0 and "instance-1 at" in out


@then("the tool reports that no instance answers")
def tool_unreachable(context):
    nowhere = context.small.fleet.ports.take()
    code, _, err = tool(context, "status", "--instances", nowhere)
    assert code == 3 and "no answer" in err + _, (code, err, _)
    code, _, err = tool(context, "approvals", "--instances", nowhere)
    assert code == 3 and "no instance answered" in err, err
    code, _, err = tool(context, "status", "--instances", "localhost:1")
    assert code == 2, err


# Starting and stopping


@when("the platform is out and a third instance starts")
def third_instance_starts(context):
    platform_out(context)
    context.small.fleet.add_instance("instance-3")
    context.small.run(context.small.fleet.wait_ready, 3)


@then("it becomes ready with a configuration and answers")
def third_instance_answers(context):
    assert operators(context, "/configuration", 2).json()["revision"] >= 1
    assert is_complete(context.small.chat("at the third", 3, 2))


STOP_NOTICED_S = 4.0
STREAMS_BEGUN_S = 8.0
HANGING_REQUESTS = 60


def act_while_streaming(context, action, count=4, tokens=200):
    """Run streams at all instances and call `action` once all have begun."""
    small = context.small
    context.records = [
        CallerRecord(new_id(), "crews", prompt=f"while {number}", output_tokens=tokens)
        for number in range(count)
    ]

    async def both():
        async def one(number):
            record = context.records[number]
            instances = small.instances()
            address = instances[number % len(instances)].callers
            client = small.fleet.client
            await chat(client, address, "key-of-crews", record, MODEL)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(one, number)
            with trio.fail_after(STREAMS_BEGUN_S):
                while not all(record.events for record in context.records):
                    await trio.sleep(0.02)
            action()

    small.run(both)


def wait_exit(instance, limit_s=10):
    return instance.process.wait(limit_s)


@when("all instances get a stop signal while streams run")
def stop_all(context):

    def action():
        for instance in context.small.instances():
            instance.signal(signal.SIGTERM)

    act_while_streaming(context, action)


@then("every stream is complete and every instance exits with 0")
def all_complete(context):
    assert len(context.records) == 4
    assert all(map(is_complete, context.records)), context.records
    for instance in context.small.instances():
        assert wait_exit(instance) == 0


def signal_twice(context, instance):
    """Send two stop signals to an instance."""
    instance.signal(signal.SIGTERM)
    # Signals of one kind do not queue: a second one before the first has been
    # handled would be lost.
    log = context.small.fleet.folder / f"{instance.name}.log"
    until = time.monotonic() + STOP_NOTICED_S
    while "Stopping." not in log.read_text():
        assert time.monotonic() < until
        time.sleep(0.02)
    instance.signal(signal.SIGTERM)


@when("an instance gets two stop signals while a stream runs")
def stop_twice(context):
    instance = context.small.instances()[0]
    act_while_streaming(
        context, lambda: signal_twice(context, instance), count=1, tokens=600
    )


@when("an instance gets two stop signals while its engines hang")
def stop_twice_hanging(context):
    small = context.small
    instance = small.instances()[0]
    engines = [e for e in small.fleet.endpoints.values() if e.kind == "engine"]
    assert engines
    context.answers = []

    async def ask(number):
        body = BODY | {"stream": False}
        headers = {"authorization": "Bearer key-of-crews"}
        url = f"http://{instance.callers}{CHAT}"
        answer = await small.fleet.client.post(url, json=body, headers=headers)
        context.answers.append(answer)

    async def play():
        async with trio.open_nursery() as nursery:
            for number in range(HANGING_REQUESTS):
                nursery.start_soon(ask, number)
            await trio.sleep(1.5)
            await trio.to_thread.run_sync(signal_twice, context, instance)

    for engine in engines:
        engine.process.send_signal(signal.SIGSTOP)
    try:
        small.run(play)
    finally:
        for engine in engines:
            engine.process.send_signal(signal.SIGCONT)


@then("each caller is told that it is stopping and whether the request may have run")
def told_of_stop(context):
    found = Counter()
    for answer in context.answers:
        assert answer.status_code == 503, answer
        assert answer.json()["title"] == "stopping", answer.json()
        found[answer.json()["outcome"]] += 1
    assert sum(found.values()) == HANGING_REQUESTS, found
    assert found["not run"] and found["may have run"], found
    # An engine reads requests that were sent and given up, at most.
    assert len(context.small.requests()) <= found["may have run"], found


@then("it exits with 1 and its log names the aborted stream")
def exits_aborted(context):
    instance = context.small.instances()[0]
    assert wait_exit(instance) == 1
    assert context.records[0].ended is Ended.TRUNCATED
    log = (context.small.fleet.folder / f"{instance.name}.log").read_text()
    assert '"cut": 1' in log and context.records[0].request_id in log


# TLS


@given("two instances with certificates of one CA")
def tls_fleet(context):
    fleet = context.stack.enter_context(open_fleet())
    context.small = SmallFleet(fleet)
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    context.authority = str(fleet.folder / "authority.pem")
    authority.cert_pem.write_to_path(context.authority)
    certificate.private_key_pem.write_to_path(str(fleet.folder / "key.pem"))
    chain = b"".join(blob.bytes() for blob in certificate.cert_chain_pems)
    (fleet.folder / "certificate.pem").write_bytes(chain)
    tls = {
        "certificate": str(fleet.folder / "certificate.pem"),
        "key": str(fleet.folder / "key.pem"),
        "authority": context.authority,
    }

    async def start():
        for engine in SITE.engines:
            fleet.add_endpoint(engine.name, "engine", "dc-1", slots=8)
        fleet.add_endpoint("desk-1", "service", "dc-1")
        for name in ("instance-1", "instance-2"):
            fleet.add_instance(name, tls=tls)
        for endpoint in fleet.endpoints.values():
            await fleet.wait_standin(endpoint)

    context.small.run(start)
    context.https = httpx.Client(
        verify=ssl.create_default_context(cafile=context.authority)
    )
    context.stack.enter_context(context.https)


@then("they connect, and the tool applies a manifest over TLS")
def tls_links(context):
    manifest = context.small.fleet.folder / "manifest.json"
    manifest.write_text(json.dumps(SITE.manifest(context.small.fleet)))
    arguments = ("--authority", context.authority)
    until = time.monotonic() + 15
    while time.monotonic() < until:
        code, out, _ = tool(context, *arguments, "status", "--json")
        values = list(json.loads(out).values()) if code == 0 else []
        linked = [v for v in values if any(m["linked"] for m in v["members"].values())]
        if len(linked) == 2:
            break
        time.sleep(0.2)
    assert len(linked) == 2, (code, out)
    code, out, err = tool(context, *arguments, "apply", str(manifest))
    assert code == 0, (out, err)


@then("a caller is answered over TLS")
def tls_caller(context):
    address = context.small.instances()[1].callers
    answer = context.https.post(
        f"https://{address}{CHAT}",
        json=chat_body(MODEL, "over TLS", 4, stream=False),
        headers={"authorization": "Bearer key-of-crews"},
    )
    text = answer.json()["choices"][0]["message"]["content"]
    assert text == expected_text(prompt_bytes("over TLS"), 4)


@then("a link without a certificate is refused")
def tls_without_certificate(context):
    tls_context = ssl.create_default_context(cafile=context.authority)
    try:
        with connect(
            f"wss://{peers_address(context)}", ssl=tls_context, compression=None
        ) as link:
            link.recv(timeout=3)
        raise AssertionError("the link was opened")
    except (OSError, WebSocketException, EOFError):
        pass


@when("requests arrive at a stopping instance that still finishes a stream")
def requests_while_stopping(context):
    small = context.small
    instance = small.instances()[0]
    context.answers = {}

    def action():
        instance.signal(signal.SIGTERM)
        time.sleep(0.3)
        for has_id in (False, True):
            headers = {"authorization": "Bearer key-of-crews"}
            if has_id:
                headers["x-request-id"] = new_id()
            url = f"http://{instance.callers}{CHAT}"
            answer = httpx.post(url, json=BODY, headers=headers, timeout=5)
            context.answers[has_id] = answer.json()
        url = f"http://{instance.callers}/v1/requests/{new_id()}"
        context.answers["resume"] = httpx.get(url, headers=headers).json()

    act_while_streaming(context, action, count=1, tokens=100)


@then("they are refused as stopping, not run without an id, may have run with one")
def stopping_outcomes(context):
    outcomes = {n: (v["title"], v["outcome"]) for n, v in context.answers.items()}
    assert outcomes[False] == ("stopping", "not run"), outcomes
    assert outcomes[True] == ("stopping", "may have run"), outcomes
    assert is_complete(context.records[0])


@then("resuming a request there is refused as may have run")
def resume_outcome(context):
    answer = context.answers["resume"]
    assert (answer["title"], answer["outcome"]) == ("stopping", "may have run")


@when("the desk aborts its connection after it has run a claim")
def desk_aborts(context):
    context.small.control("desk-1", breaks=True)
    context.stack.callback(context.small.control, "desk-1", breaks=False)
    context.key = new_id()
    context.record = context.small.claim(context.key)


@then("the caller's connection is aborted too")
def caller_aborted(context):
    assert context.record.ended is Ended.TRUNCATED, context.record


@then("a retry learns within 2 s that the claim may have run, and it ran once")
def learns_unknown_outcome(context):
    start = time.monotonic()
    record = context.small.claim(context.key)
    assert time.monotonic() - start < 2
    assert record.reason == "unknown-outcome" and not record.not_run, record
    assert context.small.runs_of_key(context.key) == 1
