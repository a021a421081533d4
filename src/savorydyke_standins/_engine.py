"""A model engine's stand-in.

It batches continuously: prompts are processed one after the other in order of
arrival, and up to `slots` streams are decoded side by side. It keeps a limited
cache of prompt prefixes, reports its load with a lag and its cache events late
and with gaps, keeps streams for a while so that they can be resumed, and
cancels them on request. Its answers are a function of the prompt.
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
from savorydyke_standins._server import json_answer, read_json, serve_app

KEPT_S = 60.0
"""For how long a finished stream can still be resumed."""
DEFAULT_OUTPUT_TOKENS = 64
END = "data: [DONE]\n\n"


@dataclass
class Shape:
    """Speed and size of an engine; all may change while it runs.

    Attributes
    ----------
    slowdown : float
        Divides both speeds.
    report_lag_s : float
        Age of the load report.
    event_gap : float
        Share of cache events that are never published.
    cut_after : int
        Event after which every new stream's connection is cut once; 0 for
        none.
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


@dataclass
class Stream:
    """One request inside the engine.

    Attributes
    ----------
    events : list of str
        Events generated so far.
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
    cut: bool = False
    ended: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)

    def touch(self) -> None:
        """Wake the connections that follow this stream."""
        self.changed.set()
        self.changed = trio.Event()


@dataclass
class Engine:
    """All streams of one engine, its cache and its record."""

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
        """Add to the record."""
        entry = {"kind": kind, "id": stream, "at": time.monotonic(), **more}
        self.record.append(entry)

    def inside(self) -> int:
        """Return how many requests wait or run."""
        return sum(1 for stream in self.streams.values() if not stream.done)

    async def run_stream(self, stream: Stream) -> None:
        """Process a prompt, then generate the answer."""
        async with self.slots:
            if not stream.cancelled:
                await self._prefill(stream)
            await self._decode(stream)
        stream.done = True
        stream.ended = trio.current_time()
        stream.touch()
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
            self._keep(digests)

    def _keep(self, digests: tuple[int, ...]) -> None:
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
        spent = 0.0
        for number in range(stream.output_tokens):
            if stream.cancelled:
                return
            # Sleeping towards the planned time keeps a busy machine from
            # slowing the stream down by the sum of all late wake-ups.
            spent += self.shape.slowdown / self.shape.decode_tokens_per_s
            await trio.sleep_until(start + spent)
            word = f"{seed[number % 60 : number % 60 + 4]}-{number} "
            stream.words.append(word)
            stream.events.append(_event(stream, number, word))
            stream.touch()
        stream.events.append(f"id: {stream.output_tokens + 1}\n{END}")
        stream.touch()


def _event(stream: Stream, number: int, word: str) -> str:
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


def _whole(stream: Stream) -> dict[str, Any]:
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
    """Return the answer that any engine gives to a prompt."""
    seed = hashlib.sha256(prompt).hexdigest()
    words = [f"{seed[n % 60 : n % 60 + 4]}-{n} " for n in range(output_tokens)]
    return "".join(words)


def new_app(engine: Engine) -> QuartTrio:
    """Return the application of the stand-in."""
    app = QuartTrio(engine.name)
    app.config["MAX_CONTENT_LENGTH"] = 64_000_000
    app.config["RESPONSE_TIMEOUT"] = None
    _add_requests(app, engine)
    _add_streams(app, engine)
    _add_reports(app, engine)
    return app


def _add_requests(app: QuartTrio, engine: Engine) -> None:
    @app.post("/v1/chat/completions")
    async def chat() -> Response:
        return await _accept(engine, is_chat=True)

    @app.post("/v1/completions")
    async def completion() -> Response:
        return await _accept(engine, is_chat=False)


async def _accept(engine: Engine, is_chat: bool) -> Response:
    value = await read_json()
    name = request.headers.get("x-request-id", f"{engine.rng.getrandbits(64):016x}")
    if engine.shape.refuse:
        engine.note("refused", name)
        return json_answer({"error": {"message": "refused"}}, 503)
    engine.note("request", name, repeated=name in engine.streams)
    stream = Stream(
        id=name,
        model=str(value.get("model", "")),
        is_chat=is_chat,
        streamed=value.get("stream") is True,
        prompt=prompt_bytes(value),
        output_tokens=int(value.get("max_tokens") or DEFAULT_OUTPUT_TOKENS),
    )
    _drop_old(engine)
    engine.streams[name] = stream
    engine.nursery.start_soon(engine.run_stream, stream)
    return await _answer(engine, stream, 0)


def prompt_bytes(value: dict[str, Any]) -> bytes:
    """Return the prompt of a request in the form that is digested."""
    if "prompt" in value:
        return str(value["prompt"]).encode()
    parts = [f"{m.get('role')}\n{m.get('content')}\n" for m in value["messages"]]
    return "".join(parts).encode()


def _drop_old(engine: Engine) -> None:
    now = trio.current_time()
    for name, stream in list(engine.streams.items()):
        if stream.done and now - stream.ended > KEPT_S:
            del engine.streams[name]


async def _answer(engine: Engine, stream: Stream, after: int) -> Response:
    if not stream.streamed:
        while not stream.done:
            await stream.changed.wait()
        if stream.cancelled:
            return json_answer({"error": {"message": "cancelled"}}, 410)
        return json_answer(_whole(stream))
    headers = {"content-type": "text/event-stream", "cache-control": "no-cache"}
    return Response(_follow(engine, stream, after), headers=headers)


async def _follow(engine: Engine, stream: Stream, after: int) -> AsyncIterator[bytes]:
    position = after
    try:
        while True:
            while position < len(stream.events):
                yield stream.events[position].encode()
                position += 1
                if position == engine.shape.cut_after and not stream.cut:
                    stream.cut = True
                    raise ConnectionError("stream cut on purpose")
            if stream.done:
                return
            await stream.changed.wait()
    finally:
        if not engine.shape.resumes and not stream.done:
            stream.cancelled = True


def _add_streams(app: QuartTrio, engine: Engine) -> None:
    @app.get("/v1/streams/<name>")
    async def resume(name: str) -> Response:
        stream = engine.streams.get(name) if engine.shape.resumes else None
        if stream is None or stream.cancelled:
            return json_answer({"error": {"message": "no such stream"}}, 404)
        if request.method == "HEAD":
            return json_answer({})
        after = int(request.headers.get("last-event-id", "0"))
        engine.note("resumed", name, after=after)
        return await _answer(engine, stream, after)

    @app.delete("/v1/streams/<name>")
    async def cancel(name: str) -> Response:
        stream = engine.streams.get(name)
        if stream is None:
            return json_answer({}, 404)
        if not stream.done:
            stream.cancelled = True
            stream.touch()
        return Response(status=204)


def _add_reports(app: QuartTrio, engine: Engine) -> None:
    @app.get("/load")
    async def load() -> Response:
        now = trio.current_time()
        seen = 0
        for at, count in engine.loads:
            if at <= now - engine.shape.report_lag_s:
                seen = count
        return json_answer({"requests": seen, "leaving": engine.shape.leaving})

    @app.get("/cache-events")
    async def cache_events() -> Response:
        after = int(request.args.get("after", "0"))
        until = trio.current_time() - engine.shape.event_lag_s
        events = [
            event
            for at, event in engine.cache_events
            if at <= until and event["serial"] > after
        ]
        return json_answer({"events": events})

    @app.put("/control")
    async def control() -> Response:
        for name, value in (await read_json()).items():
            setattr(engine.shape, name, value)
        return json_answer(vars(engine.shape))

    @app.get("/record")
    async def record() -> Response:
        return json_answer(engine.record)


async def _sample_load(engine: Engine) -> None:
    while True:
        engine.loads.append((trio.current_time(), engine.inside()))
        await trio.sleep(0.05)


async def run(address: str, name: str, shape: Shape, seed: int) -> None:
    """Run the stand-in until cancelled."""
    async with trio.open_nursery() as nursery:
        engine = Engine(name, shape, random.Random(seed), nursery)
        engine.slots = trio.CapacityLimiter(shape.slots)
        nursery.start_soon(_sample_load, engine)
        await serve_app(new_app(engine), address)
