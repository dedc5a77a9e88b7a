Feature: A fault while the running instance drains
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> while the running instance drains
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected while the running instance drains
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 69   |
      | issuer killed            | 70   |
      | running node killed      | 71   |
      | target killed            | 72   |
      | issuer frozen            | 73   |
      | running node frozen      | 74   |
      | target frozen            | 75   |
      | domains cut              | 76   |
      | domains silent           | 77   |
      | platform cut             | 78   |
      | answers late             | 79   |
      | log outage               | 80   |
      | log slow                 | 81   |
      | log acknowledgement lost | 82   |
      | operators race           | 83   |
      | deep service slow        | 84   |
      | load lies                | 85   |
