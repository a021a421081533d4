"""Hooks of behave.

Each scenario that uses the small fleet starts one of its own: a step sets
`context.shared_fleet`, and behave drops attributes set in a step when the scenario
ends. The fleets run until `after_all`, or until the end of a scenario that stops or
adds instances (`must_replace`), which closes all fleets started so far.
"""

from contextlib import ExitStack


def before_all(context):
    context.shared = ExitStack()
    context.shared_fleet = None


def before_scenario(context, scenario):
    context.stack = ExitStack()


def after_scenario(context, scenario):
    context.stack.close()
    if context.shared_fleet is not None and context.shared_fleet.must_replace:
        context.shared.close()
        context.shared_fleet = None


def after_all(context):
    context.shared.close()
