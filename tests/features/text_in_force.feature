Feature: An accepted configuration takes effect on every gateway and never reverts

  Scenario: A new text reaches every gateway
    Given 4 gateways that serve by text 1
    When the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds
    And no gateway went back to an older text

  Scenario: A gateway that cannot reach the platform gets the text from its peers
    Given 4 gateways that serve by text 1, of which gateway 3 reaches the platform over a link
    When the link to the platform is cut
    And the operators publish text 2
    Then every gateway serves by text 2 within 5 seconds
    And no gateway went back to an older text

  Scenario: A restart while the platform is stale does not restore an old text
    Given 4 gateways that serve by text 1
    And the operators publish text 2
    And every gateway serves by text 2 within 5 seconds
    When the platform shows only text 1
    And gateway 2 is killed and started again
    Then every gateway serves by text 2 within 5 seconds
    And no gateway went back to an older text

  Scenario: A gateway that was disconnected from platform and peers catches up
    Given 4 gateways that serve by text 1, of which gateway 3 reaches the platform over a link
    When the link to the platform is cut
    And gateway 3 is cut off from the other gateways
    And the operators publish text 2
    Then the gateways other than 3 serve by text 2 within 5 seconds
    And gateway 3 still serves by text 1
    When gateway 3 is connected to the other gateways again
    Then every gateway serves by text 2 within 5 seconds
    And no gateway went back to an older text

  Scenario: A gateway starts while the platform is down
    Given 4 gateways that serve by text 1
    When the platform is down
    And gateway 2 is killed and started again
    Then gateway 2 answers a call within 5 seconds
    And no gateway went back to an older text
