Feature: A fault while the booking runs
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> while the booking runs
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes while the booking runs
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
