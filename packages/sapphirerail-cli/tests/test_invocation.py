import asyncio

import pytest
import typer

from sapphirerail_cli.exit_code import ExitCode
from sapphirerail_cli.invocation import Facades, check_store_not_behind


class _StoreWithConcurrentWrites:
    """Store and fleet; a write follows each query unless the store is behind."""

    def __init__(self, in_store, in_fleet):
        self.in_store = in_store
        self.in_fleet = in_fleet

    async def store_revision(self):
        revision = self.in_store
        self._write()
        return revision

    async def highest_sampled_revision(self):
        revision = self.in_fleet
        self._write()
        return revision

    def _write(self):
        if self.in_store >= self.in_fleet:
            self.in_store += 1
            self.in_fleet = self.in_store


def test_concurrent_write_does_not_look_like_lost_writes():
    store = _StoreWithConcurrentWrites(in_store=1, in_fleet=1)
    asyncio.run(check_store_not_behind(Facades(store, store)))


def test_store_that_lost_writes_is_detected():
    store = _StoreWithConcurrentWrites(in_store=1, in_fleet=2)
    with pytest.raises(typer.Exit) as exit_info:
        asyncio.run(check_store_not_behind(Facades(store, store)))
    assert exit_info.value.exit_code == ExitCode.STORE_BEHIND
