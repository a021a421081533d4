"""Each check of the soak finds a fault that is planted for it."""

import random

from savorydyke_bench._soak import Asked, Run
from savorydyke_standins._routed_site import KEY, Answer


def plant(kind="claim", status=200, body=b"of r1", ran=1, key=KEY, **more):
    """Return a run with one request."""
    run = Run(None, random.Random(1))
    answer = Answer(status, {}, body, True) if status else None
    run.asked.append(Asked("r1", kind, key, 10.0, answer, **more))
    run.ran["r1"] = ran
    return run


def check_all():
    """Plant one fault after the other."""
    assert not plant().findings()
    assert plant(ran=2).findings() == ["claim r1 ran 2 times"]
    assert not plant("lookup", ran=2).findings()
    assert plant("lookup", ran=3).findings()
    assert plant(status=503, body=b"").findings() == [
        "claim r1 was answered 503 and ran"
    ]
    assert not plant(status=503, body=b"", ran=0).findings()
    assert plant(body=b"of r2").findings()
    assert plant("digest", body=b"id: 1\ndata: token 1\n\n").findings()

    late = plant(status=0, left=11.0)
    late.works["r1"] = (10.0, 11.5)
    assert not late.findings()
    late.works["r1"] = (10.0, 15.0)
    assert late.findings()

    revoked = plant(key="spare-key")
    revoked.revoked["spare-key"] = 6.0
    assert revoked.revocations(3.0) and not revoked.revocations(5.0)
