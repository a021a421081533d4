"""Fields of the log line with which a routed request ends."""

from typing import TYPE_CHECKING

from savorydyke._answer_kinds import RelayedAnswer

if TYPE_CHECKING:
    from savorydyke._routed_request import RoutedRequest


def end_fields(request: "RoutedRequest", how: str, now: float) -> dict[str, object]:
    """Return what is logged of a request that has ended."""
    info, arrived = request.request_info, request.incoming.arrived
    first_s = request.first_byte - arrived if request.first_byte else None
    return {
        "request": info.request_id,
        "how": how,
        "route": request.route.name,
        "pool": request.pool,
        "team": request.team,
        "rank": request.tier,
        "version": request.config_version,
        "age_ms": int(request.config_age_s * 1000),
        "endpoints": request.sent_to,
        "versions": request.versions,
        "forwarders": request.forwarders,
        "resumes": info.resumes,
        "last_event": info.last_event_id,
        "tokens": [info.prompt_tokens, info.max_output_tokens],
        "waited_ms": int(request.waited_s * 1000),
        "first_ms": -1 if first_s is None else int(first_s * 1000),
        "total_ms": int((now - arrived) * 1000),
        "events": request.events,
        "parts": request.parts,
        "digest": request.digest,
        **relayed_fields(request.relayed),
    }


def relayed_fields(relayed: RelayedAnswer | None) -> dict[str, object]:
    """Return the log fields that state what the caller has got of an answer."""
    if relayed is None:
        return {"relayed": ""}
    return {
        "relayed": relayed.relayed_as.value,
        "status": relayed.status,
        "type": relayed.content_type,
        "framing": relayed.framing.value,
        "bytes": relayed.size,
        "early": relayed.is_early,
    }
