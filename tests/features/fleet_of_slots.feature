Feature: Gateways share the slots of the upstreams while hosts start and fail

  Scenario: The slots of a lost gateway are reassigned
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 20 ms
    When a gateway is killed
    Then within 3 seconds every upstream gets calls from the other gateways

  Scenario: Both sides of a partition stay within their share of the slots
    Given 4 linked gateways before 8 upstreams of 2 slots with a mean of 50 ms
    When the fleet is split into two halves
    And callers send normal calls at 1.5 times the capacity for 5 seconds with seed 31
    Then no upstream ever holds more than 1 call in its own queue

  Scenario: Probes stay within their budget in a partition, restarts and pauses
    Given 4 linked gateways before 4 upstreams with a budget of 2 probes a second
    When every gateway is cut off, one restarts and another pauses for 3 seconds
    Then within 10 seconds no upstream is probed above its budget
    And every upstream is probed
