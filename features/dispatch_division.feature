Feature: Agents divide scarce capacity among the entries

  Scenario: In a burst few starts are declined
    When 6 seconds of 1.2 times the capacity are played with and without division
    Then at most 0.05 starts are declined for each task, and fewer than without
    And no more messages are sent for each task than without
    And less than 0.03 of the capacity is free while jobs wait
    And wide jobs are on time as often as without, give or take 0.01
    And jobs of each kind are on time as often as without, give or take 0.02

  Scenario: In normal load fewer starts are declined
    When 6 seconds of 0.65 times the capacity are played with and without division
    Then half as many starts are declined as without
    And no more messages are sent for each task than without
    And 95 of 100 first starts are no later than without, give or take 0.002 seconds
    And jobs of each kind are on time as often as without, give or take 0.01

  Scenario: An entry crashes while it holds grants
    It may block the capacity for 30 ms only.
    Given 4 entries, 6 workers and division in a burst
    When e0 crashes
    And the burst goes on for 1 second
    Then no agent has granted e0 anything since 0.1 seconds after that
    And no task ran twice at once, and no worker had too many

  Scenario: The capacity of a crashed entry is used by the others
    When e0 crashes in a burst with and without division, with each of 12 seeds
    Then at most 0.02 more of the capacity is free while jobs wait than without

  Scenario: A frozen entry resumes with old reports
    Given 4 entries, 6 workers and division in a burst
    When e0 is frozen for 0.3 seconds
    Then each agent grants it at most one thing meanwhile
    When the burst goes on for 1 second
    Then e0 uses grants again
    And no task ran twice at once, and no worker had too many

  Scenario: An agent restarts
    Its knowledge of backlogs and grants is lost.
    Given 4 entries, 6 workers and division in a burst
    When the agent a0 restarts
    And the burst goes on for 2 seconds
    Then a0 grants capacity again
    And no task ran twice at once, and no worker had too many

  Scenario: Reports to an entry are lost, but its keepalives arrive
    Its backlog stays known, but it can use no grant.
    Given 4 entries, 6 workers and division in a burst
    When messages from a0 to e0 are lost for 1 second
    Then a0 grants it at most one thing meanwhile
    And a0 grants others something meanwhile
    When the burst goes on for 2 seconds
    Then a0 grants e0 something again
    And no task ran twice at once, and no worker had too many

  Scenario: Messages from an entry are lost, but reports to it arrive
    Given 4 entries, 6 workers and division in a burst
    When messages from e0 to a0 are lost for 1 second
    Then a0 grants it at most one thing meanwhile
    And a0 grants others something meanwhile
    When the burst goes on for 2 seconds
    Then a0 grants e0 something again
    And no task ran twice at once, and no worker had too many

  Scenario: The platform's store is down
    Given 4 entries, 6 workers and division in a burst
    When the platform's store does not answer for 1 second
    Then a0 grants others something meanwhile
    And no task ran twice at once, and no worker had too many

  Scenario: Entries without the setting work with agents that divide
    During a rolling change of the settings they report no backlog.
    Given 4 entries, 6 workers and division in a burst
    When e0 runs without the setting
    And the burst goes on for 2 seconds
    Then no agent has granted e0 anything since 0.4 seconds after that
    And e0 places tasks
    And no task ran twice at once, and no worker had too many
