"""Stand-in for the state service, as PROTOCOL describes it: a key-value store with revisions, leases and watches."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

import http_io

PAGE_ENTRIES, PAGE_BYTES, KEPT_CHANGES = 1000, 512 * 1024, 10_000


class Bucket:
    """Rate limit with a burst of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    """The store. Every controller has an address of its own, so that a test can treat one of them differently."""

    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.tally, self.keys, self.log = 0, {}, []
        self.leases, self.last_lease = {}, 0
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.changed = asyncio.Event()
        # A test may set it: hook(node, method, path, body) -> None to go on, or a coroutine that gives the answer.
        self.hook = None

    async def start(self, node):
        async def handler(method, path, raw):
            if self.hook is not None:
                hooked = self.hook(node, method, path, raw)
                if hooked is not None:
                    return await hooked
            return await self.handle(method, path, raw)

        return (await http_io.serve(handler))[0]

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, ends) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        attached = [key for key, (_, _, tenure) in self.keys.items() if tenure == lease]
        if attached:
            self.apply([{"delete": key} for key in attached])

    def apply(self, changes):
        self.tally += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change.get("data"), self.tally, change.get("tenure"))
                self.log.append({"set": change["set"], "data": change.get("data"), "molt": self.tally})
            elif change["delete"] in self.keys:
                del self.keys[change["delete"]]
                self.log.append({"delete": change["delete"], "molt": self.tally})
        del self.log[:-KEPT_CHANGES]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, raw):
        self.expire()
        if not self.requests.take(1):
            return 429, {}
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/keys":
            return self.list(query)
        if method == "GET" and url.path.startswith("/keys/"):
            return self.get(unquote(url.path[len("/keys/"):]))
        if method == "GET" and url.path == "/watch":
            return await self.watch(query)
        if method == "POST" and url.path == "/commit":
            return self.commit(raw)
        if method == "POST" and url.path == "/holds":
            life = json.loads(raw)["life_ms"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (life, time.monotonic() + life)
            return 200, {"tenure": self.last_lease}
        if method == "POST" and url.path.startswith("/holds/") and url.path.endswith("/touch"):
            lease = int(url.path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            life = self.leases[lease][0]
            self.leases[lease] = (life, time.monotonic() + life)
            return 200, {}
        if method == "DELETE" and url.path.startswith("/holds/"):
            self.end_lease(int(url.path.split("/")[2]))
            return 200, {}
        return 400, {}

    def get(self, key):
        if key not in self.keys:
            return 404, {"tally": self.tally}
        data, molt, tenure = self.keys[key]
        return 200, {"k": key, "data": data, "molt": molt, "tenure": tenure}

    def list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        wanted = min(int(query.get("page", PAGE_ENTRIES)), PAGE_ENTRIES)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        entries, size = [], 0
        for key in names:
            data, molt, _ = self.keys[key]
            entry = {"k": key, "data": data, "molt": molt}
            size += len(json.dumps(entry))
            if entries and (len(entries) >= wanted or size > PAGE_BYTES):
                break
            entries.append(entry)
        return 200, {"entries": entries, "truncated": len(entries) < len(names), "tally": self.tally}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        ends = time.monotonic() + min(int(query.get("wait_ms", 0)), 60_000) / 1000
        while True:
            if self.log and self.log[0]["molt"] > after + 1 and len(self.log) >= KEPT_CHANGES:
                return 410, {}
            found = [c for c in self.log if c["molt"] > after and c.get("set", c.get("delete")).startswith(prefix)]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"tally": self.tally, "log": found}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, raw):
        try:
            body = json.loads(raw)
            conditions, changes = body.get("if") or [], body.get("apply") or []
        except (ValueError, AttributeError):
            return 400, {}
        if len(raw) > 64 * 1024 or len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {}
        if any(len(json.dumps(c.get("data"), separators=(",", ":"))) > self.value_bytes for c in changes):
            return 400, {}
        if changes and not self.writes.take(len(changes)):
            return 429, {}
        if any(c.get("tenure") is not None and c["tenure"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        version = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [c["k"] for c in conditions if version(c["k"]) != c["molt"]]
        if failed:
            return 409, {"failed": failed, "tally": self.tally}
        if changes:
            self.apply(changes)
        return 200, {"tally": self.tally}

    def leader(self, shard=0):
        """Returns the label of the controller that leads a shard. For the test alone: it reads a record's field."""
        self.expire()
        entry = self.keys.get(f"shard/{shard}")
        return entry[0].get("node") if entry else None
