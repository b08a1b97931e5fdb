import random

import pytest
from bench.request_plan import small_plan

from sapphirerail_core.fleet import FixedFleet
from sapphirerail_core.journal import Journal
from sapphirerail_core.request.config import DispatcherConfig
from sapphirerail_core.request.context import Context
from sapphirerail_core.request.roles import RoleTable
from sapphirerail_core.request.routes import Routes

SETTLE_MS = 2_000
DATA_CENTRE = "dc0"
MEMBERS = {name: DATA_CENTRE for name in ("dc0-a", "dc0-b", "dc0-c")}


def _roles(self_id, members=MEMBERS, started_at_ms=0):
    plan = small_plan(n_data_centres=1, n_servers=4)
    config = DispatcherConfig(view_settle_ms=SETTLE_MS)
    fleet = FixedFleet(self_id, members)
    context = Context(
        config, fleet, None, Journal(self_id), random.Random(1), plan=plan
    )
    routes = Routes(context)
    return RoleTable(context, routes, started_at_ms), routes


@pytest.mark.parametrize("server", ["s0", "s1", "s2", "s3"])
def test_new_owner_leaves_requests_to_the_next_in_rank(server):
    _, routes = _roles("dc0-a")
    first, second, _ = routes.ranked_owners(server)
    roles, _ = _roles(first)
    assert roles.holder_of(server, SETTLE_MS - 1) == second
    assert roles.holder_of(server, SETTLE_MS) == first


def test_new_owner_without_other_instances_keeps_its_requests():
    roles, _ = _roles("dc0-a", {"dc0-a": DATA_CENTRE})
    assert roles.holder_of("s0", 0) == "dc0-a"


def test_unknown_server_has_no_role_holder():
    roles, _ = _roles("dc0-a")
    assert roles.holder_of("unknown", 0) is None
