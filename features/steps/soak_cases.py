"""Checks that each check of the soak test detects a violation."""

import random

from savorydyke_bench._soak import SentRequest, SoakRun
from savorydyke_standins._routed_site import KEY, Answer


def make_run(kind="claim", status=200, body=b"of r1", executions=1, key=KEY, **more):
    """Return a soak run with one request, as if it had been observed."""
    run = SoakRun(None, random.Random(1))
    answer = Answer(status, {}, body, True) if status else None
    run.requests.append(SentRequest("r1", kind, key, 10.0, answer, **more))
    run.executions["r1"] = executions
    return run


def check_all():
    """Assert what the checks report for runs with and without violations."""
    assert not make_run().find_violations()
    assert make_run(executions=2).find_violations() == ["claim r1 ran 2 times"]
    assert not make_run("lookup", executions=2).find_violations()
    assert make_run("lookup", executions=3).find_violations()
    assert make_run(status=503, body=b"").find_violations() == [
        "claim r1 was answered 503 and ran"
    ]
    assert not make_run(status=503, body=b"", executions=0).find_violations()
    assert make_run(body=b"of r2").find_violations()
    assert make_run("digest", body=b"id: 1\ndata: token 1\n\n").find_violations()

    late = make_run(status=0, left_at=11.0)
    late.work_times["r1"] = (10.0, 11.5)
    assert not late.find_violations()
    late.work_times["r1"] = (10.0, 15.0)
    assert late.find_violations()

    revoked = make_run(key="spare-key")
    revoked.revoked_at["spare-key"] = 6.0
    assert revoked.check_revocations(3.0) and not revoked.check_revocations(5.0)

    bad = make_run(executions=0, status=0)
    bad.ends = [10.0, 10.5, 11.0, 11.5, 12.0]
    bad.bad_arrivals = [*bad.ends, 14.9, 15.1, 15.2, 15.3]
    assert not bad.check_shared_knowledge()
    bad.bad_arrivals.append(16.0)
    assert bad.check_shared_knowledge()
    bad.interruptions.append(14.0)
    assert not bad.check_shared_knowledge()

    limited = make_run(executions=0, status=0)
    limited.limited["desk-0"] = 10.0
    limited.arrivals["desk-0"] = [10.1] * 30 + [14.0 + 0.2 * n for n in range(17)]
    assert not limited.check_shared_knowledge()
    limited.arrivals["desk-0"].append(15.0)
    assert limited.check_shared_knowledge()

    leaving = make_run(executions=0, status=0)
    leaving.late_for_leaving["desk-1"] = 2
    assert not leaving.check_shared_knowledge()
    leaving.late_for_leaving["desk-1"] += 1
    assert leaving.check_shared_knowledge()
    leaving.interruptions.append(14.0)
    assert not leaving.check_shared_knowledge()
