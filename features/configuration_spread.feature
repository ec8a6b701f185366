Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators race while the service and the network misbehave
    Two operators change the same objects at once. The key-value service goes
    away, loses replies and shows old lists; messages are lost, repeated and
    reordered; any process is replaced. An operator who was told "accepted"
    would notice a worker that still takes work after its drain, or takes it
    again hours later.
    When Hypothesis runs configuration races on sound replicas
    Then each accepted change is in force on every node and no node went back
    And no refused change was written

  Scenario: A replica that takes lower revisions is caught
    A node keeps whatever it was sent last. A late message from a node with an
    older copy then drains a worker that was put back to work an hour ago.
    When Hypothesis runs configuration races on replicas that take lower revisions
    Then the configuration races fail

  Scenario: A replica that passes over gaps is caught
    A node that was replaced gets an update that builds on changes it never
    had, and reports the update's revision. The changes before it never arrive
    there, and `cactuswalk wait` says that they are in force.
    When Hypothesis runs configuration races on replicas that pass over gaps
    Then the configuration races fail

  Scenario: The service goes away just after a write
    The write is accepted, and the service is gone before its watch has told
    anybody. The operator was told "accepted" and expects the drain to work.
    Given a configuration cluster with one accepted change
    When the service goes away just after another change is accepted
    Then both changes are in force on every node though the service is away

  Scenario: A node starts while the service is away
    Hosts keep nothing. A replaced entry and a replaced agent find no service,
    so that they would serve without configuration: a drained worker gets work.
    Given a configuration cluster with one accepted change
    When the service goes away and an entry and an agent are replaced
    Then the replaced nodes hold the change

  Scenario: The service comes back without its data
    The service lost its data and counts from the start again. Its lists are
    empty, and a new write there would be accepted under a revision that no
    node takes: the operator would wait for ever for a change to show.
    Given a configuration cluster with one accepted change
    When the service comes back empty
    Then every node still holds the change
    And a further change is refused with "service_went_back" and not written

  Scenario: A lost request is repeated with its write id
    The write went out and no reply came. The operator is told that the outcome
    is unknown and repeats the change; a change made twice would show twice in
    the history, or undo what another operator did between the two.
    Given a configuration cluster with one accepted change
    When the service takes a change, loses its reply and goes away
    Then the configuration change's outcome is unknown
    And repeated with the same write id it is accepted once, at its first revision

  Scenario: Two operators change one object at once
    Both have read the same revision. The one who comes second would undo the
    first one's change without knowing of it.
    Given a configuration cluster with one accepted change
    When two operators change it on the same revision
    Then one is accepted and the other is told who won and at which revision

  Scenario: Two nodes that each lack a change of the other's
    The service went away while both entries had a change that nobody else
    knew of. Each is told of more than it holds while its question is on the
    way; answering each such word with one's own fills the network, and the
    tasks' messages wait behind it.
    Given a configuration cluster with one accepted change
    When an entry and an owner each hold a change that the other lacks
    Then they exchange fewer than 20 messages before an answer comes

  Scenario: An entry counts on how many nodes a revision is in force
    Given a configuration cluster with one accepted change
    When one agent of a cell has not heard of a second change
    Then the cells add up to one node fewer than all for the second change
