Feature: A rolling replacement of real processes under load

  A caller that plays the balancer asks each entry every half second whether it
  is ready, and sends to ready ones. Nobody sends anything again.

  Scenario: Every process is replaced one after another
    An upgrade goes through the fleet host by host while callers work. Each
    process, the owner of the cell among them, gives way to a new one.
    Given a cell of three workers under a balancer's load from two entries
    When every process is replaced one after another as planned
    And the balancer's load gets 30 more answers
    Then each planned stop ended with status 0
    And the balancer's load was answered whole, nothing cut off or refused
