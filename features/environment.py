"""Hooks of behave: one scenario's fleet is ended when the scenario ends."""


def before_scenario(context, scenario):
    context.stack = []


def after_scenario(context, scenario):
    for close in reversed(context.stack):
        close()
