"""A backend server drains with open flows while an instance crashes."""

from sapphirerail_standins.history import Answered, Arrived, FlowEnded, FlowEnding
from sapphirerail_standins.scenario import run_scenario, wait_for_feed_progress
from sapphirerail_standins.sheets import server_row
from sapphirerail_standins.topology import small_system
from sapphirerail_standins.violation import Limits
from sapphirerail_standins.waiting import wait_until

SPEC = small_system(n_bookings=4, data_centres=("osu", "madina"), seed=11)
N_FEEDS = 30
N_TRANSACTIONS_AFTER = 20


async def _open_flows(workload):
    feeds = workload.open_feeds(N_FEEDS)
    uploads = workload.start_uploads(4, 30, pause_ms=100.0)
    await wait_for_feed_progress(feeds)
    await wait_until("uploads open", lambda: all(up.is_open for up in uploads))
    return feeds, uploads


async def _send_transactions_in_turn(workload):
    """Send transactions one after the other, so that none is queued."""
    for number in range(N_TRANSACTIONS_AFTER):
        workload.send_transactions(1)
        await wait_until(
            f"transaction {number} has an outcome", workload.transactions[-1].done
        )


def _assert_all_survived(events, n_uploads):
    endings = [event.ending for event in events if isinstance(event, FlowEnded)]
    assert endings.count(FlowEnding.COMPLETE) == n_uploads
    assert endings.count(FlowEnding.CLOSED) == N_FEEDS
    assert len(endings) == N_FEEDS + n_uploads


def _new_work(events, server):
    return [
        event
        for event in events
        if isinstance(event, Arrived) and event.server == server and event.is_new_work
    ]


def test_drain_breaks_no_flow_and_ends_new_work():
    async def scenario(system, workload):
        feeds, uploads = await _open_flows(workload)
        async with workload:
            server = system.servers.running["bookings-1"]
            result = await system.operators.apply([server_row(server, "draining")])
            await system.wait_in_force(result.revision)
            await wait_for_feed_progress(feeds)
        await _send_transactions_in_turn(workload)
        await wait_for_feed_progress(feeds)
        await wait_until("uploads complete", lambda: all(up.is_done for up in uploads))
        for feed in feeds:
            feed.close()

    events = run_scenario(SPEC, scenario, Limits(traffic_stop_ms=4000))
    _assert_all_survived(events, n_uploads=4)
    assert _new_work(events, "bookings-1")


def test_crash_of_an_instance_during_a_drain_breaks_no_flow():
    async def scenario(system, workload):
        feeds, uploads = await _open_flows(workload)
        async with workload:
            server = system.servers.running["bookings-1"]
            result = await system.operators.apply([server_row(server, "draining")])
            await system.instances.kill("osu-a")
            await system.wait_in_force(result.revision)
            await wait_for_feed_progress(feeds)
        await _send_transactions_in_turn(workload)
        await wait_until("uploads complete", lambda: all(up.is_done for up in uploads))
        for feed in feeds:
            feed.close()

    events = run_scenario(SPEC, scenario)
    _assert_all_survived(events, n_uploads=4)
    assert any(isinstance(event, Answered) for event in events)


def test_crash_of_a_server_is_told_to_its_feeds_and_leaves_the_others():
    async def scenario(system, workload):
        feeds = workload.open_feeds(N_FEEDS)
        await wait_for_feed_progress(feeds)
        await system.servers.kill("bookings-2")
        await wait_for_feed_progress(feeds)
        later = workload.open_feeds(5)
        await wait_for_feed_progress(later)
        assert not any(feed.is_done for feed in later)
        assert any(feed.is_done for feed in feeds)
        assert any(not feed.is_done for feed in feeds)

    run_scenario(SPEC, scenario)
