Feature: A rolling replacement of real processes under load

  A simulated balancer checks each entry's readiness every half second and sends
  requests to ready entries. Nothing is retried.

  Scenario: Every process is replaced one after another
    An upgrade replaces every process host by host under load, the owner's agent too.
    Given a cell of three workers under a balancer's load from two entries
    When every process is replaced one after another as planned
    And the balancer's load gets 30 more answers
    Then each planned stop ended with status 0
    And the balancer's load was answered completely, nothing cut off or refused
