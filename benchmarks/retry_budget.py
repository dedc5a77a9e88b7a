"""Compare retry limits over random call trees.

Each action is a tree of calls up to 13 deep with 1 to 4 children per call. The
caller of a failed call may retry it. Kinds of failure: lost responses, a dead
service deep in the tree, and bursts of refusals. Attempts are counted per call
that the action needs without failures.
Usage: ``python benchmarks/retry_budget.py [actions] [seeds]``; the last line is
JSON.
"""

import json
import random
import sys
from dataclasses import dataclass, field
from statistics import mean
from typing import Protocol

from briardock.budget import RetryBudget, RetryRatio, make_budget, make_retry_ratio

TOKENS = 2
RETRIES_PER_HOP = 2
MAX_DEPTH = 13
MAX_CALLS = 60
MAX_ATTEMPTS = 5_000
SERVICES = 40
RETRY_RATIO = 0.05
LOSS_SHARE = 0.01
BURST_REFUSAL_SHARE = 0.3
BURST_PERIOD_ACTIONS = 20


@dataclass(slots=True)
class Call:
    """One call of an action.

    :param service: index of the called service
    :param depth: 0 for the entry call
    :param children: calls that it makes, one after another
    """

    service: int
    depth: int
    children: list["Call"] = field(default_factory=list)


def make_tree(rng: random.Random) -> Call:
    """Return a random tree with at least one long chain."""
    root = Call(rng.randrange(SERVICES), 0)
    unexpanded_calls = [root]
    depth_limit = rng.randint(2, MAX_DEPTH)
    calls_count = 1
    while unexpanded_calls:
        parent = unexpanded_calls.pop(0)
        if parent.depth >= depth_limit:
            continue
        fan_out = rng.randint(1, 4) if parent.depth % 3 == 0 else 1
        for index in range(fan_out):
            if index and calls_count >= MAX_CALLS:
                break
            child = Call(rng.randrange(SERVICES), parent.depth + 1)
            parent.children.append(child)
            calls_count += 1
            if index == 0 or rng.random() < 0.3:
                unexpanded_calls.append(child)
    return root


def count_calls(call: Call) -> int:
    """Return the number of calls in a tree."""
    return 1 + sum(count_calls(child) for child in call.children)


class Faults:
    """Injects failures into attempts.

    :param kind: ``loss``, ``dead`` or ``burst``
    """

    def __init__(self, kind: str, rng: random.Random) -> None:
        self.kind = kind
        self.rng = rng
        self.burst_on = False

    def refuses(self, call: Call) -> bool:
        """Return whether the target refuses before it makes its own calls."""
        if self.kind == "dead":
            return call.service == 0 and call.depth >= 2
        if self.kind == "burst" and self.burst_on:
            return call.service < 5 and self.rng.random() < BURST_REFUSAL_SHARE
        return False

    def loses_response(self) -> bool:
        """Return whether the response is lost."""
        return self.kind == "loss" and self.rng.random() < LOSS_SHARE


class Policy(Protocol):
    """Rule that delegates retry tokens to children and permits retries.

    :ivar retries_child_failures: whether a call is also retried if it failed because
        of its own child calls, not only if it was refused or its response was lost
    """

    retries_child_failures: bool

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Return the tokens delegated with a dispatch."""
        ...

    def returned_tokens(self, left: int) -> int:
        """Return the tokens that come back with a response."""
        ...

    def may_retry(self, budget: RetryBudget, retries_count: int) -> bool:
        """Return whether the caller may retry, and take a token if so."""
        ...


class PerHop:
    """Each caller retries a fixed number of times."""

    retries_child_failures = True

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Delegate nothing, as callers act independently."""
        return 0

    def returned_tokens(self, left: int) -> int:
        """Return nothing."""
        return 0

    def may_retry(self, budget: RetryBudget, retries_count: int) -> bool:
        """Allow a fixed number of retries per call."""
        return retries_count < RETRIES_PER_HOP


class StaticSplit:
    """The budget is divided over the fan-out; unspent tokens do not come back."""

    retries_child_failures = True

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Delegate an equal share."""
        return budget.delegate(fan_out_left)

    def returned_tokens(self, left: int) -> int:
        """Return nothing."""
        return 0

    def may_retry(self, budget: RetryBudget, retries_count: int) -> bool:
        """Take a token, if one is left."""
        return budget.spend()


class SplitAndReturn(StaticSplit):
    """The unspent part of a share comes back with the response."""

    def returned_tokens(self, left: int) -> int:
        """Return the unspent tokens."""
        return left


class ReturnKeepOne(SplitAndReturn):
    """Split and return, but each caller keeps one token for a local retry."""

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Delegate a share of all but one token."""
        if not budget.spend():
            return 0
        tokens = budget.delegate(fan_out_left)
        budget.refund(1)
        return tokens


