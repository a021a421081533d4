"""Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, unquote

from .http import read_request, answer_bytes

MAX_PAGE = 500
TTL_MIN_MS = 1000


class Store:
    """Keys with revisions, leases and watches.

    Attributes
    ----------
    cut_waiting_after_s : float or None
        A watch that has waited for so long is cut: its connection is closed.
    """

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.cut_waiting_after_s = None
        self.cuts = []
        self.calls = 0

    # What the operator and the engines write

    def put(self, key, value, lease=0):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._event(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event):
        self.history.append(event)
        del self.history[:-20_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = self.clock()
            for lease, (until, _) in list(self.leases.items()):
                if now > until:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    # Calls

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.calls += 1
                found = await self._answer(request)
                if found is None:
                    break
                status, value = found
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                body = json.dumps(value).encode()
                writer.write(answer_bytes(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        path, _, query = request.target.partition("?")
        params = {name: values[0] for name, values in parse_qs(query, True).items()}
        body = json.loads(request.body) if request.body else {}
        name, _, rest = path.removeprefix("/savorydyke/").partition("/")
        if name == "kv-key":
            item = self.items.get(params["key"])
            if item is None:
                return 404, {}
            return 200, item | {"current_rev": self.revision}
        if name == "kv-range":
            after = params.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(params["prefix"]) and k > after
            )
            page = [self.items[k] for k in keys[:MAX_PAGE]]
            more = len(keys) > MAX_PAGE
            return 200, {
                "items": page,
                "more_pages": more,
                "current_rev": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(params)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            ttl_ms = max(TTL_MIN_MS, body["ttl_ms"])
            self.last_lease += 1
            self.leases[self.last_lease] = (self.clock() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        if name == "kv-keep":
            lease = int(unquote(rest))
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (self.clock() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if name == "kv-lease-end":
            self._end_lease(int(unquote(rest)))
            return 200, {}
        return 404, {}

    async def _watch(self, params):
        after, prefix = int(params["after"]), params["prefix"]
        begun = self.clock()
        until = begun + int(params["wait_ms"]) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            now = self.clock()
            if events or now >= until:
                return 200, {"events": events, "current_rev": self.revision}
            end = until
            if self.cut_waiting_after_s is not None:
                if now >= begun + self.cut_waiting_after_s:
                    self.cuts.append(now)
                    return None
                end = min(end, begun + self.cut_waiting_after_s)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now))
            except TimeoutError:
                pass

    def _transact(self, body):
        for condition in body.get("if_rev", []):
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            data = base64.b64decode(write["value"])
            self.put(write["key"], data, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
