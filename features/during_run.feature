Feature: A fault while the booking runs
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> while the booking runs
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected while the booking runs
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 18   |
      | issuer killed            | 19   |
      | running node killed      | 20   |
      | target killed            | 21   |
      | issuer frozen            | 22   |
      | running node frozen      | 23   |
      | target frozen            | 24   |
      | domains cut              | 25   |
      | domains silent           | 26   |
      | platform cut             | 27   |
      | answers late             | 28   |
      | log outage               | 29   |
      | log slow                 | 30   |
      | log acknowledgement lost | 31   |
      | operators race           | 32   |
      | deep service slow        | 33   |
      | load lies                | 34   |
