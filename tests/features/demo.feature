Feature: The demo counts the outcome of every call of a festival evening

  Scenario: A short run with a surge, faults and lost responses loses no call
    When the operator runs the demo for 10 seconds with seed 7
    Then the exit code is 0
    And every rank had calls and most urgent calls were answered
    And no call was lost, run twice, mixed up or told falsely that it was not run
