"""Configuration and traffic that the cases have in common."""

import asyncio
import contextlib

from packets import FlowEndedError

HOST = "198.18.0.1"
FEED_PORT, HOLD_PORT = 8443, 8080
SERVICE = "brushline"
FEED_INTERVAL_S = 0.3
FEED_WORK_MS = 15
HOLD_WORK_MS = 800
DEADLINE_S = 5


def route(name, port, kind, service):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{port}/",
        "kind": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 120,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def configuration(version=7):
    """Return a configuration with a route for feeds and one for slot holds."""
    return {
        "version": version,
        "routes": [
            route("feed", FEED_PORT, "safe", SERVICE),
            route("hold", HOLD_PORT, "unsafe", SERVICE),
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 4222,
                "protocol": "h1",
                "tls": False,
                "warmupS": 2.0,
                "warmupPerS": 0.0,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


async def keep_feed(client, number, until_s):
    """Keep one flow open and send requests over it, with pauses between them."""
    flow = await client.open((HOST, FEED_PORT))
    count = 0
    loop = asyncio.get_running_loop()
    with contextlib.suppress(FlowEndedError):
        while loop.time() < until_s:
            count += 1
            await flow.request(f"feed-{number}-{count}", FEED_WORK_MS, DEADLINE_S)
            await asyncio.sleep(FEED_INTERVAL_S)


async def hold(client, number):
    """Send one request that must not be repeated, over a flow of its own."""
    with contextlib.suppress(FlowEndedError):
        flow = await client.open((HOST, HOLD_PORT))
        await flow.request(f"hold-{number}", HOLD_WORK_MS, DEADLINE_S)


async def run_traffic(system, n_feeds, n_holds_per_s, length_s, trouble_at_s, trouble):
    """Run feeds and holds for a time; call `trouble` once in between."""
    clients = [system.add_client() for _ in range(4)]
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = [
        asyncio.create_task(keep_feed(clients[n % 4], n, began_s + length_s))
        for n in range(n_feeds)
    ]
    is_done = False
    for number in range(n_holds_per_s * length_s):
        if not is_done and loop.time() - began_s >= trouble_at_s:
            is_done = True
            trouble()
        tasks.append(asyncio.create_task(hold(clients[number % 4], number)))
        await asyncio.sleep(1 / n_holds_per_s)
    await asyncio.gather(*tasks)


def broken_flows(system):
    """Return what broke the rule FLOW: resets of open flows by the system."""
    system.record(
        "totals", **{k.replace(" ", "_"): n for k, n in system.counts.items()}
    )
    n_resets = system.resets_of_open_flows()
    if not n_resets:
        return []
    return [
        f"FLOW: {n_resets} open flows got a reset that their endpoint, which was alive "
        "and undisturbed, did not send"
    ]
