Feature: A start on the owner's host and the witness that it needs

  Scenario: The witness dies while the key-value service is away
    An owner starts nothing on its own host without a witness on another. The witness
    dies and can't be removed from the roster, because the service is down. Requests
    placed on the owner's host would wait for the witness until their deadline.
    Given a settled cell whose owner has a witness
    When the service goes away and the witness dies
    And 24 requests of 50 ms are submitted at once and 24 more a second later
    Then all of them are answered within a second and started once
    When some seconds pass and 24 more requests are submitted
    Then some of them run on the owner's host again

  Scenario: The confirmation of a witness is lost
    The task has not started without the confirmation, and must not wait for its
    deadline.
    Given a settled cell whose owner has a witness
    When every confirmation of a witness is lost for half a second
    And 24 requests of 50 ms are submitted at once and 24 more a second later
    Then all of them are answered within a second and started once
