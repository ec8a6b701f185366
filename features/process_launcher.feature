Feature: The process launcher for tests and tools

  Scenario: The launcher's settings pass the product's own check
    Given a launcher laid out for two entries and three workers
    Then the product's checker takes each of its settings files

  Scenario: Reserved ports are not assigned to other sockets
    Features run in parallel. If the system could assign a reserved port again, a
    process of one feature would fail to listen, and its test would be flaky.
    Given the launcher has reserved 20 ports
    When 200 sockets ask the system for any free port
    Then none of them gets a port that the launcher reserved
    And a server can listen at each port that the launcher reserved

  Scenario: A suspended process is killed when the launcher's block is left
    If a test suspends a process and then fails, a remaining process would keep
    its port and its CPU time until someone notices it.
    Given a launched key-value stand-in that is frozen
    When the launcher's block is left by an error
    Then no process of the launcher is left

  Scenario: The processes of a killed launcher end
    If the test run itself is killed, no clean-up code runs.
    Given a launcher in a process of its own with a key-value stand-in
    When that launcher is killed at once
    Then its key-value stand-in ends by itself

  Scenario: The same seed gives the same arrivals, within the plan's limits
    Given two load plans with seed 7 and one with seed 8
    Then the plans with seed 7 are equal and differ from the other
    And each load plan keeps its bounds of time, count, task time and job size
