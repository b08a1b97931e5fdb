"""Claim replica: stores which instance may run which request."""

from dataclasses import dataclass

from ..types import InstanceId
from .keys import RequestKey
from .messages import Claim, ClaimEntry, Grant, Withdraw

__all__ = ["NO_INSTANCE", "ClaimReplica"]

NO_INSTANCE = InstanceId("")
"""Stands for the absence of a holder or owner."""


@dataclass(slots=True)
class _StoredClaim:
    holder: InstanceId
    epoch: int
    expires_at_ms: int


class ClaimReplica:
    """Grants each claim to its first claimant only.

    Parameters
    ----------
    margin_ms : int
        How long a claim is stored beyond the deadline of its request.
    n_claims_max : int
        Maximum number of stored claims; further ones are not granted.

    Examples
    --------
    >>> replica = ClaimReplica(margin_ms=1000, n_claims_max=10)
    >>> replica.claim("osu-1", Claim(7, remaining_ms=500, epoch=1), now_ms=0)
    Grant(key=7, epoch=1, holder='osu-1')
    >>> replica.claim("osu-2", Claim(7, remaining_ms=500, epoch=5), now_ms=1)
    Grant(key=7, epoch=5, holder='osu-1')
    """

    def __init__(self, margin_ms: int, n_claims_max: int) -> None:
        self._margin_ms = margin_ms
        self._n_claims_max = n_claims_max
        self._claims: dict[RequestKey, _StoredClaim] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, claimant: InstanceId, claim: Claim, now_ms: int) -> Grant:
        """Return the holder after this attempt; empty if none may hold the claim."""
        stored = self._claims.get(claim.key)
        expires_at_ms = now_ms + claim.remaining_ms + self._margin_ms
        if stored is None:
            return self._claim_first(claimant, claim, expires_at_ms)
        # Any attempt shows that the caller is still transmitting the request.
        stored.expires_at_ms = max(stored.expires_at_ms, expires_at_ms)
        if stored.holder != claimant:
            return Grant(claim.key, claim.epoch, stored.holder)
        if stored.epoch != claim.epoch:
            # The holder may have run the request before a restart.
            return Grant(claim.key, claim.epoch, NO_INSTANCE)
        return Grant(claim.key, claim.epoch, claimant)

    def _claim_first(
        self, claimant: InstanceId, claim: Claim, expires_at_ms: int
    ) -> Grant:
        if len(self._claims) >= self._n_claims_max:
            return Grant(claim.key, claim.epoch, NO_INSTANCE)
        self._claims[claim.key] = _StoredClaim(claimant, claim.epoch, expires_at_ms)
        return Grant(claim.key, claim.epoch, claimant)

    def withdraw(self, claimant: InstanceId, withdraw: Withdraw) -> None:
        """Delete a claim that its holder returned without using it."""
        stored = self._claims.get(withdraw.key)
        if stored is None or stored.holder != claimant:
            return
        if stored.epoch == withdraw.epoch:
            del self._claims[withdraw.key]

    def entries(self, now_ms: int) -> list[ClaimEntry]:
        """Return all stored claims, for transfer to other replicas."""
        return [
            ClaimEntry(
                key, stored.holder, stored.epoch, max(0, stored.expires_at_ms - now_ms)
            )
            for key, stored in self._claims.items()
        ]

    def entries_of(self, key: RequestKey, now_ms: int) -> list[ClaimEntry]:
        """Return the stored claim of a key, for transfer to other replicas."""
        stored = self._claims.get(key)
        if stored is None:
            return []
        remaining_ms = max(0, stored.expires_at_ms - now_ms)
        return [ClaimEntry(key, stored.holder, stored.epoch, remaining_ms)]

    def restore(self, entry: ClaimEntry, now_ms: int) -> None:
        """Store a claim received from another replica, unless the key is known."""
        expires_at_ms = now_ms + entry.remaining_ms
        stored = _StoredClaim(entry.holder, entry.epoch, expires_at_ms)
        self._claims.setdefault(entry.key, stored)

    def drop_expired(self, now_ms: int) -> None:
        """Delete expired claims."""
        expired = [key for key, k in self._claims.items() if k.expires_at_ms <= now_ms]
        for key in expired:
            del self._claims[key]
