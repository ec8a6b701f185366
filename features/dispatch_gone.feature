Feature: A worker is taken for gone only when that is certain

  Scenario Outline: Days on which workers leave or refuse connections
    Workers run on after they have announced that they leave, or while a network refuses
    connections to them. No task may run twice at once, and each caller has its answer.
    Then days <first> to <last> of the mix "<mix>" keep every guarantee

    Examples:
      | mix    | first | last |
      | refuse | 0     | 4    |
      | depart | 0     | 4    |

  Scenario: A network refuses connections for a moment
    The worker's lease lasts longer than that. An agent that took it for gone would have
    all its tasks run again.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 2 seconds comes to e0
    And after 0.3 seconds connections to a worker that runs a task are refused for 0.1
    And the fleet runs on for 4 seconds
    Then no task has run twice
    And the job is completed at e0

  Scenario: A run ends on a worker that has announced that it leaves
    The end is listed within the rest of the lease, so that the task needn't run again.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 0.5 seconds comes to e0
    And after 0.3 seconds a worker that runs a task leaves, and runs on for 0.4 seconds
    And the fleet runs on for 4 seconds
    Then no task has run twice
    And the job is completed at e0

  Scenario: A crashed worker is back before its lease has expired
    Its answer is certain evidence, so that the tasks run again sooner.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 2 seconds comes to e0
    And after 0.3 seconds a worker that runs a task crashes for 0.1 seconds
    And the fleet runs on for 6 seconds
    Then its tasks have run again within 0.2 seconds

  Scenario: An answer of a dead incarnation comes after a late heartbeat of it
    Answers on different connections may overtake each other. One to a poll that was
    sent before the heartbeat came doesn't show that its sender lives.
    Given a fleet of 1 entries and 2 workers
    When a job of 2 tasks of 2 seconds comes to e0
    And after 0.3 seconds a heartbeat of a dead incarnation of a worker that runs a task comes, and 0.0002 seconds later its answer to a poll of 0.1 seconds before
    And the fleet runs on for 6 seconds
    Then no task has run twice
    And the job is completed at e0

  Scenario: An agent that restarts asks an incarnation that it doesn't know yet
    A late heartbeat of a dead incarnation came before. A question that renewed the
    lease would keep the runs of the earlier agent alive, while its entry counts on
    their end; the answer, with which the agent would find and stop them, is lost.
    Given a fleet of 1 entries and 2 workers
    When a job of 1 tasks of 3 seconds comes to e0
    And after 0.3 seconds the agent that runs a task restarts, and takes a dead incarnation for its worker
    And the worker announces itself 0.27 seconds later, and its answers to polls are lost
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0

  Scenario: A start whose connection is refused costs its caller nothing
    It was never sent, so that the task may run elsewhere at once.
    Given a fleet of 1 entries and 2 workers
    When connections to all workers but one are refused
    And a job of 4 tasks of 0.2 seconds comes to e0
    And the fleet runs on for 2 seconds
    Then the job is completed at e0 within 0.3 seconds

  Scenario: The client tells a refused connection from another incarnation's answer
    A refusal may be a network's, while another incarnation's answer is certain evidence.
    When a worker's client calls an address where nobody listens
    Then the start is unreached, and the poll is refused and doesn't say gone
    When a worker's client calls an address where another incarnation answers
    Then the start and the poll both say gone
