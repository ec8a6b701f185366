Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race while the service and the network fail
    Two operators change the same objects at once. The key-value service becomes
    unavailable, loses replies and returns old lists; messages are lost, repeated and
    reordered; any process is replaced. An accepted drain must not be missed by a
    worker or undone later.
    When Hypothesis runs configuration races on correct replicas
    Then each accepted change is in force on every node and no node reverted
    And no refused change was written

  Scenario: A replica that takes lower revisions is caught
    A faulty replica keeps the last message. A late message from a node with an older
    copy then drains a worker again whose drain ended an hour ago.
    When Hypothesis runs configuration races on replicas that take lower revisions
    Then the configuration races fail

  Scenario: A replica that skips gaps is caught
    A replaced node gets an update that builds on changes it never had, and reports
    the update's revision. The earlier changes never arrive there, although
    `cactuswalk wait` says that they are in force.
    When Hypothesis runs configuration races on replicas that skip gaps
    Then the configuration races fail

  Scenario: The service becomes unavailable just after a write
    A drain is accepted, and the service fails before its watch has notified any node.
    The drain must still take effect.
    Given a configuration cluster with one accepted change
    When the service becomes unavailable just after another change is accepted
    Then both changes are in force on every node without the service

  Scenario: A node starts while the service is unavailable
    Hosts store no configuration. If a replaced entry and a replaced agent ran without
    it during an outage of the service, a drained worker would get work.
    Given a configuration cluster with one accepted change
    When the service becomes unavailable and an entry and an agent are replaced
    Then the replaced nodes hold the change

  Scenario: The service comes back without its data
    The service lost its data and restarts its revisions. Its lists are empty, and a
    new write would be accepted under a revision that no node applies: the operator
    would wait for ever for the change to be in force.
    Given a configuration cluster with one accepted change
    When the service comes back empty
    Then every node still holds the change
    And a further change is refused with "service_went_back" and not written

  Scenario: A lost request is repeated with its write id
    A write was sent and no reply came. The operator is told that the outcome is
    unknown and repeats the change. If it were made twice, it would appear twice in the
    history, or revert what another operator changed in between.
    Given a configuration cluster with one accepted change
    When the service applies a change, loses its reply and becomes unavailable
    Then the configuration change's outcome is unknown
    And repeated with the same write id it is accepted once, at its first revision

  Scenario: Two operators change one object at once
    Both have read the same revision. Without the check the second write would revert
    the first one unnoticed.
    Given a configuration cluster with one accepted change
    When two operators change it on the same revision
    Then one is accepted and the other is told who won and at which revision

  Scenario: Two nodes that each lack a change of the other's
    The service failed while two nodes each had a change that no other node knew. Each
    receives offers for more than it holds while its own request is pending. If it
    answered each with an offer of its own, the messages would delay those of tasks.
    Given a configuration cluster with one accepted change
    When an entry and an owner each hold a change that the other lacks
    Then they exchange fewer than 20 messages before an answer comes

  Scenario: An entry counts on how many nodes a revision is in force
    Given a configuration cluster with one accepted change
    When one agent of a cell has not received a second change
    Then the second change is in force on one node fewer than all
