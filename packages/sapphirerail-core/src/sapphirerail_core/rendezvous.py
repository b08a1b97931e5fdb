"""Weighted rendezvous (highest random weight) hashing."""

import math
from collections.abc import Iterable, Sequence

import xxhash

__all__ = ["hash_key", "rank", "score", "top"]

_SCALE = float(1 << 64)


def hash_key(text: str) -> int:
    """Return the 64-bit hash of a name.

    Parameters
    ----------
    text : str
        Any name; equal names give equal hashes on all machines.

    Returns
    -------
    int
        Unsigned 64-bit hash.
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def score(key: int, node_key: int, weight: float = 1.0) -> float:
    """Return the score of a node for a key; the node with the highest score wins.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key to be placed.
    node_key : int
        Unsigned 64-bit hash of the node, as returned by `hash_key`.
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
    """Return the nodes in descending order of score for a key.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key to be placed.
    nodes : iterable of str
        Names of the nodes.

    Returns
    -------
    list of str
        All nodes, the one with the highest score first.

    Examples
    --------
    >>> rank(7, ["a", "b", "c"]) == rank(7, ["c", "b", "a"])
    True
    """
    return sorted(nodes, key=lambda node: (-score(key, hash_key(node)), node))


def top(key: int, nodes: Sequence[str], n_nodes: int) -> tuple[str, ...]:
    """Return the first `n_nodes` nodes of `rank`.

    Parameters
    ----------
    key : int
        Unsigned 64-bit key to be placed.
    nodes : sequence of str
        Names of the nodes.
    n_nodes : int
        Maximum number of nodes returned.

    Returns
    -------
    tuple of str
        At most `n_nodes` names.
    """
    return tuple(rank(key, nodes)[:n_nodes])
