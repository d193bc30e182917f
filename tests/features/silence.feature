Feature: Silent connections cost few calls and no upstream

  Scenario: Every open connection to one upstream goes silent while new ones work
    Given a gateway before 3 upstreams, with 80 open connections to each
    When the open connections to one upstream go silent
    And callers read 40 times and write 20 times a second for 1 second with seed 41
    And the silence is noticed
    And callers read 40 times and write 20 times a second for 3 seconds with seed 42
    Then no later call was sent on a silent connection
    And every read was answered
    And every write was answered or its caller told "unknown"
    And no write was run twice
    And the upstream is still in use
