Feature: Retries do not add to the load of a failing fleet

  Scenario: Failing calls do not multiply down a tree of services
    Given 2 gateways before 6 services that call one another
    And the last service fails every call
    When callers read the first service 60 times a second for 5 seconds with seed 11
    Then no service is sent more than 1.1 times the calls of the callers and 20 more
    And every caller was told of the failure

  Scenario: Repeats stay within their budget when every upstream fails
    Given 2 gateways before 1 service that calls nobody
    And the last service fails every call
    When callers read the first service 100 times a second for 5 seconds with seed 12
    Then no service is sent more than 1.1 times the calls of the callers and 20 more
    And every caller was told of the failure
