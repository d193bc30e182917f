Feature: Urgent calls are answered in time and every rank keeps its floor

  Scenario: A flood of the least urgent calls leaves the urgent ones in time
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 100 ms
    When callers send urgent calls at 0.2 and bulk calls at 3 times the capacity for 10 seconds with seed 21
    Then at least 99 percent of the urgent calls are answered within 1000 ms
    And no call that was refused as not run has run

  Scenario: A flood of the most urgent calls leaves the others their floor
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 100 ms
    When callers send normal calls at 0.4, bulk calls at 0.4 and urgent calls at 3 times the capacity for 10 seconds with seed 22
    Then normal calls keep at least 20 percent of the capacity
    And bulk calls keep at least 10 percent of the capacity
    And no call that was refused as not run has run

  Scenario: One caller's flood does not delay another caller of the same rank
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 100 ms
    When a caller sends urgent calls at 0.2 while another floods with urgent calls at 3 times the capacity for 10 seconds with seed 23
    Then at least 99 percent of the first caller's calls are answered within 1000 ms

  Scenario: A server that slows down gets few urgent calls
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 100 ms
    And one upstream is 10 times slower
    When callers send urgent calls at 0.1 and normal calls at 0.4 of the capacity for 10 seconds with seed 24
    Then the slow upstream runs at most 2 percent of the urgent calls

  Scenario: A server that fails fast does not attract the load
    Given 4 gateways before 8 upstreams of 2 slots with a mean of 100 ms
    And one upstream fails every call at once
    When callers send urgent calls at 0.1 and normal calls at 0.4 of the capacity for 10 seconds with seed 25
    Then the failing upstream is sent at most 5 percent of the calls
