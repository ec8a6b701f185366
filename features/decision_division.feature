Feature: How an agent divides its free capacity among entries

  Scenario: One entry at a time is told of one task's capacity
    Otherwise each of three entries sends a start, and two are declined.
    Given entries a, b and c with 60, 60 and 60 cores waiting
    When 6 cores are free, and tasks take 6
    Then one entry is told 6 cores and the others 0

  Scenario: Grants follow the backlogs, up to two tasks
    Otherwise an entry with one task waiting would get as much as one with many, or one
    with a burst of long tasks would take the turns of urgent ones elsewhere.
    Given entries a, b and c with 600, 12 and 6 cores waiting
    When 6 cores are freed 60 times, and each grant is used
    Then a, b and c have got 24, 24 and 12 grants, give or take 1

  Scenario: Capacity that covers all backlogs is told to all
    Otherwise a job that arrives would wait for a grant beside idle capacity.
    Given entries a, b and c with 6, 0 and 0 cores waiting
    When 24 cores are free, and tasks take 6
    Then every entry is told 24 cores

  Scenario: Entries without waiting tasks are told what is left
    Given entries a, b and c with 6, 0 and 0 cores waiting
    When 8 cores are free, and tasks take 6
    Then a is told 8 cores
    And b is told 2 cores

  Scenario: A grant of two tasks ends with the second start
    Otherwise its second start would find the capacity granted to another entry.
    Given entries a, b and c with 60, 0 and 0 cores waiting
    When 12 cores are free, and tasks take 6
    And a sends a start of 5 cores
    Then a has a grant of 7 cores
    When a sends a start of 6 cores
    Then a has a grant of 0 cores

  Scenario: A grant expires, and its entry gets no other before it is heard
    A crashed or frozen entry may block capacity for 30 ms only.
    Given entries a and b with 60 and 60 cores waiting
    When 6 cores are free, and tasks take 6
    And 0.031 seconds go by at the agent
    Then b is told 6 cores
    When b sends a start of 6 cores
    And 6 cores are free, and tasks take 6
    Then b is told 6 cores
    When b sends a start of 6 cores
    And b has nothing waiting any more
    And 12 cores are free, and tasks take 6
    Then every entry is told 12 cores
    When a echoes a report of 0.05 seconds later
    And 12 cores are free, and tasks take 6
    Then a is told 12 cores
    And b is told 6 cores

  Scenario: A grant that grows lasts no longer
    Otherwise a frozen entry could block capacity for as long as tasks end.
    Given entries a and b with 60 and 0 cores waiting
    When 6 cores are free, and tasks take 6
    And 0.02 seconds go by at the agent
    And 12 cores are free, and tasks take 6
    Then a has a grant of 12 cores
    When 0.011 seconds go by at the agent
    Then a has a grant of 0 cores

  Scenario: A backlog that is not confirmed for 0.3 seconds gets no grants
    Given entries a and b with 60 and 60 cores waiting
    When 0.31 seconds go by at the agent
    And 6 cores are free, and tasks take 6
    Then every entry is told 6 cores

  Scenario: Capacity that waiting tasks leave unused is told to all for a second
    Long tasks leave room for urgent ones. If that were granted again and again, an
    urgent task at another entry would wait beside idle capacity.
    Given entries a, b and c with 60, 0 and 0 cores waiting
    When 6 cores are free, and tasks take 6
    And 0.031 seconds go by at the agent
    And a echoes a report of 0.05 seconds later
    And 6 cores are free, and tasks take 6
    Then every entry is told 6 cores
    When 1.05 seconds go by at the agent
    And a echoes a report of 0 seconds later
    And 6 cores are free, and tasks take 6
    Then a is told 6 cores
    And b is told 0 cores

  Scenario: An urgent task that was declined gets the capacity that others leave
    Given entries a and b with 60 and 60 cores waiting
    And both have left 9 cores unused
    When 7 cores are free, and tasks take 6
    Then every entry is told 7 cores
    When a sends a start of 6 cores that is declined
    And 7 cores are free, and tasks take 6
    Then a is told 7 cores
    And b is told 1 cores

  Scenario: Two grants are made only if both leave room for urgent tasks
    Otherwise neither entry could start its task before both grants expire.
    Given entries a and b with 60 and 60 cores waiting
    When 13 cores are free, tasks take 6, and 6 are for urgent ones
    Then one entry is told 13 cores and the others 7

  Scenario: What is left for urgent tasks is granted to an entry that has some only
    A smaller task of any entry may fit beside it, and would wait for 30 ms.
    Given entries a and b with 60 and 60 cores waiting
    When 11 cores are free, tasks take 6, and 6 are for urgent ones
    Then every entry is told 11 cores
    When a sends a start of 6 cores that is declined
    And 11 cores are free, tasks take 6, and 6 are for urgent ones
    Then a is told 11 cores
    And b is told 5 cores

  Scenario: A larger task that does not fit its grants is told all that is free
    Given entries a and b with 31 and 60 cores waiting
    And both have left 16 cores unused
    When 32 cores are free, and tasks take 6
    Then some entry is told at least 31 cores, now or after the grants have expired
