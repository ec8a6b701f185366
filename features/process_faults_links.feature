Feature: Links between real processes fail under load

  Scenario Outline: All that is sent to <who> is <conduct> for some seconds
    A switch fails in one direction, a firewall drops its connections, or a queue
    on the way fills up. What the process itself sends still arrives, so that
    nobody can tell from its silence. A caller would notice a booking that was
    made twice, a wait until the deadline, or a refusal that was not true.
    Given a cell of five workers under load from two entries, behind a network
    When all that is sent to <who> is <conduct> for longer than a standing
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

    Examples:
      | who               | conduct   |
      | the owner's agent | lost      |
      | the owner's agent | held back |
      | another agent     | lost      |
      | another agent     | held back |
      | an entry          | held back |
      | every agent       | late      |
