Feature: Planned stops of real processes under load

  A caller that plays the balancer asks each entry every half second whether it
  is ready, and sends to ready ones. Nobody sends anything again: a connection
  that breaks, or a refusal, counts against the stop.

  Scenario Outline: <who> is replaced as planned
    Operators replace hosts all day. If a stop cut off what was in flight, a
    caller would see a broken connection or be refused for no fault of its own.
    Further signals come from an impatient supervisor and must cut nothing off.
    Given a cell of five workers under a balancer's load from two entries
    When <who> is asked to stop as planned, and again until it has ended
    And the stopped processes are started again
    And the balancer's load gets 30 more answers
    Then each planned stop ended with status 0
    And the balancer's load was answered whole, nothing cut off or refused

    Examples:
      | who               |
      | an entry          |
      | another agent     |
      | the owner's agent |
      | an upstream       |
      | the owner's host  |

  Scenario: A job fails at one upstream while others run its tasks
    An upstream fails everything it is given. What the other upstreams still run of
    a job that has failed is of no use, and would keep later callers from their
    slots for as long as it takes.
    Given a cell of three workers and an upstream that fails everything
    When a job of ten tasks of 60 s is sent to it
    Then its caller is told at once that it failed
    And what the other upstreams ran of it was stopped, by their own records
