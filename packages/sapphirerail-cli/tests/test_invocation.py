import asyncio

import pytest
import typer

from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_cli.invocation import Facades, check_store_not_behind


class _World:
    """A store that takes a write whenever somebody is asked."""

    def __init__(self, in_store, in_fleet):
        self.in_store = in_store
        self.in_fleet = in_fleet

    async def store_revision(self):
        revision = self.in_store
        self._write()
        return revision

    async def highest_known(self):
        revision = self.in_fleet
        self._write()
        return revision

    def _write(self):
        if self.in_store >= self.in_fleet:
            self.in_store += 1
            self.in_fleet = self.in_store


def test_write_of_another_meanwhile_is_no_lost_store():
    world = _World(in_store=1, in_fleet=1)
    asyncio.run(check_store_not_behind(Facades(world, world)))


def test_store_that_lost_writes_is_noticed():
    world = _World(in_store=1, in_fleet=2)
    with pytest.raises(typer.Exit) as ended:
        asyncio.run(check_store_not_behind(Facades(world, world)))
    assert ended.value.exit_code == ExitCode.STORE_BEHIND
