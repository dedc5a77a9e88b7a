Feature: A fault after the run before the answer
  A booking and its payment run at most once, no caller receives "not-run" for a
  booking that ran, every response is complete and belongs to its request, and
  bookings succeed again once the fault is undone.

  Scenario Outline: <fault> after the run before the answer
    Given a running deployment with seed <seed> and background load
    When "<fault>" is injected after the run before the response
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | fault                    | seed |
      | none                     | 52   |
      | issuer killed            | 53   |
      | running node killed      | 54   |
      | target killed            | 55   |
      | issuer frozen            | 56   |
      | running node frozen      | 57   |
      | target frozen            | 58   |
      | domains cut              | 59   |
      | domains silent           | 60   |
      | platform cut             | 61   |
      | answers late             | 62   |
      | log outage               | 63   |
      | log slow                 | 64   |
      | log acknowledgement lost | 65   |
      | operators race           | 66   |
      | deep service slow        | 67   |
      | load lies                | 68   |
