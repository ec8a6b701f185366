Feature: Workers that are about to leave do what they still can

  Scenario: Agents are rolled in series while the load is at its height
    Each waits for the last of its tasks. Closed to all others until then, a fifth of all
    room would stand empty, and callers would be refused.
    Given the users' work of today at 1.4 times its height
    When a third of the agents is rolled, one each second
    Then the callers get at least 0.983 of what they came for
    And no run was cut off

  Scenario: Without short tasks meanwhile callers are refused for it
    Given the users' work of today at 1.4 times its height
    And leaving workers take nothing
    When a third of the agents is rolled, one each second
    Then the callers get less than 0.983 of what they came for

  Scenario: Workers are taken away at short notice
    What they can't end is lost with them. Found out only then, its job is late wherever
    it runs again.
    Given the users' work of today at 1.2 times its height
    When a sixth of the workers leaves 1.7 seconds after its notice
    Then the callers get at least 0.995 of what they came for
    And at most 3 runs were lost with their workers

  Scenario: Without giving back what can't end there jobs are late for it
    Given the users' work of today at 1.2 times its height
    And leaving workers keep what they can't end
    When a sixth of the workers leaves 1.7 seconds after its notice
    Then the callers get less than 0.995 of what they came for

  Scenario: A draining worker gets nothing once its time for it has passed
    The upstream's owners count on it: a worker that stays for long gets no new work a
    few seconds after it said that it drains.
    Given the users' work of today at 1.2 times its height
    When a worker drains for 6 seconds
    Then it was given tasks, and none after 1.1 seconds

  Scenario: An agent that starts anew beside a draining worker gives it nothing
    How long it has been draining nobody knows.
    Given the users' work of today at 1.2 times its height
    When a worker drains for 6 seconds and its agent starts anew
    Then it was given nothing after 0.2 seconds
