Feature: Two faults at once
  The seed selects two faults and when each is injected.

  Scenario Outline: pair drawn by seed <seed>
    Given a running deployment with seed <seed> and background load
    When two faults drawn by seed <seed> are injected
    And the booking is resent with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And no node has an older configuration than before

    Examples:
      | seed |
      | 201  |
      | 202  |
      | 203  |
      | 204  |
      | 205  |
      | 206  |
      | 207  |
      | 208  |
      | 209  |
      | 210  |
      | 211  |
      | 212  |
      | 213  |
      | 214  |
      | 215  |
      | 216  |
