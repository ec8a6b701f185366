Feature: An entry that was cut off runs nothing for callers that have gone

  Scenario Outline: Cuts of any length, and callers whose leaving is known late: <way>
    After the cut the entry hears its agents first. If it ran the tasks that they have
    stopped again, these would run beside the caller's second attempt elsewhere.
    Then no task runs twice at once in cuts of 0.2 to 12 seconds, <way>

    Examples: what is cut
      | way       |
      | both ways |
      | from it   |
      | to it     |
      | held up   |

    Examples: its tasks run on at the workers that are cut off with it
      | way                  |
      | with its data centre |

  Scenario Outline: Random days of cuts on a larger site: <mix>
    On days 9003 and 9004, and 9010 and 9012, tasks ran twice at once when an entry placed
    what it had accepted before a cut.
    Then days <first> to <last> of <mix> with 10 entries, 12 workers and 4 data centres keep every guarantee

    Examples: mixes
      | mix            | first | last |
      | callers-broken | 9003  | 9005 |
      | callers-cut    | 9010  | 9012 |

  Scenario: A caller that waited through the cut is told at once that it is unfinished
    Its task may have run. Without an answer it would wait for its whole time.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And e0 and all others are cut off for 1.5 seconds
    And the fleet runs on for 2.3 seconds
    Then the job at e0 is answered as unfinished
    And every task was started once

  Scenario: A job that was not started before the end of a cut is refused as not run
    It waited for a worker when the cut came. An answer that it may have run would keep
    its caller from sending it again at once.
    Given a fleet of 1 entries and 2 workers whose capacity is used up
    When a job of 2 tasks of 5 seconds comes to e0
    And e0 and all others are cut off for 1.5 seconds
    And the fleet runs on for 2.3 seconds
    Then the job at e0 is answered as not_run
    And no task of it was started

  Scenario: Tasks that ended during a cut are answered after it
    Their ends are ready at the agents. Refusing the job would waste them.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 0.2 seconds comes to e0
    And the fleet runs on for 0.1 seconds
    And e0 and all others are cut off for 2 seconds
    And the fleet runs on for 3 seconds
    Then the job is completed at e0
    And every task was started once

  Scenario: A request that comes out of a socket's buffer waits for its caller's leaving
    It is read at the end of the cut, and that its caller has gone a moment later.
    Then a task runs once when its request comes out of a buffer after a cut

  Scenario: New jobs are placed at once at the agents that are still heard
    One of four data centres is cut off from the others, and its callers are served by its
    own workers. Holding them back would make their jobs late.
    Given a fleet of 4 entries and 8 workers
    When e0 is cut off for 3 seconds from all but the workers of its data centre
    And the fleet runs on for 1 seconds
    And a job of 2 tasks of 0.2 seconds comes to e0
    And the fleet runs on for 0.3 seconds
    Then the job is completed at e0

  Scenario: Agents that were all replaced have not been cut off
    Their entry hears none of them for 0.8 s. Their tasks run again, since their callers
    are still there.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 1 seconds comes to e0
    And all agents are killed after 0.2 seconds, and replaced 0.8 seconds later
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And every task was started twice

  Scenario: The workers of one data centre of four are lost
    Most agents are still heard, so that its tasks run elsewhere. An entry that counted as
    isolated would refuse their jobs.
    Given a fleet of 4 entries and 8 workers
    When a job of 16 tasks of 1 seconds comes to e0
    And the agents of data centre d1 are cut off from e0 for 3 seconds
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And a task was started twice

  Scenario: An entry that was paused for less than its lease is not isolated
    It has handled no reports meanwhile. Taking that for a cut would refuse its jobs.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 1 seconds comes to e0
    And e0 freezes for 0.45 seconds after 0.1 seconds
    And the fleet runs on for 5 seconds
    Then e0 has not logged that it heard few of its agents
    And the job is completed at e0

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
