"""An entry instance that is cut off leaves the rotation, and only that one."""

import asyncio

from sapphirerail_standins.soak_system import SoakSystem
from sapphirerail_standins.waiting import wait_until

# Openings find the servers dead, two probes in turn take 250 ms each, and a margin.
NOTICED_MS = 3_000
SEED = 5


def test_an_instance_that_reaches_nothing_leaves_the_rotation_until_it_does():
    async def scenario():
        async with SoakSystem(SEED, n_instances=4) as system:
            system.start_callers()
            cut, *others = system.instances
            for server in system.servers:
                server.is_unresponsive = True
                system.refuse_probes(server)
            await system.store_relays[0].close()

            async def has_left() -> bool:
                return not await system.is_ready(cut)

            await wait_until("the cut instance left", has_left, NOTICED_MS)
            # The others reach the store: for them the servers are at fault.
            assert all([await system.is_ready(entry) for entry in others])
            await wait_until(
                "logged", lambda: bool(cut.log_records("instance_stranded"))
            )
            for server in system.servers:
                server.is_unresponsive = False
                await system.answer_probes(server)
            await wait_until("all serve again", system.all_ready, NOTICED_MS)
            await wait_until(
                "logged", lambda: bool(cut.log_records("instance_rejoined"))
            )

    asyncio.run(scenario())
