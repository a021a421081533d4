"""How many requests may be sent to a version that may be bad.

The bound is a share of all requests of the pool since the order and a number on top. It
holds over all instances and any change of coordinators, since a coordinator only uses
what it has reserved in the store by compare-and-swap. What a coordinator that ends has
reserved and not used is lost, which makes the trial smaller and never larger.
"""

from dataclasses import dataclass

USED_SHARE = 0.9
"""Part of the bound that is used. The rest covers requests of the pool that were
counted here and did not reach it."""
CONTINUED_SHARE = 0.1
"""Part of what is reserved that only streams which go on may use."""


@dataclass
class Allowance:
    """What may be sent to the version on trial, and what was.

    Attributes
    ----------
    share, slack : float
        The bound: a share of the pool's requests, and a number on top.
    sent : int
        Requests of the pool since the order, as far as they are known.
    reserved : int
        Requests to the version that all coordinators together may send, as stored.
    left : int
        What this process may still send of it.
    """

    share: float
    slack: float
    sent: int = 0
    reserved: int = 0
    left: int = 0

    def limit(self) -> int:
        """Return what may be reserved now."""
        return max(0, int(USED_SHARE * (self.share * self.sent + self.slack)))

    def wanted(self) -> int:
        """Return what may be reserved beyond what is."""
        return max(0, self.limit() - self.reserved)

    def grow(self, reserved: int) -> None:
        """Use a reservation that has been stored, which was made here."""
        self.left += max(0, reserved - self.reserved)
        self.reserved = max(self.reserved, reserved)

    def adopt(self, sent: int, reserved: int) -> None:
        """Heed what another coordinator has stored; nothing of it may be used here."""
        self.sent = max(self.sent, sent)
        self.reserved = max(self.reserved, reserved)

    def allows(self, goes_on: bool) -> bool:
        """Return whether one more request may be sent to the version."""
        kept = 0 if goes_on else int(CONTINUED_SHARE * min(self.reserved, self.slack))
        return self.left > kept

    def take(self) -> None:
        """Count a request to the version."""
        self.left -= 1

    def give_back(self) -> None:
        """Count a request to the version that was not sent."""
        self.left += 1
