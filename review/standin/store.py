"""Stand-in for the platform's metadata store: the log of PROTOCOL.md, in memory."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from http_io import read_message, respond

PARTITIONS = 12


class Partition:
    def __init__(self):
        self.records = []
        self.changed = asyncio.Condition()

    async def append(self, records):
        async with self.changed:
            first = len(self.records)
            self.records.extend(records)
            self.changed.notify_all()
        return first


class Group:
    """Members with their last join, and the generation that grows with each change of them."""

    def __init__(self):
        self.generation = 0
        self.expiry = {}
        self.topics = []

    def expire(self, now):
        gone = [member for member, until in self.expiry.items() if until < now]
        for member in gone:
            del self.expiry[member]
        if gone:
            self.generation += 1

    def join(self, member, topics, ttl_ms, now):
        self.expire(now)
        self.topics = topics
        if member not in self.expiry:
            self.generation += 1
        self.expiry[member] = now + ttl_ms / 1000.0

    def leave(self, member):
        if self.expiry.pop(member, None) is not None:
            self.generation += 1

    def owners(self):
        """Yields topic, partition and owner; partitions are dealt evenly."""
        members = sorted(self.expiry)
        if not members:
            return
        index = 0
        for topic in self.topics:
            for part in range(PARTITIONS):
                yield topic, part, members[index % len(members)]
                index += 1


class Store:
    def __init__(self):
        self.partitions = {}
        self.groups = {}
        self.calls = 0

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    async def write(self, topic, key, value):
        """Writes as the operator or a server does. Returns the time of the acknowledgement."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + content
        await self.partition(topic).append([record])
        return time.monotonic()

    async def start(self, host):
        server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % (host, server.sockets[0].getsockname()[1])
        return self.address

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                self.calls += 1
                status, body, kind = await self.answer(request)
                await respond(writer, status, body, [("Content-Type", kind)])
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = url.path.rsplit("/", 1)[-1]
        if call == "log-read":
            return 200, await self.read(query), "application/octet-stream"
        if call == "log-append":
            status, answer = await self.append(query, request.body)
        elif call == "log-newest":
            status, answer = 200, self.newest(query)
        else:
            status, answer = 200, self.group_call(call, query, request.body)
        return status, json.dumps(answer).encode(), "application/json"

    async def read(self, query):
        partition = self.partition(query["topic"], query.get("part", 0))
        start = int(query["from"])
        wait_s = int(query.get("waitMs", 0)) / 1000.0
        if len(partition.records) <= start and wait_s > 0:
            try:
                async with partition.changed:
                    has_more = lambda: len(partition.records) > start
                    await asyncio.wait_for(partition.changed.wait_for(has_more), wait_s)
            except asyncio.TimeoutError:
                pass
        limit = int(query.get("maxKb", 1024)) * 1024
        body = [struct.pack(">QQ", len(partition.records), 0)]
        size = 0
        for record in partition.records[start:]:
            if size + len(record) > limit and size > 0:
                break
            size += len(record)
            body.append(struct.pack(">I", len(record)) + record)
        return b"".join(body)

    async def append(self, query, body):
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        partition = self.partition(topic, query.get("part", 0))
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            records.append(body[4:4 + length])
            body = body[4 + length:]
        first = await partition.append(records)
        return 200, {"offset": first, "end": first + len(records)}

    def newest(self, query):
        partition = self.partition(query["topic"], query.get("part", 0))
        items = {}
        for offset, record in enumerate(partition.records):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            items.pop(key, None)
            if value:
                text = base64.b64encode(value).decode()
                items[key] = {"key": key, "value": text, "offset": offset}
        keys = sorted(key for key in items if key > query.get("after", ""))
        page = [items[key] for key in keys[:500]]
        return {"items": page, "hasMore": len(keys) > 500, "end": len(partition.records)}

    def group_call(self, call, query, body):
        asked = json.loads(body) if body else query
        group = self.groups.setdefault(asked["group"], Group())
        now = time.monotonic()
        if call == "log-join":
            group.join(asked["member"], asked["topics"], asked["ttlMs"], now)
            own = [[t, p, 0] for t, p, m in group.owners() if m == asked["member"]]
            return {"generation": group.generation, "ttlMs": asked["ttlMs"], "parts": own}
        if call == "log-leave":
            group.leave(asked["member"])
            return {}
        group.expire(now)
        return {"parts": [[t, p, m, 0] for t, p, m in group.owners()]}
