Feature: Operators' labels and selectors decide which workers serve

  Scenario: Labels, selectors and drains over what a worker announces
    Given a configuration in which gold workers serve routes
    Then a configured worker serves as follows
      | announced tier | operators' tier | drained | serves | drained there |
      | gold           |                 | no      | yes    | no            |
      | silver         |                 | no      | no     | no            |
      | silver         | gold            | no      | yes    | no            |
      | gold           | silver          | no      | no     | no            |
      | gold           |                 | yes     | yes    | yes           |

  Scenario: Labels and selectors survive the way through the service
    Operators' words come from two fleets. A label that changed on its way
    would let work land where nobody wanted it.
    When Hypothesis writes labels and selectors to the service and back
    Then each came back as it was given, and selects the same workers
