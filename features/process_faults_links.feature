Feature: Links between real processes fail under load

  Scenario Outline: Messages to <who> are <fault> for some seconds
    A link fails in one direction: a switch fault, a firewall that drops connections
    or a full queue. What the process itself sends still arrives, so the others can't
    detect the fault by its silence. Guards against duplicate starts, waits until the
    deadline and refusals as not run of requests that did run.
    Given a cell of five workers under load from two entries, behind network proxies
    When messages to <who> are <fault> for longer than an owner's standing
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

    Examples:
      | who               | fault   |
      | the owner's agent | lost    |
      | the owner's agent | stalled |
      | another agent     | lost    |
      | another agent     | stalled |
      | an entry          | stalled |
      | every agent       | late    |
