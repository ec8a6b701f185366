Feature: Real processes are frozen under load

  Scenario Outline: <who> is frozen for longer than an owner stands
    A virtual machine is moved or its disk hangs: the process stops without
    knowing it, and wakes with messages that were true when it fell asleep. A
    caller would notice a booking that was made twice, by the old owner and by
    the new one.
    Given a cell of five workers under load from two entries
    When the fault freezes <who> for longer than a standing, and lets it go on
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

    Examples:
      | who                  |
      | the owner's agent    |
      | another agent        |
      | an upstream          |
      | another agent's host |
      | an entry             |
