Feature: The operators' interface reports true outcomes over HTTP

  Background:
    Given an operators' interface over a fake service

  Scenario: Two operators replace one object based on the same revision
    Guards against lost updates: both read revision 1, and the second change would
    silently undo the first.
    Given a team object at revision 1 over the operators' interface
    When ana and ion each replace the team object on revision 1
    Then the operators' interface answers 200 and 412
    And the second operator gets a conflict with ana, revision 2 and a remedy

  Scenario: A change without a revision is refused
    A script that sends an object without having read it would undo earlier changes.
    Given a team object at revision 1 over the operators' interface
    When the team object is replaced without a precondition
    Then the operators' interface answers 428
    And the fake service holds 1 operators' writes

  Scenario: A merge patch changes labels and returns the revision
    Given a team object at revision 1 over the operators' interface
    When the labels of the team object are patched on revision 1
    Then the operators' interface answers 200
    And the team object has the patched labels and the entity tag of revision 2

  Scenario: An existing object is not created again, nor a deleted one changed
    An operator's data is stale: meanwhile the object was deleted or created by
    another operator.
    Given a team object at revision 1 over the operators' interface
    When the team object is created again, deleted and then replaced on revision 1
    Then the operators' interface answers 412, 200 and 412

  Scenario: Requests without a valid token
    Guards against unauthorised access from the network.
    When each path of the operators' interface is requested without a valid token
    Then every operators' request without a token was answered 401 with a problem

  Scenario: Arbitrary input never causes a failure or an invalid write
    A script sends broken JSON, wrong types, unknown fields or huge values.
    When Hypothesis sends fuzzed objects to the operators' interface
    Then every fuzzed object was refused with its mistakes or stored as it is read

  Scenario: A value in the service that is not an object
    A value was written to the service by hand. It must not prevent all other changes
    from reaching the nodes.
    When a key that is not an object is written into the fake service
    Then the operators' interface returns 500 and the key for it
    And the other objects of the operators are still read from the service

  Scenario: The history of an object is bounded, and its writes are recognised
    When an operator changes a team object 30 times over the operators' interface
    Then its history holds the last 20 changes with their revisions
    And a repeated write of these is recognised and not applied again
