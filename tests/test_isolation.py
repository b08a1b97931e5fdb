"""Only the isolated entry instance leaves the rotation, and it returns."""

import asyncio

from sapphirerail_standins.soak_system import SoakSystem
from sapphirerail_standins.waiting import wait_until

# Openings detect the failed servers; two successive probes take 250 ms each; the
# rest is a margin.
DETECTION_TIMEOUT_MS = 3_000
SEED = 5


def test_isolated_instance_leaves_the_rotation_until_it_reconnects():
    async def scenario():
        async with SoakSystem(SEED, n_instances=4) as system:
            system.start_callers()
            isolated, *others = system.instances
            for server in system.servers:
                server.is_unresponsive = True
                system.refuse_probes(server)
            await system.store_relays[0].close()

            async def has_left_rotation() -> bool:
                return not await system.is_ready(isolated)

            await wait_until(
                "the isolated instance left the rotation",
                has_left_rotation,
                DETECTION_TIMEOUT_MS,
            )
            # The others reach the store, so they conclude that the servers have failed.
            assert all([await system.is_ready(entry) for entry in others])
            await wait_until(
                "logged", lambda: bool(isolated.log_records("instance_stranded"))
            )
            for server in system.servers:
                server.is_unresponsive = False
                await system.answer_probes(server)
            await wait_until("all serve again", system.all_ready, DETECTION_TIMEOUT_MS)
            await wait_until(
                "logged", lambda: bool(isolated.log_records("instance_rejoined"))
            )

    asyncio.run(scenario())
