import json

from sapphirerail_core.log_timeline import build_timeline, read_log, render_timeline


def line(second, mono_ms, instance, message, **fields):
    time = f"2026-12-04 14:00:{second:06.3f}".replace(".", ",")
    return json.dumps(
        {"time": time, "mono_ms": mono_ms, "instance": instance, "message": message}
        | {"class": "flow"}
        | fields
    )


def test_lines_of_instances_are_merged_by_time():
    lines = read_log(
        [
            line(5, 5_000, "a", "flow_opening", flow="x"),
            line(4, 90_000, "b", "flow_opening", flow="x"),
            line(6, 92_000, "b", "flow_reset", flow="x"),
        ]
    )
    assert [(entry.instance, entry.message) for entry in lines] == [
        ("b", "flow_opening"),
        ("a", "flow_opening"),
        ("b", "flow_reset"),
    ]


def test_a_wall_clock_that_jumps_does_not_reorder_lines():
    jumped = [line(s, 1_000 * s, "a", f"m{s}") for s in (1, 2, 3, 4)]
    jumped[2] = line(33, 3_000, "a", "m3")
    assert [entry.message for entry in read_log(jumped)] == ["m1", "m2", "m3", "m4"]


def test_restart_starts_a_new_monotonic_clock():
    lines = read_log(
        [
            line(1, 800_000, "a", "started"),
            line(2, 801_000, "a", "m1"),
            line(8, 10, "a", "started"),
            line(9, 1_010, "a", "m2"),
        ]
    )
    assert [entry.message for entry in lines] == ["started", "m1", "started", "m2"]


def test_text_around_lines_and_other_text_are_ignored():
    lines = read_log(
        ["  1.02 front-a " + line(1, 1, "a", "m"), "Traceback", "{broken", "{}", ""]
    )
    assert [entry.message for entry in lines] == ["m"]


def test_timeline_of_a_reset_includes_preceding_state_changes():
    lines = read_log(
        [
            line(1, 1_000, "a", "flow_opening", flow="c:1>s:2", server="i-1"),
            line(2, 2_000, "a", "server_dead", subject="i-1", silence_ms=300).replace(
                '"class": "flow"', '"class": "belief"'
            ),
            line(2, 2_000, "b", "server_dead", subject="i-1"),
            line(2.2, 2_200, "a", "server_dead", subject="i-9"),
            line(2.5, 2_500, "a", "flow_reset", flow="c:1>s:2", reason="server_dead"),
            line(2.6, 2_600, "a", "flow_reset", flow="c:9>s:2", reason="no_route"),
        ]
    )
    timeline = build_timeline(lines, flow="c:1>")
    assert [entry.message for entry in timeline.lines] == [
        "flow_opening",
        "server_dead",
        "flow_reset",
    ]
    assert "cannot be reached" in timeline.cause
    text = render_timeline(timeline)
    assert "silence_ms=300" in text
    assert text.splitlines()[-1].startswith("cause: probes show")


OPENED = line(1, 1_000, "a", "flow_opening", flow="f", server="i-1")


def test_crash_of_the_instance_is_the_cause():
    crashed = [OPENED, line(9, 10, "a", "started"), line(9, 9_000, "b", "started")]
    timeline = build_timeline(read_log(crashed), flow="f")
    assert [entry.message for entry in timeline.lines] == ["flow_opening", "started"]
    assert "its instance was lost" in timeline.cause


def test_planned_stop_of_the_instance_is_not_the_cause():
    stopped = [OPENED, line(5, 5_000, "a", "stopped"), line(9, 10, "a", "started")]
    assert build_timeline(read_log(stopped), flow="f").cause is None


def test_later_failure_of_the_server_is_the_cause():
    dead = [OPENED, line(3, 3_000, "b", "server_dead", subject="i-1")]
    dead += [line(9, 10, "a", "started")]
    assert (
        "was later detected as failed" in build_timeline(read_log(dead), flow="f").cause
    )
    others = [OPENED, line(3, 3_000, "b", "server_dead", subject="i-2")]
    assert build_timeline(read_log(others), flow="f").cause is None


def test_refusal_takes_precedence_over_later_failures():
    reset = line(2, 2_000, "a", "flow_reset", flow="f", reason="no_route")
    lines = read_log([OPENED, reset, line(9, 10, "a", "started")])
    assert "no route" in build_timeline(lines, flow="f").cause


def refused_at(second, *others):
    reset = line(second, second * 1_000, "a", "flow_reset", flow="f")
    reset = reset.replace('"flow": "f"', '"flow": "f", "reason": "servers_dead"')
    return build_timeline(read_log([*others, reset]), flow="f")


def test_refusal_by_an_isolated_instance_names_the_isolation():
    isolated = line(4, 4_000, "a", "instance_stranded", subject="a")
    for timeline in (refused_at(3, isolated), refused_at(6, isolated)):
        assert "was isolated" in timeline.cause
        assert "instance_stranded" in [entry.message for entry in timeline.lines]


def test_refusal_outside_of_an_isolation_names_the_servers():
    isolated = line(4, 4_000, "a", "instance_stranded", subject="a")
    rejoined = line(5, 5_000, "a", "instance_rejoined", subject="a")
    other = line(4, 4_000, "b", "instance_stranded", subject="b")
    for timeline in (
        refused_at(8, isolated, rejoined),
        refused_at(0.5, isolated),
        refused_at(5, other),
    ):
        assert "no server of the service can be reached" in timeline.cause


def test_timeline_of_a_server_includes_state_changes_and_openings():
    lines = read_log(
        [
            line(1, 1_000, "a", "server_added", subject="i-1"),
            line(2, 2_000, "a", "flow_opening", flow="f", server="i-1"),
            line(3, 3_000, "a", "server_added", subject="i-2"),
        ]
    )
    timeline = build_timeline(lines, server="i-1")
    assert [entry.message for entry in timeline.lines] == [
        "server_added",
        "flow_opening",
    ]
    assert timeline.cause is None


def test_empty_timeline_reports_no_matching_line():
    assert "no line names this flow or server" in render_timeline(
        build_timeline([], flow="x")
    )
