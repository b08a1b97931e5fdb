"""Rendezvous (highest random weight) hashing with weights."""

import math
from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["hash_key", "rank", "score", "top"]

_SCALE = float(1 << 64)


def hash_key(text: str) -> int:
    """Return the 64-bit key of a name.

    Parameters
    ----------
    text : str
        Any name; equal names give equal keys on every machine.

    Returns
    -------
    int
        Unsigned 64-bit key.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def score(key: int, node_key: int, weight: float = 1.0) -> float:
    """Return the weight of a node for a key; the highest one is chosen.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key of what is placed.
    node_key : int
        Unsigned 64-bit key of the node, as from `hash_key`.
    weight : float
        Share of the node relative to the others; 0 excludes it.

    Returns
    -------
    float
        The score, comparable between nodes for the same key.
    """
    if weight <= 0.0:
        return -math.inf
    digest = xxhash.xxh3_64_intdigest(key.to_bytes(8, "little"), seed=node_key)
    return -weight / math.log((digest + 1) / (_SCALE + 2.0))


def rank(key: int, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in falling order of preference for a key.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key of what is placed.
    nodes : iterable of str
        Names of the nodes.

    Returns
    -------
    list of str
        All nodes, the preferred one first.

    Examples
    --------
    >>> rank(7, ["a", "b", "c"]) == rank(7, ["c", "b", "a"])
    True
    """
    return sorted(nodes, key=lambda node: (-score(key, hash_key(node)), node))


def top(key: int, nodes: Sequence[str], n_nodes: int) -> tuple[str, ...]:
    """Return the first nodes of `rank`.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key of what is placed.
    nodes : sequence of str
        Names of the nodes.
    n_nodes : int
        How many to return at most.

    Returns
    -------
    tuple of str
        At most `n_nodes` names.
    """
    return tuple(rank(key, nodes)[:n_nodes])
