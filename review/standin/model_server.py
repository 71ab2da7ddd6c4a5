"""Stand-in for a model server that streams events and registers itself in the store."""

import asyncio
import json
import socket
import struct
import time

from http_io import read_message

HEARTBEAT_S = 1.2
SERVICE = "lm"
MODEL = "m0"


class ModelServer:
    """A server that may crash under one part of a prompt, and is back after some seconds.

    With `is_framed` its streams come in chunks, and a crash resets its connections before an answer
    begins. Without, its streams have neither a length nor chunks and end with their connection, and
    a crash comes after the first event and closes the connections, as the end of a process does.
    """

    def __init__(self, store, ip, zone, record, crash_part=None, down_s=2.0, events=4,
                 event_gap_s=0.05, prefill_s=0.04, is_framed=True):
        self.store = store
        self.ip = ip
        self.port = 0
        self.zone = zone
        self.record = record
        self.crash_part = crash_part
        self.down_s = down_s
        self.events = events
        self.event_gap_s = event_gap_s
        self.prefill_s = prefill_s
        self.is_framed = is_framed
        self.starts = 0
        self.arrivals = []
        self.crashes = []
        self.writers = set()
        self.tasks = []

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.starts += 1
        self.id = "i-%s-%d" % (self.ip.replace(".", "-"), self.starts)
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.heartbeat = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            await self.store.write("keyed.servers", self.id, {
                "service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": 64, "state": "ready", "coldMs": 0, "stage": "colocated",
                "models": [{"name": MODEL, "version": 1, "adapters": []}],
                "seq": self.seq, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the server as a process ends: connections are cut and new ones refused."""
        self.crashes.append(time.monotonic())
        self.record("server %s crashes" % self.id)
        self.heartbeat.cancel()
        self.listener.close()
        for writer in list(self.writers):
            if not self.is_framed:
                writer.close()
                continue
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.tasks.append(asyncio.create_task(self.come_back(self.id)))

    async def come_back(self, old_id):
        await asyncio.sleep(self.down_s)
        await self.start()
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - self.down_s))
        await self.store.write("keyed.servers", old_id, b"")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        generation = self.starts
        try:
            while generation == self.starts:
                request = await read_message(reader)
                if request is None:
                    return
                await self.answer(request, writer, generation)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer, generation):
        if request.target == "/api/report":
            body = json.dumps({"stage": "colocated", "busy": False, "seq": 0, "queued": 0,
                               "running": 0, "models": [{"name": MODEL, "version": 1}]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        request_id = request.header("attempt-id")
        if request.header("expect-instance") != self.id:
            writer.write(("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n" % self.id).encode())
            return
        self.arrivals.append((time.monotonic(), request_id))
        self.record("request %s reaches %s" % (request_id, self.id))
        await asyncio.sleep(self.prefill_s)
        if generation != self.starts or writer.is_closing():
            return
        parts = [part.split(":")[0] for part in request.header("prompt-prefix").split(",")]
        crashes = self.crash_part in parts
        if crashes and self.is_framed:
            self.crash()
            return
        framing = "Transfer-Encoding: chunked" if self.is_framed else "Connection: close"
        writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s.%s\r\n"
                      "Content-Type: text/event-stream\r\n%s\r\n\r\n"
                      % (request_id, request_id, framing)).encode())
        for number in range(1, self.events + 1):
            await self.write_event(writer, "id: %d\ndata: %s %d\n\n" % (number, request_id, number))
            if crashes:
                self.crash()
                return
            if number < self.events:
                await asyncio.sleep(self.event_gap_s)
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()
        self.record("run of %s ends" % request_id)

    async def write_event(self, writer, event):
        text = "%x\r\n%s\r\n" % (len(event), event) if self.is_framed else event
        writer.write(text.encode())
        await writer.drain()

    def stop(self):
        self.heartbeat.cancel()
        for task in self.tasks:
            task.cancel()
