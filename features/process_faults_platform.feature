Feature: The key-value service fails while real processes are killed

  Scenario Outline: An owner is killed while the service is <fault>
    No agent can take the cell over while the service is down, and callers are told
    so; the cell continues once the service answers again. Guards against a takeover
    without the service, which would allow duplicate starts, and against requests that
    are never answered.
    Given a cell of five workers under load from two entries
    When the key-value service is <fault> during the following faults
    And the fault kills the owner's agent
    And the killed processes are started again
    And the fault lasts 3 seconds more
    And the key-value service recovers
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

    Examples:
      | fault          |
      | down           |
      | slow           |
      | losing replies |

  Scenario: Requests are served while the service is down and another agent is killed
    The owner keeps its standing by the pongs of the other agents, without the
    service. Callers see no effect but fewer workers.
    Given a cell of five workers under load from two entries
    When the key-value service is down during the following faults
    And the fault kills another agent
    And the load gets 40 more answers
    And the killed processes are started again
    And the key-value service recovers
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

  Scenario: The service restarts without its data and an agent is replaced
    The owner still runs, but its record in the service is lost. An agent that starts
    now must not become a second owner, as two copies of a request could then each be
    started by another owner.
    Given a cell of five workers under load from two entries
    When the fault kills the key-value service
    And the killed processes are started again
    And the fault kills another agent
    And the killed processes are started again
    And the fault lasts 5 seconds more
    And the load gets 40 more answers
    Then no agent has begun to serve the cell since the first fault
    And each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice
