Feature: The operators' interface tells the truth over HTTP

  Background:
    Given an operators' interface over a fake service

  Scenario: Two operators replace one object on the same revision
    Both read revision 1 and send their change. The second one would undo the
    first one's without anybody noticing.
    Given a team object at revision 1 over the operators' interface
    When ana and ion each replace the team object on revision 1
    Then the operators' interface answers 200 and 412
    And the second operator is told of ana, revision 2 and how to redo

  Scenario: A change that names no revision is refused
    A script sends a whole object without having read it, and would undo
    whatever came before.
    Given a team object at revision 1 over the operators' interface
    When the team object is replaced without a precondition
    Then the operators' interface answers 428
    And the fake service holds 1 operators' writes

  Scenario: Labels change by a merge patch and tell their revision
    Given a team object at revision 1 over the operators' interface
    When the labels of the team object are patched on revision 1
    Then the operators' interface answers 200
    And the team object has the patched labels and the entity tag of revision 2

  Scenario: A replaced object is not created anew, nor a deleted one changed
    An operator works on an old reading: meanwhile the object was deleted, or
    made by somebody else.
    Given a team object at revision 1 over the operators' interface
    When the team object is created anew, deleted and then replaced on revision 1
    Then the operators' interface answers 412, 200 and 412

  Scenario: Requests without a valid token
    Somebody on the network guesses at the operators' port.
    When each path of the operators' interface is asked without a valid token
    Then every operators' request without a token was answered 401 with a problem

  Scenario: Nothing that is sent makes the interface fail or write nonsense
    A script sends broken JSON, wrong types, unknown fields or huge values.
    When Hypothesis sends fuzzed objects to the operators' interface
    Then every fuzzed object was refused with its mistakes or stored as it is read

  Scenario: A value in the service that is no object
    Somebody wrote into the service by hand. One such key must not keep all
    other changes from the nodes.
    When a key that is no object is written into the fake service
    Then that key is answered with 500 and named by the operators' interface
    And the other objects of the operators are still read from the service

  Scenario: A change's history is bounded and its writes stay known
    When an operator changes a team object 30 times over the operators' interface
    Then its history holds the last 20 changes with their revisions
    And a repeated write of these is recognised and not made again
