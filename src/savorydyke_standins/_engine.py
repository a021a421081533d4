"""Stand-in for a model engine.

It simulates continuous batching: up to `slots` requests are processed at the
same time, of which only one is in prefill, in order of arrival. Its cache of
prompt prefixes is limited. Load reports and cache events are delayed, and some
cache events are lost. Streams are retained for a while so that they can be
resumed, and can be cancelled. The text of an answer depends only on the prompt
and the number of output tokens.
"""

import hashlib
import json
import random
import time
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import trio
from quart import Response, request
from quart_trio import QuartTrio

from savorydyke._prefixes import BYTES_PER_TOKEN, prefix_digests, prefix_tokens
from savorydyke_standins._server import json_response, read_json, serve_app

RESUME_RETENTION_S = 60.0
"""How long a finished stream can still be resumed."""
DEFAULT_OUTPUT_TOKENS = 64
END_EVENT = "data: [DONE]\n\n"
STRAY_BODIES = {
    "page": ("text/html", "error: out of memory"),
    "error": ("text/event-stream", f"data: out of memory\n\n{END_EVENT}"),
    "bare": ("application/octet-stream", f"data: out of memory\n\n{END_EVENT}"),
}


@dataclass
class Shape:
    """Speed, size and faults of an engine; ``PUT /control`` changes them.

    Attributes
    ----------
    slowdown : float
        Factor by which both speeds are divided.
    report_lag_s : float
        Age of the load report.
    event_gap : float
        Share of cache events that are lost.
    cut_after : int
        Number of the event after which a stream's connection is closed, once
        for each stream; 0 for never.
    stray_rest : str
        What is sent in place of the rest of a stream: ``page``, ``error``, ``begin`` or
        ``later``; empty for the rest.
    stray_first : str
        What is sent in place of a first answer: ``page``, ``error`` or ``bare``; empty
        for the answer.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 100.0
    slots: int = 8
    cache_entries: int = 200
    slowdown: float = 1.0
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap: float = 0.05
    leaving: bool = False
    refuse: bool = False
    resumes: bool = True
    cut_after: int = 0
    stray_rest: str = ""
    stray_first: str = ""


@dataclass
class Stream:
    """One request and its answer so far.

    Attributes
    ----------
    events : list of str
        Server-sent events generated so far.
    """

    id: str
    model: str
    is_chat: bool
    streamed: bool
    prompt: bytes
    output_tokens: int
    events: list[str] = field(default_factory=list)
    words: list[str] = field(default_factory=list)
    done: bool = False
    cancelled: bool = False
    was_cut: bool = False
    ended: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)

    def notify(self) -> None:
        """Wake the connections that send this stream."""
        self.changed.set()
        self.changed = trio.Event()


@dataclass
class Engine:
    """Streams, prefix cache and record of one engine."""

    name: str
    shape: Shape
    rng: random.Random
    nursery: trio.Nursery
    streams: dict[str, Stream] = field(default_factory=dict)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    prefill: trio.Lock = field(default_factory=trio.Lock)
    slots: trio.CapacityLimiter = field(default_factory=lambda: trio.CapacityLimiter(8))
    record: list[dict[str, Any]] = field(default_factory=list)
    loads: deque[tuple[float, int]] = field(default_factory=lambda: deque(maxlen=400))
    cache_events: list[tuple[float, dict[str, Any]]] = field(default_factory=list)
    serial: int = 0

    def note(self, kind: str, stream: str, **more: Any) -> None:
        """Add an event to the record."""
        event = {"kind": kind, "id": stream, "at": time.monotonic(), **more}
        self.record.append(event)

    def active_count(self) -> int:
        """Return the number of requests that wait or run."""
        return sum(1 for stream in self.streams.values() if not stream.done)

    async def run_stream(self, stream: Stream) -> None:
        """Process a prompt, then generate the answer."""
        async with self.slots:
            if not stream.cancelled:
                await self._prefill(stream)
            await self._decode(stream)
        stream.done = True
        stream.ended = trio.current_time()
        stream.notify()
        kind = "cancelled" if stream.cancelled else "finished"
        self.note(kind, stream.id, events=len(stream.events))

    async def _prefill(self, stream: Stream) -> None:
        async with self.prefill:
            digests = prefix_digests(stream.prompt)
            depth = max(
                (i + 1 for i, digest in enumerate(digests) if digest in self.cache),
                default=0,
            )
            tokens = max(1, len(stream.prompt) // BYTES_PER_TOKEN)
            uncached = max(1, tokens - prefix_tokens(depth))
            self.note(
                "prefill",
                stream.id,
                tokens=tokens,
                uncached=uncached,
                depth=depth,
                digests=digests,
            )
            speed = self.shape.prefill_tokens_per_s / self.shape.slowdown
            await trio.sleep(uncached / speed)
            self._cache_digests(digests)

    def _cache_digests(self, digests: tuple[int, ...]) -> None:
        for digest in digests:
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        evicted = []
        while len(self.cache) > self.shape.cache_entries:
            evicted.append(self.cache.popitem(last=False)[0])
        if not evicted:
            return
        self.serial += 1
        if self.rng.random() >= self.shape.event_gap:
            event = {"serial": self.serial, "evicted": evicted}
            self.cache_events.append((trio.current_time(), event))

    async def _decode(self, stream: Stream) -> None:
        seed = hashlib.sha256(stream.prompt).hexdigest()
        start = trio.current_time()
        offset_s = 0.0
        for number in range(stream.output_tokens):
            if stream.cancelled:
                return
            # Sleeping until an absolute time keeps the late wake-ups of a busy
            # machine from adding up and slowing the stream down.
            offset_s += self.shape.slowdown / self.shape.decode_tokens_per_s
            await trio.sleep_until(start + offset_s)
            word = f"{seed[number % 60 : number % 60 + 4]}-{number} "
            stream.words.append(word)
            stream.events.append(_format_event(stream, number, word))
            stream.notify()
        stream.events.append(f"id: {stream.output_tokens + 1}\n{END_EVENT}")
        stream.notify()


def _format_event(stream: Stream, number: int, word: str) -> str:
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if stream.is_chat:
        choice["delta"] = {"content": word}
    else:
        choice["text"] = word
    if number + 1 == stream.output_tokens:
        choice["finish_reason"] = "stop"
    kind = "chat.completion.chunk" if stream.is_chat else "text_completion"
    value = {
        "id": stream.id,
        "object": kind,
        "created": 0,
        "model": stream.model,
        "choices": [choice],
    }
    return f"id: {number + 1}\ndata: {json.dumps(value)}\n\n"


def _complete_answer(stream: Stream) -> dict[str, Any]:
    text = "".join(stream.words)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if stream.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt = max(1, len(stream.prompt) // BYTES_PER_TOKEN)
    return {
        "id": stream.id,
        "object": "chat.completion" if stream.is_chat else "text_completion",
        "created": 0,
        "model": stream.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": stream.output_tokens,
            "total_tokens": prompt + stream.output_tokens,
        },
    }


def expected_text(prompt: bytes, output_tokens: int) -> str:
    """Return the answer that every engine gives to a prompt."""
    seed = hashlib.sha256(prompt).hexdigest()
    words = [f"{seed[n % 60 : n % 60 + 4]}-{n} " for n in range(output_tokens)]
    return "".join(words)


def new_app(engine: Engine) -> QuartTrio:
    """Return the application of the stand-in."""
    app = QuartTrio(engine.name)
    app.config["MAX_CONTENT_LENGTH"] = 64_000_000
    app.config["RESPONSE_TIMEOUT"] = None
    _add_completion_routes(app, engine)
    _add_stream_routes(app, engine)
    _add_report_routes(app, engine)
    return app


def _add_completion_routes(app: QuartTrio, engine: Engine) -> None:
    @app.post("/v1/chat/completions")
    async def chat() -> Response:
        return await _handle_request(engine, is_chat=True)

    @app.post("/v1/completions")
    async def completion() -> Response:
        return await _handle_request(engine, is_chat=False)


async def _handle_request(engine: Engine, is_chat: bool) -> Response:
    value = await read_json()
    name = request.headers.get("x-request-id", f"{engine.rng.getrandbits(64):016x}")
    if engine.shape.refuse:
        engine.note("refused", name)
        return json_response({"error": {"message": "refused"}}, 503)
    engine.note("request", name, repeated=name in engine.streams)
    stream = Stream(
        id=name,
        model=str(value.get("model", "")),
        is_chat=is_chat,
        streamed=value.get("stream") is True,
        prompt=prompt_bytes(value),
        output_tokens=int(value.get("max_tokens") or DEFAULT_OUTPUT_TOKENS),
    )
    _drop_expired_streams(engine)
    engine.streams[name] = stream
    engine.nursery.start_soon(engine.run_stream, stream)
    if engine.shape.stray_first:
        kind, body = STRAY_BODIES[engine.shape.stray_first]
        return Response(body, headers={"content-type": kind})
    return await _answer(engine, stream, 0)


def prompt_bytes(value: dict[str, Any]) -> bytes:
    """Return the prompt of a request as the bytes that are digested."""
    if "prompt" in value:
        return str(value["prompt"]).encode()
    parts = [f"{m.get('role')}\n{m.get('content')}\n" for m in value["messages"]]
    return "".join(parts).encode()


def _drop_expired_streams(engine: Engine) -> None:
    now = trio.current_time()
    for name, stream in list(engine.streams.items()):
        if stream.done and now - stream.ended > RESUME_RETENTION_S:
            del engine.streams[name]


async def _answer(engine: Engine, stream: Stream, after: int) -> Response:
    if not stream.streamed:
        while not stream.done:
            await stream.changed.wait()
        if stream.cancelled:
            return json_response({"error": {"message": "cancelled"}}, 410)
        return json_response(_complete_answer(stream))
    headers = {"content-type": "text/event-stream", "cache-control": "no-cache"}
    return Response(_stream_events(engine, stream, after), headers=headers)


async def _stream_events(
    engine: Engine, stream: Stream, after: int
) -> AsyncIterator[bytes]:
    position = after
    try:
        while True:
            while position < len(stream.events):
                yield stream.events[position].encode()
                position += 1
                if position == engine.shape.cut_after and not stream.was_cut:
                    stream.was_cut = True
                    raise ConnectionError("connection closed by fault injection")
            if stream.done:
                return
            await stream.changed.wait()
    finally:
        if not engine.shape.resumes and not stream.done:
            stream.cancelled = True


def _add_stream_routes(app: QuartTrio, engine: Engine) -> None:
    @app.get("/v1/streams/<name>")
    async def resume(name: str) -> Response:
        stream = engine.streams.get(name) if engine.shape.resumes else None
        if stream is None or stream.cancelled:
            return json_response({"error": {"message": "no such stream"}}, 404)
        if request.method == "HEAD":
            return json_response({})
        after = int(request.headers.get("last-event-id", "0"))
        engine.note("resumed", name, after=after)
        if engine.shape.stray_rest in STRAY_BODIES:
            kind, body = STRAY_BODIES[engine.shape.stray_rest]
            return Response(body, headers={"content-type": kind})
        after += {"begin": -after, "later": 1}.get(engine.shape.stray_rest, 0)
        return await _answer(engine, stream, after)

    @app.delete("/v1/streams/<name>")
    async def cancel(name: str) -> Response:
        stream = engine.streams.get(name)
        if stream is None:
            return json_response({}, 404)
        if not stream.done:
            stream.cancelled = True
            stream.notify()
        return Response(status=204)


def _add_report_routes(app: QuartTrio, engine: Engine) -> None:
    @app.get("/load")
    async def load() -> Response:
        now = trio.current_time()
        reported = 0
        for at, count in engine.loads:
            if at <= now - engine.shape.report_lag_s:
                reported = count
        return json_response({"requests": reported, "leaving": engine.shape.leaving})

    @app.get("/cache-events")
    async def cache_events() -> Response:
        after = int(request.args.get("after", "0"))
        until = trio.current_time() - engine.shape.event_lag_s
        events = [
            event
            for at, event in engine.cache_events
            if at <= until and event["serial"] > after
        ]
        return json_response({"events": events})

    @app.put("/control")
    async def control() -> Response:
        for name, value in (await read_json()).items():
            setattr(engine.shape, name, value)
        return json_response(vars(engine.shape))

    @app.get("/record")
    async def record() -> Response:
        return json_response(engine.record)


async def _sample_load(engine: Engine) -> None:
    while True:
        engine.loads.append((trio.current_time(), engine.active_count()))
        await trio.sleep(0.05)


async def run(address: str, name: str, shape: Shape, seed: int) -> None:
    """Run the stand-in until cancelled."""
    async with trio.open_nursery() as nursery:
        engine = Engine(name, shape, random.Random(seed), nursery)
        engine.slots = trio.CapacityLimiter(shape.slots)
        nursery.start_soon(_sample_load, engine)
        await serve_app(new_app(engine), address)
