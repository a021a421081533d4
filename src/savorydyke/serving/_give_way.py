"""Log lines and metrics of readers that give way."""

import trio

from savorydyke import _logs
from savorydyke._metrics import Metrics
from savorydyke.serving._held_bytes import HeldBytes, Holder, bounds_of

log = _logs.component_logger("request")


def new_held_bytes(memory_mb: float, metrics: Metrics) -> HeldBytes:
    """Return the count of what an instance with this memory holds."""
    held = HeldBytes(bounds_of(memory_mb))

    def record(holder: Holder) -> None:
        is_waiting_for_endpoint, since = holder.slowness()
        labels = {"team": holder.caller, "tier": holder.tier}
        metrics.gave_way.inc(labels)
        log.warning(
            "Reader gives way.",
            extra={
                "team": holder.caller,
                "rank": holder.tier,
                "bytes": {kind.value: size for kind, size in holder.sizes.items()},
                "is_unread": not is_waiting_for_endpoint,
                "waited_ms": int((trio.current_time() - since) * 1000),
                "held": held.total,
            },
        )

    held.on_give_way = record
    return held
