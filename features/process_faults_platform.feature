Feature: The key-value service fails while real processes are killed

  Scenario Outline: An owner is killed while the service is <fault>
    The service is in trouble just when an owner dies. While it is down nobody
    can take the cell over, and callers are told so; once it answers again, the
    cell goes on. A caller would notice a second start if a takeover were made
    up without the service, or a silence that does not end.
    Given a cell of five workers under load from two entries
    When the key-value service is <fault> for the faults to come
    And the fault kills the owner's agent
    And the killed processes are started again
    And the fault lasts 3 seconds more
    And the key-value service is right again
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

    Examples:
      | fault          |
      | down           |
      | slow           |
      | losing replies |

  Scenario: Work goes on while the service is down and another agent is killed
    The service is away and a worker dies. The owner stands by the word of the
    others, so that callers notice nothing but fewer workers.
    Given a cell of five workers under load from two entries
    When the key-value service is down for the faults to come
    And the fault kills another agent
    And the load gets 40 more answers
    And the killed processes are started again
    And the key-value service is right again
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

  Scenario: The service comes back without its data and an agent is replaced
    Somebody restarts the service from nothing. The owner lives, but the record that
    says so is gone. An agent that starts now must not own a second cell beside it,
    or a caller's copies of one booking would be made by both.
    Given a cell of five workers under load from two entries
    When the fault kills the key-value service
    And the killed processes are started again
    And the fault kills another agent
    And the killed processes are started again
    And the fault lasts 5 seconds more
    And the load gets 40 more answers
    Then no agent but the owner has served the cell since
    And each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records
