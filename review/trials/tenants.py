"""The operators take the keys of one tenant after the other away, and last those of the only one."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "standin"))

from fleet import HOST, ZONES, Fleet, Record, is_troubled, run_case  # noqa: E402
from http_io import read_message, respond  # noqa: E402
from store import Store  # noqa: E402

DAEMONS = 3
SERVERS = 3
HEARTBEAT_S = 1.2
REVOKE_S = 5.0
STEP_S = 7.0
CLIENT_PAUSE_S = 0.1
KEYS = {"t0": "key-0", "t1": "key-1"}
UNKNOWN_KEY = "key-of-nobody"


def configuration(version, tenants):
    route = {"name": "book", "host": HOST, "pathPrefix": "/book/", "kind": "unsafe",
             "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 0, "service": "desk",
             "maxAttempts": 1, "public": False}
    service = {"name": "desk", "healthCheck": "/health", "maxConnections": 248, "protocol": "h1",
               "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}
    return {"version": version, "routes": [route], "services": [service],
            "tenants": [{"name": name, "apiKeys": [KEYS[name]]} for name in tenants],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}}


class Case:
    def __init__(self):
        self.record = Record(HERE / "tenants.txt")
        self.store = Store()
        self.fleet = Fleet(self.store, DAEMONS)
        self.sent = {}
        self.runs = {}
        self.revoked_at = {}
        self.outcomes = {}

    async def start_server(self, index):
        server_id = "i-desk-%d" % index

        async def serve(reader, writer):
            try:
                while True:
                    request = await read_message(reader)
                    if request is None:
                        return
                    request_id = request.header("attempt-id")
                    if request.header("expect-instance") != server_id:
                        await respond(writer, 421, b"", [("Instance-Id", server_id)])
                        continue
                    self.runs[request_id] = request.header("tenant", "none")
                    self.record("request %s runs for tenant %s"
                                % (request_id, self.runs[request_id]))
                    await respond(writer, 200, b"done", [("Attempt-Id", request_id),
                                                         ("Server-Stamp", "s." + request_id)])
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        born = int(time.time() * 1000)

        async def beat():
            seq = 0
            while True:
                seq += 1
                await self.store.write("keyed.servers", server_id, {
                    "service": "desk", "address": address, "zone": ZONES[index], "version": "v1",
                    "slots": 60, "state": "ready", "coldMs": 0, "seq": seq, "born": born})
                await asyncio.sleep(HEARTBEAT_S)

        return asyncio.create_task(beat())

    async def client(self, key):
        while True:
            request_id = "b%05x" % (len(self.sent) + 1)
            daemon = random.choice(self.fleet.daemons)
            self.sent[request_id] = (time.monotonic(), key)
            reader, writer = await asyncio.open_connection(*daemon.front)
            writer.write(("POST /book/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nX-Api-Key: %s\r\n"
                          "Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\nbody"
                          % (HOST, request_id, key)).encode())
            answer = await read_message(reader)
            status = "closed" if answer is None else str(answer.status)
            self.record("request %s with %s: %s" % (request_id, key, status))
            self.outcomes[key, status] = self.outcomes.get((key, status), 0) + 1
            writer.close()
            await asyncio.sleep(CLIENT_PAUSE_S)

    async def configure(self, version, tenants):
        self.record("configuration %d: tenants %s" % (version, tenants))
        acknowledged = await self.store.write("keyed.op", "config",
                                              configuration(version, tenants))
        for name, key in KEYS.items():
            if name not in tenants:
                self.revoked_at.setdefault(key, acknowledged)

    async def play(self):
        await self.configure(1, ["t0", "t1"])
        tasks = [await self.start_server(index) for index in range(SERVERS)]
        await self.fleet.start()
        await self.fleet.wait_ready()
        keys = list(KEYS.values()) + [UNKNOWN_KEY]
        tasks += [asyncio.create_task(self.client(key)) for key in keys]
        await asyncio.sleep(3)
        await self.configure(2, ["t0"])
        await asyncio.sleep(STEP_S)
        await self.configure(3, [] if is_troubled() else ["t0"])
        await asyncio.sleep(STEP_S + 3)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()

    def judge(self):
        late = unknown = 0
        for request_id in self.runs:
            sent_at, key = self.sent[request_id]
            unknown += key == UNKNOWN_KEY
            late += key in self.revoked_at and sent_at > self.revoked_at[key] + REVOKE_S
        summary = ("%d requests ran that were sent later than %.0f s after their key was taken "
                   "away; %d requests ran with a key that no configuration ever held; answers %s"
                   % (late, REVOKE_S, unknown, self.outcomes))
        self.record(summary)
        print(summary)
        return 1 if late or unknown else 0


async def main():
    case = Case()
    try:
        await case.play()
        return case.judge()
    except Exception as error:  # the case could not be played
        case.record("the case did not run: %r" % error)
        print("the case did not run: %r" % error)
        return 2
    finally:
        await case.fleet.stop()
        case.record.close()


if __name__ == "__main__":
    run_case(main)
