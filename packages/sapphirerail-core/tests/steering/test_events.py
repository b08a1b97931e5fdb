from sapphirerail_core.steering import Reason, StateChange
from sapphirerail_core.steering.server_state import Health


def test_values_in_logs_and_metrics_stay():
    assert StateChange.SERVER_FAILED.value == "server_dead"
    assert StateChange.SERVER_FAILURE_REPORTED.value == "server_dead_by_peer"
    assert StateChange.INSTANCE_ISOLATED.value == "instance_stranded"
    assert Reason.SERVER_FAILED.value == "server_dead"
    assert Reason.SERVERS_FAILED.value == "servers_dead"
    assert Health.FAILED.value == "dead"
