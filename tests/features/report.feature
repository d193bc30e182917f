Feature: The daily report shows how callers were served, even if hosts are lost

  Background:
    Given 5 gateways whose report minutes last 1 second

  Scenario: A short run with a flood, a killed host and a planned stop
    Given callers who send for 8 seconds with seed 7, with a bulk flood from second 2 to 4
    When host "g02" is killed while callers use it
    And host "g03" is stopped as planned while callers use it
    And the callers have finished
    Then every remaining host gives the same report
    And its counts equal the callers' counts, less what it names as not covered
    And it covers every minute of "g02" that peers had acknowledged, and names the rest
    And it covers every minute of "g03" up to its stop
    And its first line says that callers were not served well, and names the flooded service
