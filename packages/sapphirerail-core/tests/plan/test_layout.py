import pytest

from sapphirerail_core.errors import InputError
from sapphirerail_core.plan import layout
from sapphirerail_core.plan.digest import content_digest
from sapphirerail_core.plan.model import (
    DataCentre,
    Layer,
    Plan,
    Seat,
    Server,
    Service,
    Write,
)
from sapphirerail_core.plan.store import VALUE_MAX_BYTES
from sapphirerail_core.types import ServerState

N_SERVICES = 10_000
N_SERVERS = 28_000
N_LEFT = 16_000


def _target_plan():
    """Return a plan of the target size, with tombstones, layers and long names."""
    services = {
        f"customer-address-{n:05}": Service(
            f"customer-address-{n:05}", f"tenant-{n % 900:03}", n
        )
        for n in range(N_SERVICES)
    }
    names = list(services)
    servers = {}
    for n in range(N_SERVERS + N_LEFT):
        name = f"backend-server-{n:06}"
        servers[name] = Server(
            server=name,
            service=names[n % N_SERVICES],
            data_centre=f"data-centre-{n % 7}",
            address=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000",
            state=ServerState.ACTIVE if n < N_SERVERS else ServerState.LEFT,
            seat=n // N_SERVICES,
            changed_at=n * 7919,
        )
    seats = tuple(Seat(n, f"backend-server-{n:06}") for n in range(3))
    layers = {
        name: (Layer(seats, 1, 2, 1_700_000_000_000),) * 2 for name in names[:4000]
    }
    data_centres = {
        f"data-centre-{n}": DataCentre(f"data-centre-{n}") for n in range(7)
    }
    history = tuple(
        Write(revision=n, write_id="f" * 32, operator="o" * 20, sheet_digest="a" * 64)
        for n in range(layout.HISTORY_LENGTH)
    )
    plan = Plan(
        revision=1_000_000,
        data_centres=data_centres,
        services=services,
        servers=servers,
        layers=layers,
        history=history,
    )
    return plan


def test_values_of_a_plan_of_target_size_stay_below_a_tenth_of_the_limit():
    plan = _target_plan()
    shards = layout.split(plan)
    assert len(shards) == layout.N_SHARDS
    sizes = [
        len(layout.encode_shard("f" * 32, layout.pack(shard)))
        for shard in shards.values()
    ]
    refs = {index: layout.ShardRef(10**6, 10**9, 2**32 - 1, 10**6) for index in shards}
    garbage = [
        layout.Garbage(layout.shard_key(index, 10**6), 10**9) for index in shards
    ]
    root = layout.encode_root(layout.make_root(plan, refs, garbage))
    assert max(sizes) < VALUE_MAX_BYTES / 10
    assert len(root) < VALUE_MAX_BYTES / 10


def test_plan_of_target_size_survives_storage():
    plan = _target_plan()
    shards = [
        layout.unpack(layout.pack(shard)) for shard in layout.split(plan).values()
    ]
    root = layout.Root(
        revision=plan.revision,
        digest=content_digest(plan),
        data_centres=tuple(plan.data_centres.values()),
        history=plan.history,
    )
    read = layout.assemble(root, shards)
    assert (read.servers, read.services) == (plan.servers, plan.services)
    assert read.layers == plan.layers


def test_missing_shard_is_refused():
    plan = _target_plan()
    shards = list(layout.split(plan).values())
    root = layout.Root(revision=plan.revision, digest=content_digest(plan))
    with pytest.raises(InputError) as refused:
        layout.assemble(root, shards[:-1])
    assert refused.value.code == "plan.digest_mismatch"


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("", "plan.malformed_root"),
        ("{}", "plan.malformed_root"),
        ('{"revision":1,"digest":0,"format":2}', "plan.unknown_format"),
    ],
)
def test_invalid_root_is_refused(text, code):
    with pytest.raises(InputError) as refused:
        layout.decode_root(text)
    assert refused.value.code == code


@pytest.mark.parametrize("text", ["", "x", "eJwDAAAAAAE=", "not base64 é"])
def test_invalid_shard_is_refused(text):
    with pytest.raises(InputError) as refused:
        layout.unpack(text)
    assert refused.value.code == "plan.malformed_shard"
