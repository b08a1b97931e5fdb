from sapphirerail_cli.fleet_client import InstanceRevision, UnreachableInstance
from sapphirerail_cli.progress import compute_progress


def _revision(instance, data_centre, revision):
    return InstanceRevision(instance, data_centre, revision, 0)


def test_counts_by_data_centre():
    progress = compute_progress(
        3,
        [
            _revision("a", "Osu", 3),
            _revision("b", "Osu", 2),
            _revision("c", "Tema", 4),
            UnreachableInstance("d", "Tema", "http.timeout", "no answer"),
        ],
    )
    osu, tema = progress.data_centres
    assert (osu.data_centre, osu.n_in_force, osu.behind) == ("Osu", 1, ("b",))
    assert (tema.n_in_force, tema.unknown, tema.n_listed) == (1, ("d",), 2)
    assert (progress.n_in_force, progress.n_listed) == (2, 4)
    assert not progress.is_complete


def test_unreachable_instance_is_not_in_force():
    answers = [_revision("a", "Osu", 1), UnreachableInstance("b", "Osu", "x", "y")]
    assert not compute_progress(1, answers).is_complete
    assert compute_progress(1, answers[:1]).is_complete


def test_nothing_listed_is_not_complete():
    assert not compute_progress(1, []).is_complete
