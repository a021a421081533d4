"""Steps of the routed feature."""

import answer_kind_cases  # noqa: F401  Registers its cases.
import background_task_decisions  # noqa: F401  Registers its cases.
import closed_rank_decisions  # noqa: F401  Registers its cases.
import cut_head_cases  # noqa: F401  Registers its cases.
import cut_off_cases  # noqa: F401  Registers its cases.
import cut_off_decisions  # noqa: F401  Registers its cases.
import early_answer_cases  # noqa: F401  Registers its cases.
import endless_answer_cases  # noqa: F401  Registers its cases.
import endpoint_restart_cases  # noqa: F401  Registers its cases.
import evidence_decisions  # noqa: F401  Registers its cases.
import frozen_instance_cases  # noqa: F401  Registers its cases.
import garbage_decisions  # noqa: F401  Registers its cases.
import held_bytes_decisions  # noqa: F401  Registers its cases.
import joining_version_cases  # noqa: F401  Registers its cases.
import link_decisions  # noqa: F401  Registers its cases.
import loop_pace_decisions  # noqa: F401  Registers its cases.
import odd_record_cases  # noqa: F401  Registers its cases.
import overlap_decisions  # noqa: F401  Registers its cases.
import pace_decisions  # noqa: F401  Registers its cases.
import pause_cases  # noqa: F401  Registers its cases.
import planned_stop_cases  # noqa: F401  Registers its cases.
import quota_cases  # noqa: F401  Registers its cases.
import rejection_cases  # noqa: F401  Registers its cases.
import request_form_cases  # noqa: F401  Registers its cases.
import reset_decisions  # noqa: F401  Registers its cases.
import rest_cases  # noqa: F401  Registers its cases.
import restart_version_cases  # noqa: F401  Registers its cases.
import retry_cases  # noqa: F401  Registers its cases.
import route_pool_decisions  # noqa: F401  Registers its cases.
import silent_coordinator_decisions  # noqa: F401  Registers its cases.
import silent_endpoint_cases  # noqa: F401  Registers its cases.
import slow_reader_cases  # noqa: F401  Registers its cases.
import split_route_cases  # noqa: F401  Registers its cases.
import spoilt_stream_cases  # noqa: F401  Registers its cases.
import store_contact_decisions  # noqa: F401  Registers its cases.
import store_watch_cases  # noqa: F401  Registers its cases.
import stray_answer_cases  # noqa: F401  Registers its cases.
import stream_grammar_cases  # noqa: F401  Registers its cases.
import trio
import upgrade_cases  # noqa: F401  Registers its cases.
from behave import then
from decision_cases import CASES as DECISIONS
from routed_cases import CASES
from soak_cases import check_all

from savorydyke_bench._soak import soak
from savorydyke_standins._routed_site import open_site

CASE_TIMEOUT_S = 40
SHORT_SOAK_S = 6.0
SHORT_SOAK_SERVED = 50
"""Far below what eight callers get served in that time, faults or not."""


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


@then("each check of the soak finds a planted fault")
def soak_checks(context):
    check_all()


@then("a short soak of seed {seed:d} finds nothing")
def short_soak(context, seed):
    outcome = trio.run(soak, seed, SHORT_SOAK_S)
    assert not outcome.violations, outcome
    assert outcome.served > SHORT_SOAK_SERVED, outcome
