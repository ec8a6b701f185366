Feature: Real processes serve one service from two cells

  Scenario: Two cells share a service under load, and one loses its owner
    A second cell has been put beside the first. While callers book, one cell cedes
    slots to the other, and then an owner dies. Callers whose connections break send
    their keys through the other entry. A caller would notice a pen booked twice, or
    an answer that never comes.
    Given two cells of three workers each under load from two entries
    When the fault kills the owner's agent
    And the load gets 40 more answers
    And the killed processes are started again
    And the load gets 150 more answers
    Then each entry serves a new request after the faults
    And status shows that both cells hold a share of the service
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records
    And workers of both cells have run tasks of the load
