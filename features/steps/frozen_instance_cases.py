"""Cases about instances whose processes stand still for some seconds."""

import signal

import trio
from routed_cases import case

FROZEN_S = 4.0
"""Longer than the silence after which the others close their links."""
LINKED_S = 2.0
NAMES = ("instance-1", "instance-2", "instance-3")


async def freeze(site, daemons):
    """Let instances stand still, and wait until all are linked again."""
    for daemon in daemons:
        daemon.process.send_signal(signal.SIGSTOP)
    await trio.sleep(FROZEN_S)
    for daemon in daemons:
        daemon.process.send_signal(signal.SIGCONT)
    await wait_until_linked(site, LINKED_S)


async def wait_until_linked(site, within_s):
    with trio.move_on_after(within_s):
        while await count_links(site) != [len(site.daemons) - 1] * len(site.daemons):
            await trio.sleep(0.05)
        return
    raise AssertionError(await count_links(site))


async def count_links(site):
    return [await site.count_peers(daemon) for daemon in site.daemons]


# Guards against an instance that stays alone after it stood still.
@case("instances that stand still for some seconds are linked again")
async def _(site):
    await site.endpoint("e1", "desk")
    for name in NAMES:
        await site.daemon(name)
    await wait_until_linked(site, 5.0)
    # The one with the largest name opens no link of a full mesh by itself.
    await freeze(site, site.daemons[2:])
    await freeze(site, site.daemons[:1])
    await freeze(site, site.daemons)
    assert (await site.ask("/lookup/1", method="GET", body=b"")).status == 200
