import json
import logging
import os

import pytest

from sapphirerail_node.steering.decision_log import (
    BURST_S,
    LINES_PER_S,
    DecisionLog,
    LogClass,
    _NonBlockingHandler,
)


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def log_to(descriptor):
    handler = _NonBlockingHandler(descriptor)
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return DecisionLog(logger, handler)


def test_stopped_reader_does_not_block_writer(pipe):
    _, write_end = pipe
    log = log_to(write_end)
    for _ in range(100_000):
        log._handler.emit(logging.LogRecord("t", 20, "", 0, "x" * 200, None, None))
    assert log.n_dropped > 90_000


def test_partly_written_line_is_completed(pipe):
    read_end, write_end = pipe
    handler = _NonBlockingHandler(write_end)
    record = logging.LogRecord("t", 20, "", 0, "y" * 997, None, None)
    while handler.n_dropped == 0:
        handler.emit(record)
    read = b""
    for _ in range(200):
        read += os.read(read_end, 65_536)
        handler.emit(record)
    assert all(len(line) == 997 for line in read.split(b"\n")[:-1])


def test_rate_limit_of_a_class_spares_the_others_and_is_counted(caplog):
    logger = logging.getLogger("test.bounds")
    log = DecisionLog(logger)
    limit = LINES_PER_S["flow"] * BURST_S
    with caplog.at_level(logging.INFO):
        for _ in range(limit + 50):
            log.write(LogClass.FLOW, "flow_opening")
        log.write(LogClass.LIFECYCLE, "stopping")
    flows = [r for r in caplog.records if r.message == "flow_opening"]
    assert limit <= len(flows) < limit + 10
    assert [r.message for r in caplog.records][-1] == "stopping"
    bucket = log._buckets[LogClass.FLOW]
    assert bucket.n_left_out == limit + 50 - len(flows)


def test_line_is_one_json_object():
    from pythonjsonlogger.json import JsonFormatter

    record = logging.LogRecord("t", 20, "", 0, "ready", None, None)
    assert json.loads(JsonFormatter("%(message)s").format(record))["message"] == "ready"


def test_classes_keep_their_names_in_log_lines():
    values = [kind.value for kind in LogClass]
    assert values == ["flow", "belief", "life"]
