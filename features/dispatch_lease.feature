Feature: A worker's lease ends no later than its agent expects

  Scenario Outline: A start to a worker that was idle
    An idle worker isn't polled, so what the agent knows of its clock is old. Where the
    clock has lost 2% since, the lease would be too long: the worker would still run the
    task when the agent, or the entry, has it run elsewhere.
    Given an agent beside a worker whose clock runs at <percent> % of its speed
    And the worker's responses take <delay> ms
    When the agent finds its worker, which is idle for <idle> seconds
    And the agent starts a task
    Then the worker's lease ends before the agent considers the run ended
    And the lease has lasted for 0.27 seconds or more

    Examples: clocks and idle times
      | percent | idle | delay |
      | 98      | 60   | 0     |
      | 100     | 60   | 0     |
      | 102     | 60   | 0     |
      | 98      | 60   | 180   |
      | 102     | 60   | 180   |
      | 98      | 1.5  | 0     |
      | 98      | 1.5  | 180   |
      | 98      | 0.15 | 180   |

  Scenario Outline: An agent falls silent right after its last renewal
    Its last report has given the entry the stamp that the agent runs the task for; the
    agent renews the worker's lease for as long as that stamp is valid, and then freezes.
    The entry runs the task elsewhere when both leases have passed.
    Given an agent beside a worker whose clock runs at <percent> % of its speed
    And the worker's responses take <delay> ms
    When the agent finds its worker, which is idle for 60 seconds
    And the agent starts a task, renews the lease 0.5 seconds later and freezes
    Then the worker's lease ends before an entry runs the task elsewhere

    Examples: clocks
      | percent | delay |
      | 98      | 0     |
      | 102     | 0     |
      | 98      | 180   |
      | 102     | 180   |

  Scenario Outline: An agent falls silent right after a start
    The start has been on its way for as long as the agent accepts one, and the entry
    hasn't heard the agent since it sent it.
    Given an agent beside a worker whose clock runs at <percent> % of its speed
    And the worker's responses take <delay> ms
    When the agent finds its worker, which is idle for 60 seconds
    And a start for which the entry has waited 0.5 seconds comes, and the agent freezes after it
    Then the worker's lease ends before an entry runs the task elsewhere

    Examples: clocks
      | percent | delay |
      | 98      | 0     |
      | 102     | 0     |
      | 98      | 180   |
      | 102     | 180   |

  Scenario Outline: A call is sent later than it was decided
    The process or its host is paused in between, or the call waits for a connection.
    The agent counts from the decision, so the lease must too.
    Given an agent beside a worker whose clock runs at 100 % of its speed
    When the agent finds its worker, which is idle for 0.1 seconds
    And the agent decides on a <call> and sends it 0.4 seconds later
    Then the worker's lease ends before the agent considers the run ended

    Examples: calls
      | call  |
      | start |
      | poll  |

  Scenario: A start is sent so late that its lease has passed
    Given an agent beside a worker whose clock runs at 100 % of its speed
    When the agent finds its worker, which is idle for 0.1 seconds
    And the agent decides on a start and sends it 0.6 seconds later
    Then the worker has not run the task, and the agent knows that

  Scenario: A start to a worker whose clock isn't known
    A deadline on the agent's clock means nothing to the worker.
    Given an agent beside a worker whose clock runs at 100 % of its speed
    When the agent finds its worker, which is idle for 0.1 seconds
    And all readings of the worker's clock are lost
    And the agent starts a task
    Then the worker's lease ends before the agent considers the run ended

  Scenario: A worker whose clock isn't known gives no reading of it
    Given an agent beside a worker whose clock runs at 100 % of its speed
    When the agent finds its worker, which is idle for 0.1 seconds
    And all readings of the worker's clock are lost
    And the worker's polls get no response
    And the agent starts a task
    Then the worker has not run the task, and the agent knows that

  Scenario Outline: Heartbeats show the clock of an idle worker
    With a fresh reading a start needs no call before it. A heartbeat that was delayed
    doesn't make the lease shorter.
    Given an agent beside a worker whose clock runs at <percent> % of its speed
    When the agent finds its worker, which is idle for 60 seconds
    And a heartbeat comes, and one that was delayed by 20 seconds
    And the agent starts a task
    Then the worker's lease ends before the agent considers the run ended
    And the lease has lasted for 0.45 seconds or more
    And the worker's clock was read by no call of its own

    Examples: clocks
      | percent |
      | 98      |
      | 100     |
      | 102     |

  Scenario: Another incarnation of the worker is polled without a lease
    It isn't known yet whether it runs anything, nor for whom.
    Given an agent beside a worker whose clock runs at 100 % of its speed
    When the agent finds its worker, which is idle for 0.1 seconds
    Then the poll of another incarnation renews no lease

  Scenario Outline: Stops are sent while other calls wait for an answer
    A worker leaves calls unanswered, each of which occupies a connection until it times
    out. A stop that waits for one of few connections times out unsent, and so does its
    repetition if others are always first.
    Given an agent whose worker runs 20 tasks
    When the worker answers no <calls>, and the entry falls silent
    Then the first stop of each task reaches the worker within 1 seconds

    Examples: calls
      | calls           |
      | stops           |
      | stops and polls |
