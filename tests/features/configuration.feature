Feature: A configuration is validated before it is published

  Scenario: An invalid configuration is rejected with the line of the error
    Given a configuration text with an unknown key "colour"
    When the operator checks the text
    Then the exit code is 2
    And the message names the key "colour" and its line
