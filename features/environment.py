"""Behave hooks: stop the processes of each scenario."""

import logging

from behave.model import Scenario
from behave.runner import Context


def before_all(context: Context) -> None:
    logging.getLogger("httpx").setLevel(logging.WARNING)


def before_scenario(context: Context, scenario: Scenario) -> None:
    context.bench = None


def after_scenario(context: Context, scenario: Scenario) -> None:
    if context.bench is not None:
        context.bench.close()
