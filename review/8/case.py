"""An instance that was frozen for 4 s stays alone; cut off later, it serves nobody.

With TROUBLE=0 there is neither a freeze nor a cut, with TROUBLE=cut only the cut.
"""

import asyncio
import random
import signal
from pathlib import Path

from fleet import CONTACT_S, is_served, run_case

KEY = "key-of-crew-1"
FREEZE_S = 4.0
CALM_S = 8.0
CUT_S = 8.0
PER_S = 8.0


def configure(fleet):
    def route(name, kind, **more):
        fields = {
            "name": name,
            "host": "desk.example",
            "prefix": f"/{name}/",
            "kind": kind,
            "service": "counter-app",
            "timeout_ms": 3000,
            "slo_ms": 400,
            "attempts": 2,
            "priority": 0,
        }
        return fields | more

    routes = [route("lookup", "idempotent"), route("claim", "mutating", attempts=1)]
    tenants = [{"name": "crew", "api_keys": [KEY], "priority": 0}]
    fleet.configure(routes, [{"name": "counter-app"}], tenants)


async def case(fleet, trouble):
    configure(fleet)
    for number in range(4):
        await fleet.engine("counter-app", f"i-desk-{number}", slots=6, work_s=0.06)
    for name in ("edge-a-1", "edge-b-1", "edge-c-1"):
        await fleet.instance(name)
    await fleet.wait_until_ready()
    answers = {i.name: [] for i in fleet.instances}

    async def client(instance, path, method):
        await asyncio.sleep(random.random() / PER_S)
        while True:
            fleet.spawn(ask(instance, path, method))
            await asyncio.sleep(2 / PER_S)

    async def ask(instance, path, method):
        answer = await fleet.ask(instance, path, KEY, method=method)
        answers[instance.name].append(answer)

    clients = [
        asyncio.create_task(client(instance, path, method))
        for instance in fleet.instances
        for path, method in (("/lookup/1", "GET"), ("/claim/1", "POST"))
    ]
    await asyncio.sleep(4.0)
    one = fleet.instances[2]
    if trouble == "1":
        one.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        one.signal(signal.SIGCONT)
    else:
        await asyncio.sleep(FREEZE_S)
    await asyncio.sleep(CALM_S)
    pages = {i.name: await i.readiness() for i in fleet.instances}
    fleet.record.say(f"readiness pages {CALM_S} s after the freeze: {pages}")
    began = fleet.record.now()
    if trouble != "0":
        await one.cut_from_engines()
    await asyncio.sleep(CUT_S)
    ended = fleet.record.now()
    if trouble != "0":
        await one.heal()
    await asyncio.sleep(4.5)
    for task in clients:
        task.cancel()
    await asyncio.sleep(4.0)

    def counted(name):
        return [a for a in answers[name] if began + CONTACT_S <= a[1] <= ended]

    served = {n: (sum(map(is_served, counted(n))), len(counted(n))) for n in answers}
    fleet.record.say(f"first tries served, from contact_ms after the cut: {served}")
    there, tries_there = served.pop(one.name)
    others = sum(s for s, _ in served.values())
    tries = sum(n for _, n in served.values())
    failed = tries_there - there
    if not tries_there or not tries:
        return 2
    is_less = there / tries_there < 2 / 3 * others / tries
    return int(is_less and failed > 10 + (tries_there + tries) / 50)


run_case(Path(__file__).parent, case)
