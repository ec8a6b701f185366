Feature: Real processes serve one service from two cells

  Scenario: Two cells share a service under load, and one loses its owner
    Two cells share the slots of a service, and one owner is killed under load.
    Callers whose connection breaks send the request again with the same key through
    the other entry. Guards against duplicate starts and lost responses.
    Given two cells of three workers each under load from two entries
    When the fault kills the owner's agent
    And the load gets 40 more answers
    And the killed processes are started again
    And the load gets 150 more answers
    Then each entry serves a new request after the faults
    And status shows that both cells hold a share of the service
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice
    And workers of both cells have run tasks of the load
