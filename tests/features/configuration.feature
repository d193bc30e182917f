Feature: A configuration text is checked before it is submitted

  Scenario: A text with a fault is refused with its place
    Given a configuration text with an unknown key "colour"
    When the operator checks the text
    Then the exit code is 2
    And the message names the key "colour" and its line
