"""A rack of instances fails while the platform is down."""

from sapphirerail_standins.history import Answered, FlowEnded
from sapphirerail_standins.platform import Faults
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.waiting import wait_until

SPEC = small_system(
    n_bookings=4, data_centres=("osu", "madina"), n_instances=4, seed=61
)
N_FEEDS = 30
N_TRANSACTIONS_AFTER = 20


def test_half_of_a_data_centre_lost_with_the_platform_down_breaks_no_flow():
    async def scenario(system, workload):
        feeds = workload.open_feeds(N_FEEDS)
        await wait_for_feed_progress(feeds)
        await system.set_platform_faults(Faults(down=True, list_down=True))
        for instance in system.instances.in_data_centre("osu")[:2]:
            await system.instances.kill(instance.name)
        await wait_for_feed_progress(feeds)
        assert not any(feed.is_done for feed in feeds)
        answered = []
        while len(answered) < N_TRANSACTIONS_AFTER:
            workload.send_transactions(1)
            await wait_until("a transaction has an outcome", workload.has_all_outcomes)
            events = [e for callers in system.callers.values() for e in callers.events]
            answered = [event for event in events if isinstance(event, Answered)]
        await system.set_platform_faults(Faults())
        for feed in feeds:
            feed.close()

    events = run_scenario(SPEC, scenario)
    assert sum(isinstance(event, FlowEnded) for event in events) == N_FEEDS
