Feature: A fault before dispatch
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> before dispatch
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected before dispatch
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 1    |
      | issuer killed            | 2    |
      | running node killed      | 3    |
      | target killed            | 4    |
      | issuer frozen            | 5    |
      | running node frozen      | 6    |
      | target frozen            | 7    |
      | domains cut              | 8    |
      | domains silent           | 9    |
      | platform cut             | 10   |
      | answers late             | 11   |
      | log outage               | 12   |
      | log slow                 | 13   |
      | log acknowledgement lost | 14   |
      | operators race           | 15   |
      | deep service slow        | 16   |
      | load lies                | 17   |
