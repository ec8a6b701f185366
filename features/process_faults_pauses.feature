Feature: Real processes are frozen under load

  Scenario Outline: <who> is frozen for longer than an owner's standing
    A live migration or a hanging disk pauses a process, which resumes with outdated
    messages to send. Guards against a duplicate start, by the old owner and by the
    new one.
    Given a cell of five workers under load from two entries
    When the fault freezes <who> for longer than an owner's standing
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

    Examples:
      | who                  |
      | the owner's agent    |
      | another agent        |
      | an upstream          |
      | another agent's host |
      | an entry             |
