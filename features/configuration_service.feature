Feature: Operators' changes with the real client of the key-value service

  Background:
    Given two configuration entries on a service in virtual time

  Scenario: A change at one entry is in force at the other through its watch
    When ana changes worker w1 at the first configuration entry
    Then both configuration entries hold ana's change at its revision

  Scenario: The reply to a write is lost and another operator changes the object next
    The write took effect but its reply was lost, and ion changes the same worker
    before ana's entry reads it back. ion's value has ana's write in its history. If
    the entry took it for ana's, it would put her value in force at his revision and
    differ from all other nodes permanently.
    When the service loses the reply to ana's change and ion changes w1 meanwhile
    Then ana's change is accepted at a lower revision than ion's
    And both configuration entries hold ion's change at its revision

  Scenario: Both operators' replies are lost
    Two entries write at the same time and neither gets a reply. One operator must be
    told that the change was accepted, and the other that it was not.
    When ana and ion change w1 at once and the service loses 2 replies
    Then one change was accepted and the other operator told of the conflict
    And both configuration entries hold the winner's change at its revision

  Scenario: The service is down when an operator asks for a change
    The service is down for a minute. The operator is told that nothing was written.
    This must remain true after the service has recovered.
    When ana changes worker w1 while the service is down for a minute
    Then ana is told "not_written" and the change never appears

  Scenario: Changes made while an entry's watch was interrupted arrive afterwards
    A network switch drops an entry's connections for a while. Changes that others
    make in the meantime must reach the entry once it has reconnected.
    When the service is down for a minute and ana changes w1 just after
    Then both configuration entries hold ana's change at its revision
