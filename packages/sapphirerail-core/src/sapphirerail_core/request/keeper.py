"""Remembers who may run which request."""

from dataclasses import dataclass

from ..types import InstanceId
from .keys import RequestKey
from .messages import Claim, ClaimEntry, Grant, Withdraw

__all__ = ["NOBODY", "ClaimKeeper"]

NOBODY = InstanceId("")


@dataclass(slots=True)
class _Kept:
    holder: InstanceId
    epoch: int
    forget_at_ms: int


class ClaimKeeper:
    """Grants a claim to the first claimant only.

    Parameters
    ----------
    margin_ms : int
        How long a claim is remembered beyond the deadline of its request.
    n_claims_max : int
        Claims that are remembered; beyond that none is granted.

    Examples
    --------
    >>> keeper = ClaimKeeper(margin_ms=1000, n_claims_max=10)
    >>> keeper.claim("osu-1", Claim(7, remaining_ms=500, epoch=1), now_ms=0)
    Grant(key=7, epoch=1, holder='osu-1')
    >>> keeper.claim("osu-2", Claim(7, remaining_ms=500, epoch=5), now_ms=1)
    Grant(key=7, epoch=5, holder='osu-1')
    """

    def __init__(self, margin_ms: int, n_claims_max: int) -> None:
        self._margin_ms = margin_ms
        self._n_claims_max = n_claims_max
        self._kept: dict[RequestKey, _Kept] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def claim(self, claimant: InstanceId, claim: Claim, now_ms: int) -> Grant:
        """Return who holds the claim after this attempt; empty if nobody may."""
        kept = self._kept.get(claim.key)
        forget_at_ms = now_ms + claim.remaining_ms + self._margin_ms
        if kept is None:
            return self._claim_first(claimant, claim, forget_at_ms)
        # Whoever asks, the caller is still sending the request.
        kept.forget_at_ms = max(kept.forget_at_ms, forget_at_ms)
        if kept.holder != claimant:
            return Grant(claim.key, claim.epoch, kept.holder)
        if kept.epoch != claim.epoch:
            # An earlier attempt of the holder, before a restart, may have run it.
            return Grant(claim.key, claim.epoch, NOBODY)
        return Grant(claim.key, claim.epoch, claimant)

    def _claim_first(
        self, claimant: InstanceId, claim: Claim, forget_at_ms: int
    ) -> Grant:
        if len(self._kept) >= self._n_claims_max:
            return Grant(claim.key, claim.epoch, NOBODY)
        self._kept[claim.key] = _Kept(claimant, claim.epoch, forget_at_ms)
        return Grant(claim.key, claim.epoch, claimant)

    def withdraw(self, claimant: InstanceId, withdraw: Withdraw) -> None:
        """Forget a claim that its holder gave back without using it."""
        kept = self._kept.get(withdraw.key)
        if kept is None or kept.holder != claimant:
            return
        if kept.epoch == withdraw.epoch:
            del self._kept[withdraw.key]

    def entries(self, now_ms: int) -> list[ClaimEntry]:
        """Return what is remembered, for the next keepers."""
        return [
            ClaimEntry(key, kept.holder, kept.epoch, max(0, kept.forget_at_ms - now_ms))
            for key, kept in self._kept.items()
        ]

    def entries_of(self, key: RequestKey, now_ms: int) -> list[ClaimEntry]:
        """Return what is remembered of one claim."""
        kept = self._kept.get(key)
        if kept is None:
            return []
        remaining_ms = max(0, kept.forget_at_ms - now_ms)
        return [ClaimEntry(key, kept.holder, kept.epoch, remaining_ms)]

    def restore(self, entry: ClaimEntry, now_ms: int) -> None:
        """Remember a claim that a leaving keeper remembered."""
        forget_at_ms = now_ms + entry.remaining_ms
        kept = _Kept(entry.holder, entry.epoch, forget_at_ms)
        self._kept.setdefault(entry.key, kept)

    def forget_expired(self, now_ms: int) -> None:
        """Drop the claims whose time is over."""
        expired = [key for key, k in self._kept.items() if k.forget_at_ms <= now_ms]
        for key in expired:
            del self._kept[key]
