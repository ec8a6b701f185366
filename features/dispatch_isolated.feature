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

  Scenario: An agent is replaced during a cut, and is heard before the others
    An entry that takes it for the restart of all its agents runs the tasks of a caller
    that has gone to another entry.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And e0 is cut off for 2.4 seconds after 0.3 seconds, and a1 is replaced meanwhile
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: All agents are replaced at once, and are heard one after another
    An entry that takes this for a cut answers jobs that their callers still wait for.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 1 seconds comes to e0
    And all agents are replaced after 0.1 seconds, 0.07 seconds one after another
    And the fleet runs on for 8 seconds
    Then no task has run twice at once
    And the job is completed at e0
