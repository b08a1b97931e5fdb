import asyncio

from sapphirerail_node.lifecycle import LifeCycle, Phase


def test_hooks_run_in_reverse_and_survive_a_failure():
    closed = []

    def hook(name, fails=False):
        async def close():
            closed.append(name)
            if fails:
                raise RuntimeError(name)

        return close

    life = LifeCycle()
    life.on_close("first", hook("first"))
    life.on_close("second", hook("second", fails=True))
    life.on_close("third", hook("third"))
    asyncio.run(life.close())
    assert closed == ["third", "second", "first"]
    assert life.phase is Phase.STOPPED
