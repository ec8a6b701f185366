Feature: Operators' changes through the real client of the key-value service

  Background:
    Given two configuration entries on a service in virtual time

  Scenario: A change at one entry is in force at the other through its watch
    When ana changes worker w1 at the first configuration entry
    Then both configuration entries hold ana's change at its revision

  Scenario: The reply to a write is lost and another operator changes the object next
    The write took effect, its reply did not arrive, and before the entry asks
    again ion has changed the same worker. ion's value contains ana's write in
    its history; taken for ana's own, her entry would put her value in force
    under his revision, and stay apart from all other nodes for ever.
    When the service loses the reply to ana's change and ion changes w1 meanwhile
    Then ana's change is accepted at a lower revision than ion's
    And both configuration entries hold ion's change at its revision

  Scenario: Both operators' replies are lost
    Two entries write at one moment and neither hears back. Each operator must
    be told the truth: one was accepted, the other was not.
    When ana and ion change w1 at once and the service loses 2 replies
    Then one of the two was accepted and the other told who won
    And both configuration entries hold the winner's change at its revision

  Scenario: The service is down when an operator asks for a change
    The service is away for a minute. The operator is told that nothing was
    written, and it must stay so after the service has come back.
    When ana changes worker w1 while the service is down for a minute
    Then ana is told "not_written" and no such change is ever seen

  Scenario: Changes made while an entry's watch was cut arrive afterwards
    A switch drops an entry's connections for a while. Changes that others made
    meanwhile must not be missed once it is back.
    When the service is down for a minute and ana changes w1 just after
    Then both configuration entries hold ana's change at its revision
