Feature: An evacuated data centre gets no new tasks until its evacuation ends

  Scenario: Running tasks finish, and new ones start in other data centres
    The work of tasks stopped by an evacuation would be lost, and so would tasks started
    in a data centre that is about to be switched off.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When a job of 24 tasks runs everywhere
    And data centre d0 is evacuated
    And the data centres get 0.3 times what the workers can do for 3 seconds
    Then nothing has started in data centre d0 later than 0.5 seconds after that
    And every job is done, and no task has run twice

  Scenario: Agents decline the tasks of an entry that can't reach the store
    The entry doesn't know of the evacuation, so it sends tasks there, and its agents
    must not start them.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When entries e1 and e2 can't reach the store
    And the links from e0 to the other entries are cut
    And data centre d0 is evacuated
    And the data centres get 0.5 times what the workers can do for 3 seconds
    Then nothing has started in data centre d0 later than 0.6 seconds after that
    And every job is done, and no task has run twice

  Scenario: Tasks of such an entry start there if the agents don't decline them
    Given a fleet of 3 entries in 3 data centres and 6 workers
    And agents accept tasks though their data centre is evacuated
    When entries e1 and e2 can't reach the store
    And the links from e0 to the other entries are cut
    And data centre d0 is evacuated
    And the data centres get 0.5 times what the workers can do for 3 seconds
    Then something has started in data centre d0 later than 0.6 seconds after

  Scenario: An entry returns from a partition with outdated evacuations
    If others believed it, they would use the evacuated data centre again, or treat one
    whose evacuation has ended as evacuated.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When data centre d0 is evacuated
    And the fleet runs on for 1 seconds
    And entries e1 and e2 can't reach the store
    And e1 is cut off from all others
    And the evacuation of data centre d0 ends
    And data centre d1 is evacuated
    And the fleet runs on for 2 seconds
    And e1 is connected again
    And the fleet runs on for 2 seconds
    Then all entries and agents regard d1 alone as evacuated

  Scenario: An entry that restarts without the store learns evacuations from others
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When data centre d0 is evacuated
    And the fleet runs on for 1 seconds
    And entries e1 and e2 can't reach the store
    And e1 is killed and started again
    And the data centres get 0.5 times what the workers can do for 3 seconds
    Then nothing has started in data centre d0 later than 0.5 seconds after that

  Scenario: A restarted agent starts no tasks of an entry with outdated evacuations
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When entries e1 and e2 can't reach the store
    And the links from e0 to the other entries are cut
    And data centre d0 is evacuated
    And the fleet runs on for 1 seconds
    And a0 is killed and started again
    And the data centres get 0.5 times what the workers can do for 3 seconds
    Then nothing has started in data centre d0 later than 1.6 seconds after that

  Scenario: The store turns all entries away, and agents reach it
    No entry learns of the evacuation. Their agents would start tasks in the data centre
    until it is switched off.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When no entry can reach the store
    And data centre d0 is evacuated
    And the data centres get 0.5 times what the workers can do for 8 seconds
    Then nothing has started in data centre d0 later than 4 seconds after that
    And every job is done, and no task has run twice

  Scenario: The store turns all entries away while an evacuation ends
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When data centre d0 is evacuated
    And the fleet runs on for 1 seconds
    And no entry can reach the store
    And the evacuation of data centre d0 ends
    And the fleet runs on for 4 seconds
    Then the agents of data centre d0 take tasks again

  Scenario: Agents don't read the store while one of their entries reaches it
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When entries e1 and e2 can't reach the store
    And the fleet runs on for 10 seconds
    Then no agent has read the evacuations

  Scenario: Agents read the store rarely while it is down
    Hundreds of agents that ask a store which doesn't answer would cost calls for nothing.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When the store is down for everybody
    And the fleet runs on for 20 seconds
    Then each agent has read the evacuations at most 10 times

  Scenario: A data centre is used as soon as its evacuation ends
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When data centre d0 is evacuated
    And the fleet runs on for 3 seconds
    And the evacuation of data centre d0 ends
    And the data centres get 0.9 times what the workers can do for 3 seconds
    Then at least 95 of 100 jobs are on time

  Scenario: Jobs are refused at once when every data centre is evacuated
    Otherwise a job would wait for workers that get no tasks, and be refused only when
    it can't be on time any more, too late for its caller to use an alternative.
    Given a fleet of 3 entries in 3 data centres and 6 workers
    When a job comes to e0 for which there is no capacity
    And every data centre is evacuated
    Then that job is refused as not run within 0.1 seconds
    When a job of 1 tasks comes to e0
    Then that job is refused as not run within 0.001 seconds

  Scenario: Entries of an evacuated data centre find other workers at once
    They know only the workers of their own data centre. Searching for others job by job
    would delay each short job until it is late.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 is evacuated
    And the fleet runs on for 2 seconds
    And the entries of data centre d0 get half of what the others' workers can do
    Then at least 95 of 100 jobs are on time
    And nothing has started in data centre d0 later than 0.5 seconds after that

  Scenario: Jobs that arrive at that moment wait until other workers are found
    Their entry knows no usable worker yet. Refusing them at once would report wrongly
    that there is no worker at all.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And data centre d0 is evacuated
    And the fleet runs on for 0.006 seconds
    And a job of 50 ms comes to e0, which can wait for 36 ms
    Then that job is done within 1 seconds

  Scenario: A new revision with the same evacuations is not passed on
    Otherwise entries that read the store again, each at another revision, would make
    every entry send messages to all others, for each of these reads.
    Given a fleet of 15 entries in 3 data centres and 12 workers
    When the fleet runs on for 6 seconds
    And every entry reads the store again, each at another revision
    Then no entry sends more than 25 status messages within 0.3 seconds

  Scenario Outline: Random days with evacuations among all other faults
    Entries and agents are killed, frozen and partitioned while evacuations begin and
    end in a store that not every entry can reach.
    Then random days <first> to <last> with evacuations keep every guarantee

    Examples:
      | first | last |
      | 0     | 9    |
      | 10    | 19   |
