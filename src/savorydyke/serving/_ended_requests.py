"""Refusals of requests that were ended before they were answered."""

from typing import TYPE_CHECKING

import trio

from savorydyke._ids import Outcome, Reason
from savorydyke._problems import Refusal

if TYPE_CHECKING:
    from savorydyke._routed_request import RoutedRequest


def hold(request: "RoutedRequest", scope: trio.CancelScope) -> None:
    """Count what is held for a request; it may be told to give way."""

    def give_way() -> None:
        request.gave_way = True
        scope.cancel()

    request.responder.on_give_way = give_way
    connection = request.responder.connection
    held = connection.ingress.held
    held.set_caller(connection.holder, request.team, request.tier)


def refusal_of_ended(request: "RoutedRequest", is_aborting: bool) -> Refusal:
    """Return the refusal of a request that was ended, by its time-out or before.

    503 promises that it has not run.
    """
    ran = bool(request.sent_to) and request.may_have_run
    if request.gave_way and ran:
        detail = "this instance held too much for its callers and endpoints"
        return Refusal(Reason.ABORTED, detail, Outcome.MAY_HAVE_RUN)
    if request.gave_way:
        detail = "this instance holds too much for its callers"
        return Refusal(Reason.OVERLOADED, detail)
    if is_aborting and ran:
        detail = "this instance stopped before the endpoint answered"
        return Refusal(Reason.ABORTED, detail, Outcome.MAY_HAVE_RUN)
    if is_aborting:
        return Refusal(Reason.STOPPING, "this instance has stopped")
    if ran:
        detail = "the endpoint did not answer in time"
        return Refusal(Reason.TIMEOUT, detail, Outcome.MAY_HAVE_RUN)
    return Refusal(Reason.DEADLINE, "no endpoint came free in time")
