"""Starts daemons with the command of the deploy file, and the platform around them."""

import asyncio
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ZONES = ["za", "zb", "zc"]
HOST = "club.example"
CASE_MAX_S = 115

SETTINGS = """node={node}
role=gateway
machineClass=front
serves=front
ip={ip}
zone={zone}
region=r1
zones.za=r1
zones.zb=r1
zones.zc=r1
listen.front={ip}:{front}
listen.ready={ip}:{ready}
ephemeralPorts={first},{last}
bootstrap=true
limits.cpuShare=0.17
limits.cores=1
limits.memoryMb={memory_mb}
limits.maxFds=2870
limits.linkMbps=700.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.skewMaxMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=104
bounds.coldOverage=1.5
bounds.coldSlack=5
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.transitMs=120
bounds.retryAfterS=20
bounds.requireFencing=true
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.versionMs=10000
bounds.versionAllMs=14000
platform.address={store}
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.ttlMinMs=1000
"""


def deploy_command():
    """Returns the command of the role in the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            return line.split("=", 1)[1].strip().strip('"').split(" ")
    raise RuntimeError("the deploy file names no command")


def free_port_base(ips, count):
    """Returns the first of `count` consecutive ports that are free at all addresses."""
    for base in range(21000, 31000, count):
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        one = socket.socket(socket.AF_INET, kind)
                        sockets.append(one)
                        one.bind((ip, port))
            return base
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise RuntimeError("no free ports")


class Daemon:
    def __init__(self, fleet, index, ip, ports, memory_mb):
        self.fleet = fleet
        self.node = "front-%s-%d" % (ZONES[index % 3], index)
        self.ip = ip
        self.front = (ip, ports)
        self.ready = (ip, ports + 1)
        self.memory_mb = memory_mb
        self.settings = fleet.folder / (self.node + ".conf")
        self.settings.write_text(SETTINGS.format(
            node=self.node, ip=ip, zone=ZONES[index % 3], front=ports, ready=ports + 1,
            first=ports + 2, last=ports + 17, memory_mb=memory_mb, store=fleet.store_address))
        self.log = open(fleet.folder / (self.node + ".log"), "ab")
        self.process = None

    async def start(self):
        command = deploy_command()
        command[0] = str(ROOT / command[0])
        env = {"ANVILGW_CONFIG": str(self.settings), "PATH": os.environ.get("PATH", "")}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=str(ROOT), env=env, stdout=self.log, stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def rss_mb(self):
        try:
            for line in Path("/proc/%d/status" % self.process.pid).read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Fleet:
    def __init__(self, store, count, memory_mb=182):
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="anvilgw-review-"))
        self.count = count
        self.memory_mb = memory_mb
        self.daemons = []

    async def start(self):
        self.store_address = await self.store.start("127.0.0.1")
        net = os.getpid() % 200 + 20
        ips = ["127.%d.7.%d" % (net, 10 + index) for index in range(self.count)]
        ports = free_port_base(ips, 18)
        for index, ip in enumerate(ips):
            self.daemons.append(Daemon(self, index, ip, ports, self.memory_mb))
        for daemon in self.daemons:
            await daemon.start()

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError("%s is not ready" % daemon.node)
                await asyncio.sleep(0.1)

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))

    def close(self):
        self.file.close()


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


async def run_in_time(main):
    """Runs a case. A signal or the end of its time ends it and the processes that it started."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(main(), CASE_MAX_S)
    except asyncio.TimeoutError:
        print("the case took longer than %d s" % CASE_MAX_S)
        return 2
    except asyncio.CancelledError:
        print("the case was ended by a signal")
        return 2


def run_case(main):
    """Runs a case and ends with its exit code, whatever its connections still hold."""
    code = asyncio.run(run_in_time(main))
    sys.stdout.flush()
    os._exit(code)
