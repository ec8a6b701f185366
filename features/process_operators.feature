Feature: Operators' commands against real processes

  Background:
    Given a cell of three workers and two entries for operators

  Scenario: Labels, selectors and drains decide where requests run
    Operators place work by labels alone. A change accepted by one entry but not
    applied by all others would send work to the wrong host.
    When an operator runs "label worker w1 tier=gold --wait 30" through entry 1
    And an operator runs "drain w2 --wait 30" through entry 1
    Then entry 2 shows worker w1 with the label tier=gold
    And entry 2 shows worker w2 as drained
    And of 30 requests through entry 2 none runs on w2
    And of 10 requests for "tier=gold" through entry 2 all run on w1
    And a request for "tier=silver" through entry 2 is refused as not run
    When an operator runs "undrain w2 --wait 30" through entry 1
    Then requests through entry 2 eventually run on w2

  Scenario: Objects are applied from a file
    When an operator applies worker w3 with the label tier=silver through entry 1
    Then entry 2 shows worker w3 with the label tier=silver
    And of 5 requests for "tier=silver" through entry 2 all run on w3

  Scenario: A change is accepted and the key-value service goes down
    The service fails just after it has accepted an operator's change, and stays down.
    The change must come into force nevertheless; a process that restarts in the
    meantime must not bring the old configuration back.
    When an operator drains a worker other than the owner's through entry 1
    And the operators' key-value service goes down at once
    Then the accepted change of the drained worker is put in force by every agent
    And the accepted change comes into force on every node
    When entry 2 and the drained worker's agent are killed and restarted
    Then entry 2 eventually shows the drained worker as drained
    And of 10 requests through entry 1 none runs on the drained worker
    When the operators' key-value service comes back
    Then the accepted change comes into force on every node
    And of 30 requests through entry 2 none runs on the drained worker

  Scenario: A change is accepted, then the service and the owner go down
    The owner's worker is drained; after accepting the change the service fails, then
    the owner's agent is killed. No agent may take the cell over until the service is
    back. Until then callers must be told at once that their request did not run. The
    drain must still be in force afterwards.
    When an operator drains the owner's worker through entry 1
    And the operators' key-value service goes down at once
    Then the accepted change comes into force on every node
    When entry 2 and the drained worker's agent are killed and restarted
    Then requests through entry 1 are eventually refused as not run, and none has run
    When the operators' key-value service comes back
    Then requests through entry 1 are eventually answered
    And entry 2 eventually shows the drained worker as drained
    And of 30 requests through entry 2 none runs on the drained worker

  Scenario: Two operators change one object at the same moment
    Two operators change the same label through different entries. If both were told
    that they succeeded, one would rely on a label that was overwritten.
    When two operators label worker w1 at the same moment until one loses
    Then each race had one winner, and the loser was told the conflict and its remedy
    And both entries show the label of the last winner
