"""A tenant becomes isolated after its request has made a part that others share."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "standin"))

from fleet import HOST, Fleet, run_case  # noqa: E402
from http_io import read_head, read_message, respond  # noqa: E402
from store import Store  # noqa: E402

MADE_BY = {}
FOREIGN = []


def configuration(version, is_isolated):
    route = {"name": "r", "host": HOST, "pathPrefix": "/up/", "kind": "streaming",
             "timeoutMs": 10000, "targetLatencyMs": 500, "priority": 0, "service": "lm",
             "maxAttempts": 1, "public": False, "sticky": True}
    service = {"name": "lm", "maxConnections": 400,
               "engine": {"kvCapacityTokens": 131597, "kvBytes": 35136}}
    tenants = [{"name": "t0", "apiKeys": ["k0"], "isolated": is_isolated},
               {"name": "t1", "apiKeys": ["k1"]}]
    return {"version": version, "routes": [route], "services": [service], "tenants": tenants}


async def serve(reader, writer):
    """A model server that finds cached parts only under the same Cache-Salt."""
    while (request := await read_message(reader)) is not None:
        tenant, scope = request.header("tenant"), request.header("cache-salt")
        for part in request.header("prompt-prefix").split(","):
            key = (scope, part.split(":")[0])
            maker = MADE_BY.setdefault(key, tenant)
            if maker != tenant:
                FOREIGN.append("%s uses %s of %s" % (tenant, key, maker))
        await respond(writer, 200, b"id: 1\ndata: x\n\n",
                      [("Attempt-Id", request.header("attempt-id")), ("Server-Stamp", "s"),
                       ("Content-Type", "text/event-stream")])


async def ask(daemon, request_id, key):
    reader, writer = await asyncio.open_connection(*daemon.front)
    writer.write(("POST /up/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m0\r\n"
                  "Token-Count: 650,4\r\nPrompt-Prefix: aa:600,%s:50\r\nX-Api-Key: %s\r\n"
                  "Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
                  % (HOST, request_id, request_id, key)).encode())
    await read_head(reader)
    writer.close()


async def main():
    store = Store()
    fleet = Fleet(store, 1)
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    await store.write("keyed.op", "config", configuration(1, False))
    await store.write("keyed.servers", "i-1", {
        "service": "lm", "address": "127.0.0.1:%d" % server.sockets[0].getsockname()[1],
        "zone": "za", "version": "v1", "slots": 64, "state": "ready", "coldMs": 0, "seq": 1,
        "born": 1, "models": [{"name": "m0", "version": 1}]})
    try:
        await fleet.start()
        await fleet.wait_ready()
        await ask(fleet.daemons[0], "a1", "k0")
        await store.write("keyed.op", "config", configuration(2, True))
        await asyncio.sleep(6)
        await ask(fleet.daemons[0], "b1", "k1")
    finally:
        await fleet.stop()
    print("parts of an isolated tenant that another one uses: %s" % FOREIGN)
    return 1 if FOREIGN else 0


if __name__ == "__main__":
    run_case(main)
