Feature: A non-idempotent call with a key runs at most once

  Scenario: The van repeats an order through another gateway while the first is running
    Given 5 gateways in front of a service that takes 2000 ms for an order
    When the van places an order through gateway 0
    And the van repeats the order through gateways 0 and 3 before it is answered
    Then the van gets the same answer each time, marked as a replay for the repeats
    And no order ran twice

  Scenario: A gateway is killed in the middle of a pairing
    Given 5 gateways in front of a service that takes 800 ms for an order
    When 10 pairings are sent through gateway 0 and all are running
    And gateway 0 is killed
    And each pairing is repeated through every other gateway
    Then each repeat gets the first answer or is told that the outcome is unknown
    And no order ran twice
    When 20 new orders are answered through gateway 1
    And gateway 0 is started again
    And each pairing is repeated through gateway 0
    Then each repeat gets the first answer or is told that the outcome is unknown
    And no order ran twice

  Scenario: The fleet is split and callers repeat on both sides
    Given 5 linked gateways in front of a service that takes 50 ms for an order
    When the links between gateways 0 and 1 and the others are cut
    And 30 orders are sent through gateways 0 and 4 at the same moment
    And the 30 orders are repeated through gateways 1 and 3
    Then no order ran twice
    And at least 20 orders were answered
    When the links are mended
    And the 30 orders are repeated through gateway 1 until each is answered
    Then every order ran once

  Scenario: Gateways stop as planned and the van asks again
    Given 5 gateways in front of a service that takes 10 ms for an order
    When 30 orders are answered through gateway 0
    And gateways 0, 1 and 2 stop as planned, one after the other
    And the 30 orders are repeated through gateway 3
    Then each repeat gets the stored first answer
    And every order ran once

  Scenario: An answer is too large to be kept
    Given 3 gateways in front of a service that takes 10 ms for an order
    And each answer has 200000 bytes
    When 5 orders are answered through gateway 0
    Then each answer had 200000 bytes
    When the 5 orders are repeated through gateway 1
    Then each repeat gets the first answer or is told that the outcome is unknown
    And every order ran once

  Scenario: A surge of charges whose callers lose patience, seed 7
    Given 4 gateways with a time limit of 200 ms in front of a service that takes 40 ms for an order
    When callers send 400 charges per second for 2 seconds and repeat what they cannot settle
    Then no charge ran twice
    And no caller got the answer to another charge
    And at least 200 charges were answered

  Scenario: One gateway is killed and another pauses under charges, seed 11
    Given 5 gateways with a time limit of 1500 ms in front of a service that takes 20 ms for an order
    When callers send 100 charges per second for 6 seconds and repeat what they cannot settle
    And meanwhile gateway 0 is killed, gateway 1 pauses for 2 seconds and gateway 0 returns
    Then no charge ran twice
    And no caller got the answer to another charge
    And at least 400 charges were answered
