Feature: A fault during a publish
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> during a publish
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes during a publish
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
