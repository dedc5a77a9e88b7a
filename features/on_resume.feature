Feature: A fault when the issuer resumes after the deadline
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> when the issuer resumes after the deadline
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected when the issuer resumes after the deadline
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 103  |
      | issuer killed            | 104  |
      | running node killed      | 105  |
      | target killed            | 106  |
      | issuer frozen            | 107  |
      | running node frozen      | 108  |
      | target frozen            | 109  |
      | domains cut              | 110  |
      | domains silent           | 111  |
      | platform cut             | 112  |
      | answers late             | 113  |
      | log outage               | 114  |
      | log slow                 | 115  |
      | log acknowledgement lost | 116  |
      | operators race           | 117  |
      | deep service slow        | 118  |
      | load lies                | 119  |
