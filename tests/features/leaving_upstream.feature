Feature: A leaving upstream receives no new calls after 3 seconds

  The host list lags by tens of seconds, so gateways share the drains that they detect.

  Scenario: One gateway detects the drain in a response
    Given 4 gateways and 3 upstreams that serve by text 1
    When upstream 0 reports that it drains
    And the gateways are called until upstream 0 has answered once
    Then every gateway knows within 3 seconds that upstream 0 drains
    And 20 calls to each gateway are answered and none reaches upstream 0

  Scenario: The host list still shows a draining upstream as live
    Given 4 gateways and 3 upstreams that serve by text 1
    When upstream 0 reports that it drains
    And the gateways are called until upstream 0 has answered once
    And a new host list shows every upstream as live
    Then every gateway knows within 3 seconds that upstream 0 drains
    And 20 calls to each gateway are answered and none reaches upstream 0

  Scenario: One gateway gets the drain from the host list
    Given 4 gateways and 3 upstreams, and only gateway 3 can reach the platform
    When a new host list shows upstream 0 as leaving
    Then every gateway knows within 3 seconds that upstream 0 drains
    And 20 calls to each gateway are answered and none reaches upstream 0
    When a new host list shows every upstream as live
    Then every gateway knows within 3 seconds that upstream 0 takes work again
    And 20 calls to each gateway are answered and some reach upstream 0

  Scenario: A gateway starts while an upstream drains
    Given 4 gateways and 3 upstreams that serve by text 1
    When upstream 0 reports that it drains
    And the gateways are called until upstream 0 has answered once
    Then every gateway knows within 3 seconds that upstream 0 drains
    When gateway 2 is killed and started again
    Then gateway 2 knows within 3 seconds that upstream 0 drains
    And 20 calls to each gateway are answered and none reaches upstream 0

  Scenario: The host list contains the upstreams of a service
    Given 4 gateways and 3 upstreams, of which the host list names all but upstream 0
    Then 20 calls to each gateway are answered and none reaches upstream 0
    When a new host list shows every upstream as live
    Then upstream 0 gets calls within 5 seconds
    When the host list is empty
    And the host list is malformed
    And the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds
    And 20 calls to each gateway are answered and some reach upstream 0
