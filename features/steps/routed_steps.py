"""Steps of the routed feature."""

import trio
from behave import then
from decision_cases import CASES as DECISIONS
from routed_cases import CASES
from routed_site import open_site

CASE_TIMEOUT_S = 40


@then('the routed case "{name}" holds')
def routed_case(context, name):
    async def play():
        with trio.fail_after(CASE_TIMEOUT_S):
            async with open_site(name) as site:
                await CASES[name](site)

    trio.run(play)


@then('the decision case "{name}" holds')
def decision_case(context, name):
    DECISIONS[name]()
