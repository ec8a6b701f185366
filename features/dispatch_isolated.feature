Feature: An entry that was cut off runs nothing for callers that have gone

  Scenario: An entry that hears few of its agents logs it, and that this is over
    Without the lines nobody could tell from a log whether an entry was cut off.
    Given a fleet of 2 entries and 6 workers
    When e0 and all others are cut off for 1.5 seconds
    And the fleet runs on for 3 seconds
    Then e0 has logged that it heard few of its 6 agents, and that this is over

  Scenario: A process whose timer is late again and again logs it once a second
    A process that is short of processor time would fill the log with its pauses.
    Given a fleet of 1 entries and 2 workers
    When the timer of e0 is late by 0.12 seconds for 3 seconds
    Then e0 has logged 3 or 4 pauses of 0.17 seconds
