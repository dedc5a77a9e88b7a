Feature: A fault after the run before the answer
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> after the run before the answer
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes after the run before the answer
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
