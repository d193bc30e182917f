Feature: Operators inspect and control a gateway through its administration API

  Scenario: An operator inspects a gateway
    Given a fleet of 2 gateways with a token
    When the operator asks gateway "g00" for its health, readiness, status and report
    Then each answer is complete, and the report comes as text, JSON and HTML
    And without the token only health and readiness are answered
    And the commands "status" and "report" print the same with the token and fail without

  Scenario: An operator drains an upstream and a gateway
    Given a fleet of 2 gateways with a token
    When the operator drains an upstream of "profiles" at "g00"
    Then its status says why the upstream is out
    And calls to "g00" reach only the other upstreams of "profiles"
    When the operator undoes the drain of the upstream
    Then calls to "g00" reach every upstream of "profiles"
    When the operator drains gateway "g00" itself
    Then "g00" is not ready and goes on answering callers
    And orders that name nothing known are refused

  Scenario: A gateway whose administration API is not on loopback needs a token
    Given settings whose administration API listens beyond loopback without a token
    When the gateway is started
    Then it ends with exit code 2 and names the setting that lacks
