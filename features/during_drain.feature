Feature: A fault while the running instance drains
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> while the running instance drains
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes while the running instance drains
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
