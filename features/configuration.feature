Feature: Configuration without a coordination service

  Scenario: A log outage stops publishing and nothing else
    Given a running deployment with seed 321
    When the log is out of service
    Then publishing fails with exit code 5 and names the log
    And bookings and reads complete on every node
    And a node that is replaced takes the configuration from its peers

  Scenario: A node that reaches neither log nor peers says so
    Given a running deployment with seed 322
    When a node is replaced while it is cut from the log and all peers
    Then its status reports that neither can be reached
    And it joins without a restart once the cut is healed

  Scenario: Of two changes of one file one wins, changes of two files both win
    Given a running deployment with seed 323
    When two operators change one file from the same version
    Then one publish is accepted and the other exits with code 4
    When two operators change different files from the same version
    Then both publishes are accepted
    And every node has the newest configuration

  Scenario: A failure domain that is cut off serves on and rejoins
    Given a running deployment with seed 324
    When the failure domains are cut for 12 seconds
    Then bookings and reads complete on every node during the cut
    And a change published during the cut is in force on every node after it
    And the ledgers of targets and callers agree
