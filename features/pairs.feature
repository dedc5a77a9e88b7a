Feature: Two faults at once
  Pairs of faults and their moments are drawn by seed.

  Scenario Outline: pair drawn by seed <seed>
    Given a running deployment with seed <seed> and background load
    When two faults drawn by seed <seed> strike
    And the booking is sent again with its key to every node
    And the fault is healed
    Then the ledgers of targets and callers agree
    And bookings and reads complete on every node
    And the configuration has not gone back anywhere

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
