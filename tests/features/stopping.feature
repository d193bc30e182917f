Feature: A planned stop interrupts no request in flight

  Scenario: A stopping gateway finishes all requests in flight
    Given 1 gateway before 3 upstreams that take 4 s and answer with 20 MB
    And 6 calls, 2 downloads with slow readers and 3 idle connections are open
    When the gateway is told to stop twice
    Then a new call on an idle connection is answered with "Connection: close"
    And the 6 calls and the 2 downloads arrive whole
    And the gateway ends by itself with exit code 0

  Scenario: A rolling restart under load loses nothing
    Given 3 gateways before 3 upstreams that answer in 20 ms
    When the gateways are restarted one after another while callers read and write 40 times a second each with seed 31
    Then every call was answered
    And no write was run twice
