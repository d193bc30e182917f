Feature: Killed or paused gateways are detected and do not cause errors

  Scenario: A killed gateway is detected at once
    Given 4 gateways that take a silent one for dead after 60 seconds
    When the process of gateway 2 is killed
    Then the other gateways know within 5 seconds that gateway 2 is not live

  Scenario: Gateways discover each other through the host list
    Given 4 gateways whose settings name no other gateway
    When the host list names all gateways
    Then every gateway knows within 5 seconds that all others are live
    When the link to the platform is cut
    And the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds

  Scenario: A paused gateway is excluded and rejoins
    Given 4 gateways and 3 upstreams that serve by text 1
    When gateway 2 is paused
    Then the other gateways know within 5 seconds that gateway 2 is not live
    When gateway 2 wakes
    Then the other gateways know within 5 seconds that gateway 2 is live
    And gateway 2 knows within 5 seconds that all others are live
    And 20 calls to each gateway are answered and some reach upstream 0

  Scenario: A gateway that resumes late sends no calls to a draining upstream
    Given 4 gateways, 10 ms apart, and 3 upstreams that serve by text 1
    When gateway 2 is paused
    And the other gateways know within 5 seconds that gateway 2 is not live
    And upstream 0 reports that it drains
    And the live gateways are called until upstream 0 has answered once
    And the operators publish text 2
    And 30 calls wait at gateway 2 while it wakes
    Then all waiting calls are answered and none reached upstream 0
    And every gateway serves by text 2 within 5 seconds
    And no gateway went back to an older text
