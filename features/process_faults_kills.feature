Feature: Real processes are killed under load

  Each scenario runs a cell of its own, as real processes, while callers send
  requests, most of which may not run twice, and jobs. Some of them are sent
  through both entries at once with one key, and whoever loses a connection
  sends again through another entry. The upstreams' records are the judge.

  Scenario Outline: <who> is killed and comes back
    A host loses power or a process is killed by the kernel, and it is started
    again with nothing of what it knew. A caller would notice a seat that was
    taken twice, an answer that never comes, or a refusal that was not true.
    Given a cell of five workers under load from two entries
    When the fault kills <who>
    And the load gets 25 more answers
    And the killed processes are started again
    And the load gets 25 more answers
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

    Examples:
      | who                   |
      | the owner's agent     |
      | the owner's host      |
      | another agent         |
      | another agent's host  |
      | an upstream           |
      | an entry              |

  Scenario: The whole cell is killed at once and comes back
    A room loses power. All records are gone, so what was in flight can't be
    known; a caller who was told that it did not run would book it again.
    Given a cell of five workers under load from two entries
    When the fault kills all hosts of the cell
    And the killed processes are started again
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records

  Scenario: A rack is lost with the owner and more than half of its cell
    Three of five hosts lose their power. The two that are left can't know whether the
    others run on behind a cut. Callers are told that there is no owner, and served as
    soon as the hosts are back under their names and addresses.
    Given a cell of five workers under load from two entries
    When the fault kills three of five hosts, the owner's too
    And the fault lasts 8 seconds more
    Then a new request is told that there is no owner
    When the killed processes are started again
    Then each entry serves a new request after the faults
    And every caller of the load got one true and whole answer
    And no task of the load started twice by the upstreams' records