class ReturnNoneToLeaves(SplitAndReturn):
    """Split and return, but calls without children get nothing."""

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Delegate a share to a call that makes calls."""
        return budget.delegate(fan_out_left) if call.children else 0


class ReturnKeepOneNoneToLeaves(ReturnKeepOne):
    """Keep one token, and give none to calls without children."""

    def delegated_tokens(
        self, budget: RetryBudget, call: Call, fan_out_left: int
    ) -> int:
        """Delegate a share of all but one token to a call that makes calls."""
        if not call.children:
            return 0
        return super().delegated_tokens(budget, call, fan_out_left)


class LocalFailuresKeepOne(ReturnKeepOneNoneToLeaves):
    """Keep one token; retry only calls that were refused or whose response was lost."""

    retries_child_failures = False


class LocalFailuresNoneToLeaves(ReturnNoneToLeaves):
    """None to leaves; retry only refused calls and lost responses."""

    retries_child_failures = False


class Run:
    """Runs actions under one policy and counts attempts."""

    def __init__(self, policy: Policy, faults: Faults, ratio: RetryRatio | None):
        self.policy = policy
        self.faults = faults
        self.ratio = ratio
        self.attempts_count = 0
        self.action_attempts_count = 0

    def attempt(self, call: Call, budget: RetryBudget) -> str:
        """Run one attempt with its children and return its outcome."""
        self.attempts_count += 1
        self.action_attempts_count += 1
        if self.action_attempts_count > MAX_ATTEMPTS or self.faults.refuses(call):
            return "refused"
        for index, child in enumerate(call.children):
            if not self.run(child, budget, len(call.children) - index):
                return "failed"
        return "lost" if self.faults.loses_response() else "ok"

    def run(self, call: Call, budget: RetryBudget, fan_out_left: int) -> bool:
        """Dispatch a call until it succeeds or no retry is allowed."""
        retries_count = 0
        if self.ratio:
            self.ratio.record_first_attempt()
        while True:
            child = make_budget(
                self.policy.delegated_tokens(budget, call, fan_out_left)
            )
            outcome = self.attempt(call, child)
            if outcome != "lost":
                budget.refund(self.policy.returned_tokens(child.left))
            if outcome == "ok":
                return True
            if outcome == "failed" and not self.policy.retries_child_failures:
                return False
            if self.ratio and not self.ratio.allow_retry():
                return False
            if not self.policy.may_retry(budget, retries_count):
                return False
            retries_count += 1


POLICIES: dict[str, type] = {
    "per-hop": PerHop,
    "static-split": StaticSplit,
    "split-return": SplitAndReturn,
    "keep-one": ReturnKeepOne,
    "keep-one-no-leaf": ReturnKeepOneNoneToLeaves,
    "no-leaf": ReturnNoneToLeaves,
    "own-hop-keep-one": LocalFailuresKeepOne,
    "own-hop-no-leaf": LocalFailuresNoneToLeaves,
}
RATIO_SUFFIX = "+ratio"


def measure(name: str, kind: str, actions_count: int, seed: int) -> tuple[float, ...]:
    """Return attempts per needed call, its maximum, and the completed share."""
    trees = random.Random(seed)
    faults = Faults(kind, random.Random(seed + 1_000))
    policy = POLICIES[name.removesuffix(RATIO_SUFFIX)]()
    with_ratio = name.endswith(RATIO_SUFFIX)
    run = Run(policy, faults, make_retry_ratio(RETRY_RATIO) if with_ratio else None)
    needed_count = 0
    done_count = 0
    most = 0.0
    for index in range(actions_count):
        tree = make_tree(trees)
        faults.burst_on = index % BURST_PERIOD_ACTIONS < BURST_PERIOD_ACTIONS // 4
        run.action_attempts_count = 0
        done_count += run.run(tree, make_budget(TOKENS), 1)
        needed_count += count_calls(tree)
        most = max(most, run.action_attempts_count / count_calls(tree))
    return run.attempts_count / needed_count, most, done_count / actions_count


def main() -> None:
    """Run all policies and print means over the seeds."""
    actions_count = int(sys.argv[1]) if len(sys.argv) > 1 else 2_000
    seeds = range(int(sys.argv[2]) if len(sys.argv) > 2 else 3)
    summary: dict[str, dict[str, dict[str, float]]] = {}
    names = [name + suffix for name in POLICIES for suffix in ("", RATIO_SUFFIX)]
    for kind in ("loss", "dead", "burst"):
        for name in names:
            runs = [measure(name, kind, actions_count, seed) for seed in seeds]
            attempts, most, done = (mean(column) for column in zip(*runs, strict=True))
            print(
                f"{kind:6} {name:22} attempts/call {attempts:7.3f}"
                f" most {most:8.2f} completed {done:.4f}",
                flush=True,
            )
            summary.setdefault(kind, {})[name] = {
                "attempts_per_call": round(attempts, 4),
                "most_per_action": round(most, 2),
                "completed": round(done, 4),
            }
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
