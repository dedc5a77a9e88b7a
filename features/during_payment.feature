Feature: A fault while its payment runs
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> while its payment runs
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes while its payment runs
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
