"""Messages about the quotas of accounts between nodes and aggregators."""

import msgspec


class AccountReport(msgspec.Struct, array_like=True):
    """What a node reports of an account.

    :param account: name of the account
    :param tag: tag of its limit
    :param demand_per_s: requests that arrive at the node
    :param ask: slots that the node lacks
    :param spare: slots that it does not need
    :param lent: slots that it lends with this report, for the lifetime of a grant
    """

    account: str
    tag: int
    demand_per_s: float
    ask: float = 0.0
    spare: float = 0.0
    lent: float = 0.0


class NodeReport(msgspec.Struct, array_like=True, tag="node"):
    """Report of a node to the aggregator of its domain.

    :param node_id: name of the node
    :param stamp_s: ``stamp_s`` of the latest response of this aggregator, 0 without one
    :param accounts: accounts with demand, or of which slots are lent
    """

    node_id: str
    stamp_s: float
    accounts: list[AccountReport]


class AccountTotals(msgspec.Struct, array_like=True):
    """What an aggregator responds about an account.

    :param account: name of the account
    :param tag: tag of its limit
    :param demand_per_s: requests that arrive at all nodes
    :param granted: slots granted to the node, each part with its remaining time in s
    :param lend_ratio: part of its spare slots that the node is asked to lend
    """

    account: str
    tag: int
    demand_per_s: float
    granted: list[tuple[float, float]] = []
    lend_ratio: float = 0.0


class NodeTotals(msgspec.Struct, array_like=True):
    """Response of an aggregator to the report of a node.

    :param stamp_s: time of the response by the clock of the aggregator
    :param accounts: accounts of the report, and those of which slots are needed
    :param is_complete: whether the totals include all domains
    :param limited: accounts whose demand exceeds their rate
    """

    stamp_s: float
    accounts: list[AccountTotals]
    is_complete: bool = False
    limited: list[str] = []


class DomainAccount(msgspec.Struct, array_like=True):
    """What the aggregator of a domain tells another one about an account.

    :param account: name of the account
    :param tag: tag of its limit
    :param demand_per_s: requests that arrive in the domain
    :param ask: slots that it lacks, in a report
    :param granted: slots that it grants, in a response, each part with its remaining
        time in s
    """

    account: str
    tag: int
    demand_per_s: float
    ask: float = 0.0
    granted: list[tuple[float, float]] = []


class DomainReport(msgspec.Struct, array_like=True, tag="domain"):
    """Report of an aggregator to that of another domain, and the response.

    :param domain: domain of the sender
    :param accounts: accounts with demand, or of which slots are needed
    """

    domain: str
    accounts: list[DomainAccount]
