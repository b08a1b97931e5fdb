import asyncio

from sapphirerail_node.lifecycle import LifeCycle, Phase


def test_hooks_run_in_reverse_order_despite_a_failure():
    closed = []

    def hook(name, fails=False):
        async def close():
            closed.append(name)
            if fails:
                raise RuntimeError(name)

        return close

    lifecycle = LifeCycle()
    lifecycle.add_close_hook("first", hook("first"))
    lifecycle.add_close_hook("second", hook("second", fails=True))
    lifecycle.add_close_hook("third", hook("third"))
    asyncio.run(lifecycle.close())
    assert closed == ["third", "second", "first"]
    assert lifecycle.phase is Phase.STOPPED
