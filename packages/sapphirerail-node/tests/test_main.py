import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from sapphirerail_node.exit_code import ExitCode

_KEY = "a key of tests"
_READY_TIMEOUT_S = 30


def _command(*flags):
    return [
        sys.executable,
        "-m",
        "sapphirerail_node",
        "--instance",
        "osu-1",
        "--data-centre",
        "osu",
        "--platform",
        # Nothing listens on this port: an instance also starts without the platform.
        "127.0.0.1:1",
        *flags,
    ]


def _environment(**changes):
    kept = {k: v for k, v in os.environ.items() if not k.startswith("SAPPHIRERAIL_")}
    return kept | {"SAPPHIRERAIL_KEY": _KEY} | changes


def _run(*flags, **changes):
    return subprocess.run(
        _command(*flags),
        env=_environment(**changes),
        capture_output=True,
        text=True,
        timeout=_READY_TIMEOUT_S,
        check=False,
    )


def _start(*flags):
    return subprocess.Popen(
        _command("--ready-timeout-ms", "0", *flags),
        env=_environment(),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def _finish(process):
    _, logs = process.communicate(timeout=_READY_TIMEOUT_S)
    return process.returncode, [json.loads(line) for line in logs.splitlines()]


def test_print_settings_shows_value_and_source():
    done = _run("--print-settings", "--seed", "3", SAPPHIRERAIL_LOG_LEVEL="debug")
    lines = done.stdout.splitlines()
    assert "seed = 3  (flag)" in lines
    assert "log_level = debug  (environment)" in lines
    assert "n_flows_max = 300000  (default)" in lines
    assert "key = (hidden)  (environment)" in lines
    assert _KEY not in done.stdout


def test_flag_takes_precedence_over_environment():
    done = _run("--print-settings", "--seed", "3", SAPPHIRERAIL_SEED="4")
    assert "seed = 3  (flag)" in done.stdout.splitlines()


@pytest.mark.parametrize(
    ("flags", "changes", "expected"),
    [
        (("--caller-address", "here"), {}, "--caller-address: 'here'"),
        (("--stop-timeout-ms", "5"), {}, "--stop-timeout-ms: 5"),
        ((), {"SAPPHIRERAIL_KEY": ""}, "SAPPHIRERAIL_KEY"),
    ],
)
def test_error_names_the_invalid_setting(flags, changes, expected):
    done = _run(*flags, **changes)
    assert done.returncode == ExitCode.SETTINGS
    assert expected in done.stderr
    assert "settings.invalid" in done.stderr


def test_address_in_use_has_its_own_exit_code():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        taken.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        done = _run("--peer-address", address)
    assert done.returncode == ExitCode.ADDRESS_IN_USE
    assert address in done.stderr


def test_sigterm_stops_gracefully():
    process = _start("--stop-linger-ms", "0")
    ready = json.loads(process.stdout.readline())
    assert ready["instance"] == "osu-1"
    process.send_signal(signal.SIGTERM)
    code, logs = _finish(process)
    assert code == ExitCode.OK
    assert logs[-1]["message"] == "stopped"
    assert {"time", "level", "instance", "data_centre", "revision"} <= set(logs[-1])


def test_second_signal_stops_immediately():
    process = _start("--stop-linger-ms", "600000")
    process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    # Send the second signal only after the log shows that the first was handled.
    while "shutdown begins" not in process.stderr.readline():
        pass
    process.send_signal(signal.SIGTERM)
    code, _ = _finish(process)
    assert code == ExitCode.FORCED


def test_overdue_shutdown_is_forced():
    process = _start("--stop-linger-ms", "600000", "--stop-timeout-ms", "1000")
    process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    code, logs = _finish(process)
    assert code == ExitCode.FORCED
    assert any("cut" in line["message"] for line in logs)


def test_start_without_a_plan_is_logged():
    process = _start("--stop-linger-ms", "0")
    process.stdout.readline()
    process.send_signal(signal.SIGTERM)
    _, logs = _finish(process)
    assert any("without a plan" in line["message"] for line in logs)
