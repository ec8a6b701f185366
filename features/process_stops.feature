Feature: Planned stops of real processes under load

  A simulated balancer checks each entry's readiness every half second and sends
  requests to ready entries. Nothing is retried: a broken connection or a refusal
  counts as a failure of the planned stop.

  Scenario Outline: <who> is replaced as planned
    Operators replace hosts all day. If a stop cut off requests in flight, callers
    would see broken connections or refusals. A supervisor may send further signals;
    these must not cut off requests either.
    Given a cell of five workers under a balancer's load from two entries
    When <who> is asked to stop as planned, and again until it has ended
    And the stopped processes are started again
    And the balancer's load gets 30 more answers
    Then each planned stop ended with status 0
    And the balancer's load was answered completely, nothing cut off or refused

    Examples:
      | who               |
      | an entry          |
      | another agent     |
      | the owner's agent |
      | an upstream       |
      | the owner's host  |

  Scenario: A job fails at one upstream while others run its tasks
    One upstream fails all its tasks. The tasks of a failed job that other upstreams
    still run are useless, and would occupy slots needed by later callers.
    Given a cell of three workers and an upstream that fails everything
    When a job of ten tasks of 60 s is sent to it
    Then its caller is told at once that it failed
    And what the other upstreams ran of it was stopped, by their own records
