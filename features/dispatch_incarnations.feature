Feature: A late message of a process that is gone changes nothing

  Scenario: A report from before a reboot arrives while the host runs tasks again
    A host's clock starts anew when it reboots, so the late report has a higher stamp
    than those of the running agent. If the entry took it for newer, it would run the
    agent's tasks elsewhere while they still run there.
    Given a fleet of 1 entries and 2 workers whose hosts have been up for long
    When the network holds up the messages from a0 to e0 for 0.3 seconds
    And the host of a0 reboots within 0.3 seconds
    And the fleet runs on for 2 seconds
    And a job of 12 tasks of 2 seconds comes to e0
    And the messages held up from a0 to e0 arrive after 0.2 seconds
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And every task was started once

  Scenario: A host that has rebooted is used at once
    Its stamps are lower than those that are known. If its reports were ignored until
    the leases of the earlier incarnation have passed, short tasks would be late.
    Given a fleet of 1 entries and 1 workers whose hosts have been up for long
    When the host of a0 reboots within 0.3 seconds
    And the fleet runs on for 0.4 seconds
    And a job of 4 tasks of 0.1 seconds comes to e0
    And the fleet runs on for 0.2 seconds
    Then the job is completed at e0

  Scenario: An entry that has just started hears a late report first
    The report is of an agent that is gone. The running agent reports afterwards, with
    lower stamps.
    Given a fleet of 1 entries and 1 workers whose hosts have been up for long
    When the network holds up the messages from a0 to e0 for 0.3 seconds
    And the host of a0 reboots within 0.3 seconds
    And the process of e0 is replaced
    And the messages held up from a0 to e0 arrive after 0 seconds
    And the fleet runs on for 0.4 seconds
    And a job of 4 tasks of 0.1 seconds comes to e0
    And the fleet runs on for 0.2 seconds
    Then the job is completed at e0

  Scenario: A host that is killed again and again
    Reports of two earlier incarnations arrive late, in turn, after the third one's
    tasks have started.
    Given a fleet of 1 entries and 2 workers whose hosts have been up for long
    When the network holds up the messages from a0 to e0 for 0.3 seconds
    And the host of a0 reboots within 0.1 seconds
    And the network holds up the messages from a0 to e0 for 0.3 seconds
    And the host of a0 reboots within 0.1 seconds
    And the fleet runs on for 2 seconds
    And a job of 12 tasks of 2 seconds comes to e0
    And the messages held up from a0 to e0 arrive after 0.2 seconds
    And the messages held up from a0 to e0 arrive after 0.01 seconds
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And every task was started once

  Scenario: Hosts reboot and messages arrive late on random days
    Then days 0 to 19 of reboots and late messages have no overlap

  Scenario: A late message of an entry that is gone reaches a new agent
    The agent has started after the entry was replaced, and knows the running one alone.
    If it took the late message for one of a newer entry, it would stop the running
    entry's tasks, and take nothing from it any more.
    Given a fleet of 1 entries and 2 workers whose hosts have been up for long
    When the network holds up the messages from e0 to a0 for 0.5 seconds
    And the process of e0 is replaced
    And the process of a0 is replaced
    And the fleet runs on for 2 seconds
    And a job of 12 tasks of 1 seconds comes to e0
    And the messages held up from e0 to a0 arrive after 0.2 seconds
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And every task was started once
    And a0 hears e0

  Scenario: A late message of an entry that is gone reaches an agent that forgot it
    An agent forgets an entry that has been silent and has no tasks there. It then hears
    the running entry, and after that the one that is gone.
    Given a fleet of 1 entries and 2 workers whose hosts have been up for long
    When the network holds up the messages from e0 to a0 for 0.5 seconds
    And the process of e0 is replaced
    And the fleet runs on for 1 seconds
    And a0 forgets e0
    And the fleet runs on for 1 seconds
    And a job of 12 tasks of 1 seconds comes to e0
    And the messages held up from e0 to a0 arrive after 0.2 seconds
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0
    And every task was started once
    And a0 hears e0

  Scenario: A new agent hears an entry that is gone before the running one
    Given a fleet of 1 entries and 1 workers whose hosts have been up for long
    When the network holds up the messages from e0 to a0 for 0.5 seconds
    And the process of e0 is replaced
    And the process of a0 is replaced
    And the messages held up from e0 to a0 arrive after 0 seconds
    And the fleet runs on for 0.5 seconds
    And a job of 4 tasks of 0.1 seconds comes to e0
    And the fleet runs on for 0.2 seconds
    Then the job is completed at e0
    And a0 hears e0

  Scenario: Processes are replaced and messages arrive late on random days
    Then days 0 to 19 of replaced processes have no overlap either

  Scenario: A repeated start reaches the next incarnation of the agent that accepted it
    The entry has sent the start twice. The first copy was accepted, and the agent's
    process was replaced while the worker goes on. If the new process declined the
    second copy, as a start that never ran, the entry would run the task elsewhere
    before the worker's lease has expired.
    Given a fleet of 1 entries and 2 workers whose hosts have been up for long
    When a job of 1 tasks of 3 seconds comes to e0
    And the agent that runs it is replaced after 0.1 seconds and hears of no worker yet
    And a copy of the start arrives there
    And the fleet runs on for 6 seconds
    Then no task has run twice at once
    And the job is completed at e0
