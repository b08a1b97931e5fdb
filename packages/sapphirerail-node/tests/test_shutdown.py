from sapphirerail_node.shutdown import Shutdown


def test_shutdown_waits_for_quiet_and_for_work():
    shutdown = Shutdown(linger_ms=100, timeout_ms=1000)
    assert not shutdown.is_complete(5000, 0)
    shutdown.begin(0)
    shutdown.on_traffic(80)
    assert not shutdown.is_complete(150, 0)
    assert not shutdown.is_complete(500, 3)
    assert shutdown.is_complete(180, 0)
    assert not shutdown.is_overdue(999)
    assert shutdown.is_overdue(1000)
