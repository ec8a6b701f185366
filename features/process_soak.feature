Feature: Real processes under random faults

  Scenario: A short day of faults on entries, agents, workers and the store
    Kills, freezes, planned stops, a store that fails and workers that fail come by
    turns while six callers hand jobs in. Longer runs: python -m tools.soak_processes.
    When a day of 6 seconds with seed 2 is played on real processes
    Then no promise was broken on it
    And at least 20 jobs were answered
