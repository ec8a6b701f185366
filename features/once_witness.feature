Feature: A start beside the owner, and the witness it needs

  Scenario: The witness dies while the key-value service is away
    An owner starts nothing beside itself without a witness elsewhere. The witness
    dies, and since the service is away it can't be taken off the roster. Requests
    that are placed beside the owner would wait for it until their deadline.
    Given a settled cell whose owner has a witness
    When the service goes away and the witness dies
    And 24 requests of 50 ms are submitted at once and 24 more a second later
    Then all of them are answered within a second and started once
    When some seconds pass and 24 more requests are submitted
    Then some of them run beside the owner again

  Scenario: What a witness confirms is lost on the way
    The confirmation of a witness is lost. The task has not started, and must not
    wait for its deadline.
    Given a settled cell whose owner has a witness
    When every confirmation of a witness is lost for half a second
    And 24 requests of 50 ms are submitted at once and 24 more a second later
    Then all of them are answered within a second and started once
