"""Decision cases for the pools that may have begun a route's streams."""

import json

from decision_cases import case

from savorydyke._ids import PoolId
from savorydyke._messages import StreamPush
from savorydyke._route_pools import RoutePools
from savorydyke._stream_versions import KEPT_S, StreamVersions
from savorydyke.platform import read_configuration

HOST = "h"


def version(number, **routes):
    """Return a configuration with streaming routes, by prefix, and their pools."""
    value = {
        "version": number,
        "routes": [
            {
                "name": prefix,
                "host": HOST,
                "prefix": f"/{prefix}/".replace("//", "/").replace("_", "/"),
                "kind": "streaming",
                "service": pools[0],
                "split": [{"service": p, "weight": 1} for p in pools],
                "resumable": True,
                "timeout_ms": 2000,
                "slo_ms": 1000,
                "attempts": 2,
                "priority": 0,
            }
            for prefix, pools in routes.items()
        ],
        "services": [{"name": name} for name in "abcd"],
    }
    return read_configuration(json.dumps(value).encode())


@case("the pools of a route are those that it had while streams may be taken up")
def _():
    pools = RoutePools()
    pools.observe_configuration(version(1, digest="ab"), 100.0)
    assert pools.candidates(HOST, "/digest/1", 100.0) == {"a", "b"}
    assert pools.is_shared("a", 500.0) and not pools.is_shared("c", 500.0)
    pools.observe_configuration(version(2, digest="c"), 500.0)
    assert pools.candidates(HOST, "/digest/1", 500.0 + KEPT_S) == {"a", "b", "c"}
    assert pools.is_shared("c", 500.0 + KEPT_S - 1)
    assert pools.candidates(HOST, "/digest/1", 501.0 + KEPT_S) == {"c"}
    assert not pools.is_shared("c", 501.0 + KEPT_S)
    assert not pools.candidates("other", "/digest/1", 500.0)


@case("a new route has the streams of the route whose paths it takes over")
def _():
    pools = RoutePools()
    pools.observe_configuration(version(1, digest="a", digest_own="b"), 100.0)
    assert pools.candidates(HOST, "/digest/own/1", 100.0) == {"b"}
    assert not pools.is_shared("a", 100.0)
    pools.observe_configuration(
        version(2, digest="a", digest_own="b", digest_new="c"), 200.0
    )
    assert pools.candidates(HOST, "/digest/new/1", 201.0) == {"a", "c"}
    assert pools.is_shared("a", 201.0) and pools.is_shared("c", 201.0)
    assert pools.candidates(HOST, "/digest/own/1", 201.0) == {"b"}
    assert pools.candidates(HOST, "/digest/new/1", 201.0 + KEPT_S) == {"c"}
    # Its paths are those of the shorter one again.
    pools.observe_configuration(version(3, digest="a", digest_own="b"), 300.0)
    assert pools.candidates(HOST, "/digest/new/1", 301.0) == {"a", "c"}


# Guards against a stream that goes on in another pool, since only the present routes
# are known after a start.
@case("a route that was moved while all instances were down has two pools for a while")
def _():
    before = RoutePools()
    before.observe_configuration(version(1, digest="a", question="b"), 100.0)
    stored = {PoolId(p): before.recent_routes(PoolId(p), 100.0) for p in "abc"}
    assert stored["a"] == {(HOST, "/digest/")} and not stored["c"]
    # The same configuration is no change.
    pools = RoutePools()
    pools.observe_stored(stored)
    pools.observe_configuration(version(1, digest="a", question="b"), 200.0)
    assert pools.candidates(HOST, "/digest/1", 201.0) == {"a"}
    assert not any(pools.is_shared(PoolId(p), 201.0) for p in "abc")
    # Nor is a route that is new, beside the others.
    pools = RoutePools()
    pools.observe_stored(stored)
    new = version(2, digest="a", question="b", more="a")
    pools.observe_configuration(new, 200.0)
    assert not any(pools.is_shared(PoolId(p), 201.0) for p in "abc")
    pools = RoutePools()
    pools.observe_stored(stored)
    pools.observe_configuration(version(2, digest="b", question="b"), 200.0)
    assert pools.candidates(HOST, "/digest/1", 201.0) == {"a", "b"}
    assert pools.is_shared("a", 201.0) and pools.is_shared("b", 201.0)
    assert not pools.is_shared("b", 201.0 + KEPT_S)
    # A move is stored for as long as streams from before it may be taken up.
    before.observe_configuration(version(2, digest="c", question="b"), 300.0)
    assert before.recent_routes(PoolId("a"), 301.0) == {(HOST, "/digest/")}
    assert before.recent_routes(PoolId("c"), 301.0) == {(HOST, "/digest/")}
    assert not before.recent_routes(PoolId("a"), 306.0 + KEPT_S)


@case("an unknown stream of a pool that shares its routes has no known version")
def _():
    versions = StreamVersions()
    versions.receive_stored(PoolId("a"), ["crew/r1"], "v1", 10.0)
    assert versions.known_version("crew/r1", PoolId("a"), 11.0) == "v1"
    assert not versions.known_version("crew/r1", PoolId("b"), 11.0)
    assert versions.pool_of("crew/r1", [PoolId("b"), PoolId("a")], 11.0) == "a"
    assert versions.pool_of("crew/r1", [PoolId("b")], 11.0) is None


@case("the next coordinator is told of which pool streams are")
def _():
    versions, follower = StreamVersions(), StreamVersions()
    for pool in ("a", "b"):
        versions.record_coordinated(PoolId(pool), f"crew/{pool}", "v1", 10.0)
        for message in versions.take_untold(PoolId(pool)):
            follower.receive(message, [PoolId("a"), PoolId("b")], 10.0)
    assert set(follower.streams) == {("a", "crew/a"), ("b", "crew/b")}
    # An earlier build does not name it; the sender may coordinate one pool only.
    follower.receive(StreamPush("v1", ("crew/c",)), [PoolId("c")], 10.0)
    follower.receive(StreamPush("v1", ("crew/d",)), [PoolId("a"), PoolId("b")], 10.0)
    assert set(follower.streams) - {("a", "crew/a"), ("b", "crew/b")} == {
        ("c", "crew/c")
    }
