Feature: Callers compete for too little capacity, with the setting measure_headroom

  Sixteen workers in four data centres, lookups of priority 0, checks and audits of
  priority 1, rebuilds of priority 2, at 0.7 times the room; for eight seconds more
  rebuilds, or ten times as many audits.

  Scenario Outline: A burst of the least urgent kind costs the more urgent ones no more
    Rebuilds fill all workers for seconds, and lookups of eight tasks find room for some
    of their tasks only.
    When a burst of rebuilds to <load> times the room is played with the setting off and on
    Then lookups, checks and audits are on time as often with it, but for 1 of 100
    And no task ran twice in a contended fleet

    Examples:
      | load |
      | 1.1  |
      | 1.4  |

  Scenario: A queue at ten times its share costs the other queue of its priority less
    Both wait in one line otherwise, and are refused alike.
    When a burst of ten times the audits is played with the setting off and on
    Then more checks are on time with it
    And lookups are on time as often with it, but for 1 of 100
    And no task ran twice in a contended fleet

  Scenario: With one queue alone nothing is different
    A reserve would be idle while jobs are refused, and turns would change the order.
    When checks alone are played at 1.2 times the room with the setting off and on
    Then every task starts at the same time at the same worker

  Scenario: Urgent demand stops at once
    The capacity that was kept for it would be idle for as long as it is remembered.
    Given a contended fleet with the setting on
    When lookups stop after 3 seconds and rebuilds fill the workers
    Then 2.5 seconds later rebuilds leave nothing free for them

  Scenario: An entry starts without history
    Without it, it would leave nothing free in its first second, or three tenths.
    Given a contended fleet with the setting on
    When an entry starts anew under normal load
    Then within its first second it leaves a tenth free
    And five seconds later it leaves what the others leave, give or take a tenth

  Scenario: Half of the workers shrink, and a data centre is evacuated
    The entry's part is smaller at once; a share of what was there before would keep
    others from starting at all.
    Given a contended fleet with the setting on
    When half of the workers lose half of their size and a data centre is evacuated
    Then no entry leaves more than three tenths free
    And rebuilds are still completed
    And no task ran twice in a contended fleet
