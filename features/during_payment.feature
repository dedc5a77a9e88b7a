Feature: A fault while its payment runs
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> while its payment runs
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected while its payment runs
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 35   |
      | issuer killed            | 36   |
      | running node killed      | 37   |
      | target killed            | 38   |
      | issuer frozen            | 39   |
      | running node frozen      | 40   |
      | target frozen            | 41   |
      | domains cut              | 42   |
      | domains silent           | 43   |
      | platform cut             | 44   |
      | answers late             | 45   |
      | log outage               | 46   |
      | log slow                 | 47   |
      | log acknowledgement lost | 48   |
      | operators race           | 49   |
      | deep service slow        | 50   |
      | load lies                | 51   |
