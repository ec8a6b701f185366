Feature: Real processes are killed under load

  Each scenario runs one cell as real processes while callers send requests, most of
  which must not run twice, and jobs. Some are sent through both entries at once with
  the same key; a caller whose connection breaks retries through another entry.
  Duplicate starts are detected by the upstreams' records.

  Scenario Outline: <who> is killed and restarted
    A host loses power, or the kernel kills a process, which restarts without its
    state. Guards against duplicate starts, lost responses and refusals as not run of
    requests that did run.
    Given a cell of five workers under load from two entries
    When the fault kills <who>
    And the load gets 25 more answers
    And the killed processes are started again
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

    Examples:
      | who                   |
      | the owner's agent     |
      | the owner's host      |
      | another agent         |
      | another agent's host  |
      | an upstream           |
      | an entry              |

  Scenario: The whole cell is killed at once and restarted
    All hosts lose power, and with them the records of requests in flight, whose
    outcome is then unknown. A caller told that such a request did not run would send
    it again, and it could run twice.
    Given a cell of five workers under load from two entries
    When the fault kills all hosts of the cell
    And the killed processes are started again
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice

  Scenario: A rack is lost with the owner and more than half of its cell
    Three of five hosts lose power. The remaining two can't tell this from a network
    partition, so callers are told that there is no owner. Service resumes once the
    hosts are back under the same names and addresses.
    Given a cell of five workers under load from two entries
    When the fault kills three of five hosts, the owner's too
    And the fault lasts 8 seconds more
    Then a new request is told that there is no owner
    When the killed processes are started again
    Then each entry serves a new request after the faults
    And every caller of the load got one correct and complete answer
    And by the upstreams' records no task of the load started twice
