Feature: Leaving without cutting requests
  A target that leaves receives no new work and loses no request in flight.

  Scenario Outline: <way> under load
    Given a running deployment with seed <seed> and background load
    When an instance of bookings leaves by <way>
    Then no booking starts on it more than 2000 ms after its notice
    And no caller received an unknown outcome
    And the ledgers of targets and callers agree
    And bookings and reads complete on every node

    Examples:
      | way                      | seed |
      | the drain command        | 311  |
      | SIGTERM of the node      | 312  |
      | SIGTERM of the target    | 313  |
