Feature: The fleet stays within the call rate limit of the platform

  The platform serves 2,000 calls per second for all readers. A fleet of 8 gateways
  may use 1/40 of it, which leaves the same share for each of 300 more gateways.

  Scenario: The whole fleet restarts during an outage
    Given 8 gateways that serve by text 1
    When the counts of the platform start again
    And the platform is down
    And every gateway is killed and started again
    And the platform refuses 40 calls within 60 seconds
    And the platform is up again
    Then every gateway serves by text 1 within 10 seconds
    And the platform had at most 50 calls in any second

  Scenario: The platform recovers from an outage
    Given 8 gateways that serve by text 1
    When the counts of the platform start again
    And the platform is down
    And the platform refuses 40 calls within 60 seconds
    And the platform is up again
    And the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds
    And the platform had at most 50 calls in any second
    And one watch per gateway waits at the platform within 15 seconds

  Scenario: The connections to the platform go silent
    Given 8 gateways that serve by text 1
    And one watch per gateway waits at the platform within 15 seconds
    When the connections to the platform go silent
    And the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds
