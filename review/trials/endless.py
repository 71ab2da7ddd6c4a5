"""All servers answer without end, first unsafe and then safe requests; memory is measured."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "standin"))

from fleet import HOST, Fleet, run_case  # noqa: E402
from http_io import read_head, read_message  # noqa: E402
from store import Store  # noqa: E402

MEMORY_MB = 96
SERVERS = 8
KINDS = ["unsafe", "safe"]
REQUESTS = int(sys.argv[1]) if len(sys.argv) > 1 else 40


async def serve(reader, writer):
    """Answers without a length until the caller closes."""
    try:
        request = await read_message(reader)
        writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n\r\n"
                      % request.header("attempt-id")).encode())
        while True:
            writer.write(b"z" * 65536)
            await writer.drain()
            await asyncio.sleep(0)
    except (ConnectionError, asyncio.IncompleteReadError, AttributeError):
        writer.close()


async def ask(daemon, kind, number):
    reader, writer = await asyncio.open_connection(*daemon.front)
    writer.write(("POST /%s/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: u%d\r\nX-Api-Key: k\r\n"
                  "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n" % (kind, HOST, number)).encode())
    await read_head(reader)
    writer.close()


async def main():
    store = Store()
    fleet = Fleet(store, 1, MEMORY_MB)
    routes = [{"name": kind, "host": HOST, "pathPrefix": "/%s/" % kind, "kind": kind,
               "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 0, "service": "s",
               "maxAttempts": 2, "public": False} for kind in KINDS]
    await store.write("keyed.op", "config", {
        "version": 1, "routes": routes, "services": [{"name": "s", "maxConnections": 400}],
        "tenants": [{"name": "t", "apiKeys": ["k"]}]})
    for index in range(SERVERS):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        await store.write("keyed.servers", "i-%d" % index, {
            "service": "s", "address": "127.0.0.1:%d" % server.sockets[0].getsockname()[1],
            "zone": "za", "version": "v1", "slots": 64, "state": "ready", "coldMs": 0, "seq": 1,
            "born": 1})
    top_mb = 0.0
    try:
        await fleet.start()
        await fleet.wait_ready()
        daemon = fleet.daemons[0]
        for kind in KINDS:
            tasks = [asyncio.create_task(ask(daemon, kind, n)) for n in range(REQUESTS)]
            while not all(task.done() for task in tasks):
                top_mb = max(top_mb, daemon.rss_mb())
                await asyncio.sleep(0.01)
            await asyncio.sleep(1)
    finally:
        await fleet.stop()
    print("%d requests: %.1f MB of %d at the peak" % (REQUESTS, top_mb, MEMORY_MB))
    return 1 if top_mb > MEMORY_MB else 0


if __name__ == "__main__":
    run_case(main)
