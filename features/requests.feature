Feature: Requests that a node cannot serve
  Each request receives a typed response that names the remedy, and the node
  counts it and keeps serving.

  Scenario: Bad requests get typed answers
    Given a running deployment with seed 301
    Then these requests receive these responses
      | request                      | status | reason              |
      | malformed HTTP               | 400    | bad-request         |
      | unknown service              | 404    | unknown-operation   |
      | unknown path                 | 404    | unknown-operation   |
      | wrong method                 | 404    | unknown-operation   |
      | unknown internal endpoint    | 404    | unknown-operation   |
      | no key                       | 428    | key-required        |
      | key that nobody issued       | 400    | bad-key             |
      | forged key of this node      | 400    | bad-key             |
      | key of a former process      | 504    | issuer-gone         |
      | key of an unknown node       | 504    | issuer-gone         |
      | body over the limit          | 413    | body-too-large      |
      | deadline that is no number   | 400    | bad-request         |
      | deadline that has passed     | 504    | deadline-exceeded   |
      | unknown context              | 409    | unknown-context     |
      | too many keys                | 400    | bad-request         |
      | bad announcement             | 400    | bad-request         |
    And unknown protocols on the call and gossip ports leave the members unchanged
    And bookings and reads complete on every node

  Scenario: One key belongs to one request
    Given a running deployment with seed 302
    When a booking is sent twice with one key and different bodies
    Then the second one is refused as "key-reused"
    And the ledgers of targets and callers agree

  Scenario: A request that kills its targets is refused after two deaths
    Given a running deployment with seed 303
    When a booking that crashes its target is sent with new keys until it is refused
    Then it has crashed two targets and is refused as "quarantined" on every node
    And the operator lists the quarantine entry and lifts it
    And bookings and reads complete on every node
