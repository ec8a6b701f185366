Feature: Operators' commands against real processes

  Background:
    Given a cell of three workers and two entries for operators

  Scenario: Labels, selectors and drains decide where work lands
    Operators steer the merged fleets by labels alone. What is accepted by one
    entry and not obeyed by all others would send work to the wrong host.
    When an operator runs "label worker w1 tier=gold --wait 30" through entry 1
    And an operator runs "drain w2 --wait 30" through entry 1
    Then entry 2 shows worker w1 with the label tier=gold
    And entry 2 shows worker w2 as drained
    And of 30 requests through entry 2 none lands on w2
    And of 10 requests for "tier=gold" through entry 2 all land on w1
    And a request for "tier=silver" through entry 2 is refused as not run
    When an operator runs "undrain w2 --wait 30" through entry 1
    Then requests through entry 2 come to land on w2

  Scenario: Objects are applied from a file
    When an operator applies worker w3 with the label tier=silver through entry 1
    Then entry 2 shows worker w3 with the label tier=silver
    And of 5 requests for "tier=silver" through entry 2 all land on w3

  Scenario: A change is accepted and the key-value service goes down
    The service dies just after it has taken an operator's change, and stays
    away. The operator was told that the change is accepted, so it must come
    into force; a process that restarts meanwhile must not bring the old
    configuration back.
    When an operator drains a worker beside the owner's through entry 1
    And the operators' key-value service goes down at once
    Then the accepted change of the drained worker is put in force by every agent
    And the accepted change comes into force on every node
    When entry 2 and the drained worker's agent are killed and started again
    Then entry 2 comes to show the drained worker as drained
    And of 10 requests through entry 1 none lands on the drained worker
    When the operators' key-value service comes back
    Then the accepted change comes into force on every node
    And of 30 requests through entry 2 none lands on the drained worker

  Scenario: A change is accepted, then the service and the owner go down
    The owner's own host is drained, the service dies after it has taken the
    change, and then the owner's process dies too. Nobody may take the cell over
    until the service is back. A caller must be told at once that its request did
    not run, and afterwards the drain must still stand.
    When an operator drains the owner's worker through entry 1
    And the operators' key-value service goes down at once
    Then the accepted change comes into force on every node
    When entry 2 and the drained worker's agent are killed and started again
    Then requests through entry 1 come to be refused as not run, and none has run
    When the operators' key-value service comes back
    Then requests through entry 1 come to be answered
    And entry 2 comes to show the drained worker as drained
    And of 30 requests through entry 2 none lands on the drained worker

  Scenario: Two operators change one object at the same moment
    Two on-call operators react to the same alarm through different entries. If
    both were told that they had succeeded, one of them would rely on a label
    that is not there.
    When two operators label worker w1 at the same moment until one loses
    Then each race had one winner, and the loser was told to look and repeat
    And both entries show what the last winner wrote
