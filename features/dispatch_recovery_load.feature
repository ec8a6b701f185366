Feature: All hosts lose power under load and start again together

  The users' kinds of jobs use 0.65 of the workers' capacity all the while. Entries are
  up 0.02 to 0.5 s after the power is back, agents after 0.3 to 0.5 s. Of jobs that
  arrive 0.3 s after the power is back or later 95 of 100 should be on time.

  Scenario Outline: A full outage
    An entry that refuses while it knows no worker sends its callers to entries that
    know no more. A late answer is worth a fifth to them.
    Given outages of 6 entries and 18 agents, with the seeds 1 to 4
    When they are played with late jobs served, and without, and <fault>
    Then with late jobs served, no job that could be useful is refused blindly
    And 95 of 100 jobs that arrive from 0.3 seconds on are on time
    And no fewer jobs are on time than without, to within <noise> of 100
    And the jobs that arrive in the outage earn more than without, if any is refused there
    And no task runs twice at once, and no worker gets more than its capacity

    Examples:
      | fault                                          | noise |
      | nothing else fails                             | 1     |
      | the store is down for 0.6 seconds              | 1     |
      | a third of the hosts is back 2 seconds later   | 1     |
      | the power fails again after 0.4 seconds        | 1     |
      | the power fails again after 0.9 seconds        | 1     |

  Scenario: Agents and entries find each other while the store is down
    If agents waited for the store to find the entries, the first task would run only
    after the store is back.
    Given an outage of 6 entries and 18 agents in which the store stays down
    When 0.8 seconds have passed since the power is back
    Then each entry knows an open worker, and each worker is open at an entry

  Scenario: The usual overload
    Late jobs that were served while capacity is scarce would take it from jobs that can
    be on time, and hold callers whose jobs are refused in the end.
    Given a load of 1.3 times the capacity on 6 entries and 18 agents, without an outage
    Then each job ends as it does without the setting, and at the same time

  Scenario: An entry restarts alone in an overload
    It discovers workers that are full. Late jobs that it held would only be refused
    later.
    Given a load of 1.3 times the capacity on 6 entries and 18 agents, without an outage
    When one entry restarts after 3 seconds, in both
    Then no fewer of its jobs are on time than without the setting, to within 3 of 100
    And half of its refusals come within 0.05 seconds of the time they take without
