Feature: Operators' labels and selectors decide which workers serve

  Scenario: Labels, selectors and drains applied to what a worker announces
    Given a configuration in which gold workers serve routes
    Then a configured worker serves as follows
      | announced tier | operators' tier | drained | serves | drained there |
      | gold           |                 | no      | yes    | no            |
      | silver         |                 | no      | no     | no            |
      | silver         | gold            | no      | yes    | no            |
      | gold           | silver          | no      | no     | no            |
      | gold           |                 | yes     | yes    | yes           |

  Scenario: Labels and selectors are unchanged by storing and replicating them
    The labels come from the operators of two fleets. One that changed on the way to
    an agent would let tasks run on workers that were not selected.
    When Hypothesis writes labels and selectors to the service and back
    Then each is read back unchanged and selects the same workers
