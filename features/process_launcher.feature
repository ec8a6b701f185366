Feature: The launcher of processes for tests and tools

  Scenario: The launcher's settings are taken by the product's own checker
    Given a launcher laid out for two entries and three workers
    Then the product's checker takes each of its settings files

  Scenario: Ports that the launcher reserves are handed to nobody else
    Features run side by side. If a reserved port could be handed out again,
    one feature's process would fail to listen, and its user would see a test
    fail now and then for no reason in the code.
    Given the launcher has reserved 20 ports
    When 200 sockets ask the system for any free port
    Then none of them gets a port that the launcher reserved
    And a server can listen at each port that the launcher reserved

  Scenario: A frozen process is ended with its launcher's block
    A test freezes a process and then fails. A process that was left behind
    would keep its port and its processor time until somebody looked.
    Given a launched key-value stand-in that is frozen
    When the launcher's block is left by an error
    Then no process of the launcher is left

  Scenario: A killed launcher takes its processes with it
    The machine's owner kills the test run itself, so that no clean-up runs.
    Given a launcher in a process of its own with a key-value stand-in
    When that launcher is killed at once
    Then its key-value stand-in ends by itself

  Scenario: The same seed gives the same arrivals, within their bounds
    Given two load plans with seed 7 and one with seed 8
    Then the plans with seed 7 are equal and differ from the other
    And each load plan keeps its bounds of time, count, task time and job size
