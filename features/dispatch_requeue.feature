Feature: A changed configuration takes effect on jobs that wait

  Background:
    Given one entry and one worker that is full for half a second
    And two jobs that wait, "first" of a queue of priority 1 and "second" of priority 2

  Scenario: A raised priority takes effect on jobs that wait
    An operator raises a queue's priority while its jobs wait. If only later jobs got it,
    those that wait would be refused behind others.
    When the configuration gives the queue of "second" the priority 0
    And the worker has room for one of them
    Then "second" has started and "first" has not

  Scenario: Without a change the more urgent job starts
    When the worker has room for one of them
    Then "first" has started and "second" has not

  Scenario: A tightened target is applied to jobs that wait
    A job that can't be on time under the new target would wait for nothing.
    When the configuration sets the target of the queue of "second" to its run time
    Then "second" is refused as not run within 0.1 seconds

  Scenario: A job whose queue is dropped keeps its place
    It was accepted under the configuration of its time.
    When the configuration drops the queue of "first"
    And the worker has room for one of them
    Then "first" has started and "second" has not

  Scenario: An older configuration that is read again changes nothing
    An entry that reads an older version again must not go back to it.
    When the configuration gives the queue of "second" the priority 0
    And an entry reads the version before it again
    And the worker has room for one of them
    Then "second" has started and "first" has not
