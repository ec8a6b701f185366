Feature: After a failure, tasks run again as soon as it is safe

  Scenario: A host is powered off and is up again half a second later
    Its worker restarts under another identifier, so all earlier runs there have ended.
    Waiting for the leases of the agent's first incarnation would take another half
    a second and make short tasks late.
    Given a fleet of 1 entries and 2 workers
    When a job of 20 tasks of 0.5 seconds comes to e0
    And the host of a0 is powered off after 0.2 seconds
    And the host of a0 comes back 0.4 seconds later
    And the fleet runs on for 4 seconds
    Then no task has run twice at once
    And e0 completes the job within 1.4 seconds

  Scenario: A restarted agent stops the runs of its earlier incarnation
    The worker has kept running. The new incarnation polls it and stops the runs it
    finds before it reports that it is open; from then on nothing of the earlier
    incarnation can run. The worker is heard 0.5 s after the kill.
    Given a fleet of 1 entries and 2 workers
    When a job of 20 tasks of 0.5 seconds comes to e0
    And a0 is killed after 0.05 seconds
    And a0 is started again 0.1 second later
    And the fleet runs on for 4 seconds
    Then no task has run twice at once
    And e0 completes the job within 1.2 seconds

  Scenario: An agent that restarts late does not prolong the wait
    The leases of its first incarnation end 1.1 s after it was last heard, whenever the
    next incarnation starts.
    Given a fleet of 1 entries and 2 workers
    When a job of 20 tasks of 0.5 seconds comes to e0
    And a0 is killed after 0.2 seconds
    And a0's worker is cut off after 0 seconds
    And a0 is started again 1 second later
    And the fleet runs on for 4 seconds
    Then no task has run twice at once
    And e0 completes the job within 2.1 seconds

  Scenario: A delayed report of an agent's earlier incarnation arrives
    If it were taken for current, the tasks of the current incarnation would be run
    elsewhere while they still run there.
    Given a fleet of 1 entries and 2 workers
    When the host of a0 is powered off after 0.1 seconds
    And the host of a0 comes back 0.2 seconds later
    And the fleet runs on for 2 seconds
    And a job of 20 tasks of 1 seconds comes to e0
    And an open report of a0's earlier incarnation arrives after 0.3 seconds
    And the fleet runs on for 4 seconds
    Then no task has run twice at once
    And every task was started once

  Scenario: A probe task is returned by a worker that is still slow
    A worker that became ten times slower gets one probe task per entry at a time, to
    detect its recovery. If it kept these tasks to their end, each would make a job too
    late: twenty jobs in a day with two such workers.
    Given a fleet of 1 entries and 2 workers
    When a0's worker has been detected as ten times slower
    And a job of 11 tasks of 0.3 seconds comes to e0
    And the fleet runs on for 5 seconds
    Then no task has run twice at once
    And e0 completes the job within 1 seconds

  Scenario: An entry is up before its agents after a power cut
    A check of 0.6 s has 0.4 s of slack. By the queueing limit of a full fleet it would
    be refused just before the entry discovers the workers, which are all empty.
    Given a fleet of 1 entries and 2 workers
    When all processes are killed, and e0 is started again
    And a job of 4 tasks of 0.6 seconds comes to e0
    And the agents are started 0.2 seconds later
    And the fleet runs on for 3 seconds
    Then e0 completes the job within 1.02 seconds

  Scenario: An entry that discovers no agent refuses jobs that can't be on time
    Given a fleet of 1 entries and 2 workers
    When all processes are killed, and e0 is started again
    And a job of 4 tasks of 0.4 seconds comes to e0
    And the fleet runs on for 0.35 seconds
    Then the job is refused as not run at e0

  Scenario: A stopping agent does not wait for an entry that has gone
    Its last ends are never acknowledged. The agent would wait until it is killed, and
    its worker with it.
    Given a fleet of 2 entries and 2 workers
    When a job of 20 tasks of 0.2 seconds comes to e0
    And e0 is killed after 0.1 seconds
    And the fleet runs on for 1.5 seconds
    Then a0 and a1 would be idle if they were told to stop

  Scenario: A task that was declined often can still be returned
    Declined starts never ran. Only tasks that were returned before are not returnable.
    Given a fleet of 1 entries and 2 workers
    When a0's worker has been detected as ten times slower
    And a job of 11 tasks of 0.3 seconds, each declined 5 times, comes to e0
    And the fleet runs on for 5 seconds
    Then e0 completes the job within 1 seconds

  Scenario: A worker becomes slow while it runs long tasks
    Measured over their whole run time, the tasks still look healthy for seconds, since
    most of it was fast. The caller of a task of a third of a second waited 3.5 s.
    Given a fleet of 1 entries and 2 workers
    When both workers are busy with tasks of 2.5 seconds, of five jobs
    And a0's worker turns 8 times slower after 1 seconds
    And the fleet runs on for 1.2 seconds
    Then a0 has detected that its worker is slow

  Scenario: A worker that was silent for as long as its runs is used again
    Its runs have ended with their lease, so that the agent has no reason to poll it. Only
    an answered poll shows that it is well; without one, its capacity is lost for good.
    Given a fleet of 1 entries and 1 workers
    When a job of 1 tasks of 5 seconds comes to e0
    And a0's worker is cut off after 0.3 seconds
    And it answers again 1 second later
    Then its agent takes tasks within 0.2 seconds
