Feature: Real processes under random faults

  Scenario: A short day of faults on entries, agents, workers and the store
    Kills, freezes, planned stops, store failures and worker failures occur at random
    while six callers submit jobs. Longer runs: python -m tools.soak_processes.
    When a day of 6 seconds with seed 2 is played on real processes
    Then no guarantee was violated on it
    And at least 20 jobs were answered
