Feature: A non-idempotent call with a key runs at most once

  Scenario: A caller repeats an order through other gateways while the first call runs
    Given 5 gateways with a time limit of 10000 ms and orders that take 2000 ms
    When 1 order is running through gateway 0
    And the orders are repeated through gateways 0 and 3
    Then every try was answered
    And each order ran at most once and all its answers are the first

  Scenario: A gateway is killed while it forwards orders
    Given 5 gateways with a time limit of 10000 ms and orders that take 800 ms
    When 10 orders are running through gateway 0
    And gateway 0 is killed
    And the orders are repeated through gateways 1, 2, 3 and 4
    And gateway 0 is started again
    And the orders are repeated through gateway 0
    Then no try was told that it did not run
    And each order ran at most once and all its answers are the first
    When 20 new orders are sent through gateway 1
    Then every try was answered

  Scenario: The fleet is partitioned and callers repeat orders on both sides
    Given 5 gateways with a time limit of 2000 ms and orders that take 50 ms
    When the links between gateways 0 and 1 and the others are cut
    And 30 new orders are sent through gateways 0 and 4
    And the orders are repeated through gateways 1 and 3
    Then each order ran at most once and all its answers are the first
    And at least 20 orders were answered
    When the links are mended
    And the orders are repeated through gateway 1 until each is answered
    Then each order ran at most once and all its answers are the first

  Scenario: Gateways stop as planned and the caller repeats its orders
    Given 5 gateways with a time limit of 2000 ms and orders that take 10 ms
    When 30 new orders are sent through gateway 0
    And gateways 0, 1 and 2 stop as planned, one after the other
    And the orders are repeated through gateway 3
    Then every try was answered
    And each order ran at most once and all its answers are the first

  Scenario: A response is too large to be stored
    Given 5 gateways with a time limit of 2000 ms and orders that take 10 ms
    And each answer has 200000 bytes
    When 5 new orders are sent through gateway 0
    Then every try was answered
    When the orders are repeated through gateway 1
    Then each order ran at most once and all its answers are the first

  Scenario: A surge of charges whose callers lose patience, seed 7
    Given 4 gateways with a time limit of 200 ms and orders that take 40 ms
    When callers send 400 charges per second for 2 seconds and repeat what is unsettled
    Then no charge ran twice or was answered with another's answer
    And at least 200 charges were answered

  Scenario: One gateway is killed and another suspended while callers send charges, seed 11
    Given 5 gateways with a time limit of 1500 ms and orders that take 20 ms
    When callers send 100 charges per second for 6 seconds and repeat what is unsettled
    And meanwhile gateway 0 is killed, gateway 1 pauses for 2 seconds and gateway 0 returns
    Then no charge ran twice or was answered with another's answer
    And at least 400 charges were answered
