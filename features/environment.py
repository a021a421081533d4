"""Hooks of behave.

Whatever a scenario starts, such as a fleet of processes, it enters into
`context.stack`, which is closed when the scenario ends.
"""

from contextlib import ExitStack


def before_scenario(context, scenario):
    context.stack = ExitStack()


def after_scenario(context, scenario):
    context.stack.close()
