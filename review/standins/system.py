"""Starts the entry instances as the deploy file does, and what surrounds them."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from packets import Client, Endpoint, Router
from platform_store import Store

ROOT = Path(__file__).resolve().parents[2]
STORE_HOST = "127.0.4.1"
READY_WITHIN_S = 20

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{host}"
zone = "{zone}"
region = "accra"
internalPortRange = [{peer}, {peer_last}]
seeds = [{seeds}]
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "announce"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
flowHash = "steady"
forwardingMode = "echo"
[zones]
{zones}
[listen]
datagramAddr = "{host}:{packet}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.731
cores = 1
memoryMb = 222
maxFds = 1535
linkMbps = 350.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
skewMaxMs = 12000
warmupOvershoot = 1.5
warmupSlack = 5
evacuateMs = 5000
recoveryS = 12
reorderMs = 2000
flowTtlS = 60
[platform]
address = "{store}"
forwardingMode = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


def free_ports(n_ports):
    """Return consecutive ports that are free for TCP and UDP."""
    for first in range(21_000 + os.getpid() % 8_000, 32_000, n_ports):
        ports = range(first, first + n_ports)
        if all(_is_free(kind, port) for port in ports for kind in (1, 2)):
            return list(ports)
    raise OSError("no free ports")


def _is_free(kind, port):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("0.0.0.0", port))
        except OSError:
            return False
    return True


class Machine:
    """One machine with the process of an entry instance."""

    def __init__(self, name, zone, host, ports, folder):
        self.name, self.zone, self.host = name, zone, host
        self.packet, ready, control = ports[:3]
        self.ready, self.control = (host, ready), f"{host}:{control}"
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process = None

    async def start(self):
        """Start, and serve until `close` is called."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SAPPHIRERAIL_NODE_FILE"] = str(self.settings)
        for key, text in role["env"].items():
            environment[key] = text.replace(
                "{{listen.datagramAddr}}", f"{self.host}:{self.packet}"
            )
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=out, stderr=out
            )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class System:
    """A small deployment on loopback addresses, with the record of a case."""

    def __init__(self, folder, zones):
        self.record_file = (folder / "record.txt").open("w")
        self.started_s = time.monotonic()
        self.counts = {}
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.zones = zones
        self.machines, self.endpoints, self.clients = [], [], []
        self.n_endpoints = 0
        self.store = Store()
        self.router = None
        self.ports = free_ports(8)

    def record(self, what, **fields):
        """Write one line of the record."""
        self.counts[what] = self.counts.get(what, 0) + 1
        at_s = time.monotonic() - self.started_s
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.record_file.write(f"{at_s:8.3f} {what}: {text}\n")
        self.record_file.flush()

    async def start_platform(self, configuration):
        """Start the store and write the first configuration."""
        await self.store.start(STORE_HOST)
        self.store.put("op/config", configuration)

    async def add_endpoint(self, name, service, zone, address=None):
        """Start an endpoint, on an address of its own if none is given."""
        self.n_endpoints += 1
        address = address or (f"127.0.2.{self.n_endpoints}", 0)
        endpoint = Endpoint(
            self.record, self.store, name, address, service, zone, self.ports[0]
        )
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def start_machines(self, n_in_zone, bounds=None, stores=None):
        """Start the machines of all zones.

        Parameters
        ----------
        n_in_zone : int
            Number of machines in each zone.
        bounds : dict or None
            Bounds that differ from those of the smallest deployment.
        stores : dict or None
            Address of the store by machine, where it is reached through a proxy.
        """
        folder = Path(self.temporary.name)
        for zone in self.zones:
            for number in range(1, n_in_zone + 1):
                host = f"127.0.1.{len(self.machines) + 1}"
                name = f"front-{zone}-{number}"
                machine = Machine(name, zone, host, self.ports, folder)
                self.machines.append(machine)
        seeds = ", ".join(f'"{m.control}"' for m in self.machines[:3])
        zones = "\n".join(f'{zone} = "accra"' for zone in self.zones)
        for machine in self.machines:
            text = SETTINGS.format(
                name=machine.name,
                zone=machine.zone,
                host=machine.host,
                zones=zones,
                seeds=seeds,
                store=(stores or {}).get(machine.name, self.store.address),
                packet=self.ports[0],
                ready=self.ports[1],
                control=self.ports[2],
                peer=self.ports[3],
                peer_last=self.ports[-1],
            )
            for name, value in (bounds or {}).items():
                text = re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", text)
            machine.settings.write_text(text)
        await asyncio.gather(*(machine.start() for machine in self.machines))
        self.router = Router(self.record, self.machines)
        async with asyncio.timeout(READY_WITHIN_S):
            while len(self.router.in_rotation()) < len(self.machines):
                await asyncio.sleep(0.1)

    def add_client(self):
        """Add a client host."""
        host = f"127.0.3.{len(self.clients) + 1}"
        client = Client(self.record, self.router, host, self.ports[0])
        self.clients.append(client)
        return client

    def resets_of_open_flows(self):
        """Return how many open flows got a reset of the system's own."""
        return sum(
            flow.ended_by == "the system" and flow.is_open
            for client in self.clients
            for flow in client.flows.values()
        )

    async def close(self):
        """Stop and release everything that was started."""
        if self.router is not None:
            self.router.close()
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                await machine.process.wait()
        for part in (*self.clients, *self.endpoints, self.store):
            part.close()
        self.temporary.cleanup()
        self.record_file.close()


def run_case(case, folder, zones=("osu", "madina"), limit_s=110):
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if it couldn't run.

    Parameters
    ----------
    case : coroutine function
        Gets the system and whether to make the disruption; returns what broke.
    folder : Path
        Folder of the case, for its record.
    """

    async def run():
        system = System(folder, zones)
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        system.record("case", trouble=has_trouble)
        try:
            async with asyncio.timeout(limit_s):
                return await case(system, has_trouble)
        finally:
            await system.close()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        print("broken:", line)
    if not broken:
        print("the rule held")
    with (folder / "record.txt").open("a") as record:
        record.write(json.dumps({"broken": broken}) + "\n")
    sys.exit(1 if broken else 0)
