Feature: Callers of an evacuated data centre get their share of what is left

  Scenario Outline: Two of three data centres are left, and they are full
    The entries of the evacuated one know no other agents, and in an overload no entry
    has agents with free capacity to offer. Their callers would be refused most.
    Given six entries, twelve workers and three data centres, with agents shared
    When d0 is evacuated and all entries get <rate> times what is left for 6 seconds
    Then the refused share at d0 is at most 1.5 times that of the others

    Examples:
      | rate |
      | 1.1  |
      | 1.3  |

  Scenario: Below the remaining capacity nobody is refused
    Given six entries, twelve workers and three data centres, with agents shared
    When d0 is evacuated and all entries get 0.7 times what is left for 6 seconds
    Then at most 1 of 100 jobs are refused

  Scenario: The entry that offers agents crashes
    Its agents have other home entries, and what it offered stays known.
    Given six entries, twelve workers and three data centres, with agents shared
    When e1 is killed after 2 seconds
    And d0 is evacuated and all entries get 0.7 times what is left for 6 seconds
    Then at most 3 of 100 jobs are refused
