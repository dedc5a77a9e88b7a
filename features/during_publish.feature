Feature: A fault during a publish
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> during a publish
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected during a publish
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 86   |
      | issuer killed            | 87   |
      | running node killed      | 88   |
      | target killed            | 89   |
      | issuer frozen            | 90   |
      | running node frozen      | 91   |
      | target frozen            | 92   |
      | domains cut              | 93   |
      | domains silent           | 94   |
      | platform cut             | 95   |
      | answers late             | 96   |
      | log outage               | 97   |
      | log slow                 | 98   |
      | log acknowledgement lost | 99   |
      | operators race           | 100  |
      | deep service slow        | 101  |
      | load lies                | 102  |
