"""Hooks of behave.

Scenarios share one small fleet. It is replaced after a scenario that stops or adds
instances.
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
