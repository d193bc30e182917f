Feature: A call that is reported as not run was not run

  Scenario Outline: The reported outcome agrees with the upstreams under <trouble>
    Given 2 gateways before 3 upstreams that answer in 5 ms
    And the upstreams are in trouble: <trouble>
    When callers read and write 50 times a second each for 4 seconds with seed <seed>
    Then no call that was told to be not run was run
    And no write was run twice
    And every caller was told one outcome, at least <not run> of them "no"
    And at least <unknown> callers were told "unknown"

    Examples:
      | trouble                               | seed | not run | unknown |
      | refusals everywhere                   | 21   | 350     | 0       |
      | refusals at two of three              | 22   | 0       | 0       |
      | resets before the run                 | 23   | 0       | 20      |
      | resets after the run                  | 24   | 0       | 20      |
      | resets after the run, then refusals   | 25   | 0       | 20      |
      | answers after the deadline            | 26   | 0       | 100     |
      | no listener at two of five            | 27   | 0       | 0       |

  Scenario: The reported outcome agrees with the upstreams while a gateway stops
    Given 2 gateways before 3 upstreams that answer in 5 ms
    When callers read and write 50 times a second each for 4 seconds with seed 28 while a gateway stops
    Then no call that was told to be not run was run
    And no write was run twice
    And every caller was told one outcome, at least 1 of them "no"
