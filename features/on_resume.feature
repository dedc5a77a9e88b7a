Feature: A fault when the issuer resumes after the deadline
  A booking and its payment run at most once, nobody is told "not run" of a
  booking that ran, every answer is whole and the caller's own, and bookings
  succeed again once the fault is gone.

  Scenario Outline: <fault> when the issuer resumes after the deadline
    Given a running deployment with seed <seed> and background load
    When "<fault>" strikes when the issuer resumes after the deadline
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

    Examples:
      | fault                    | seed |
      | none                     | 103  |
      | issuer killed            | 104  |
      | running node killed      | 105  |
      | target killed            | 106  |
      | issuer frozen            | 107  |
      | running node frozen      | 108  |
      | target frozen            | 109  |
      | domains cut              | 110  |
      | domains silent           | 111  |
      | platform cut             | 112  |
      | answers late             | 113  |
      | log outage               | 114  |
      | log slow                 | 115  |
      | log acknowledgement lost | 116  |
      | operators race           | 117  |
      | deep service slow        | 118  |
      | load lies                | 119  |
