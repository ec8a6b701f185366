Feature: Key-value service: outages, call budget and back-off

  Scenario: The service is down for a minute and recovers
    One process of each of 280 cells has pending reads, a write and a watch. If all
    of them were sent when the service recovers, they would overload it again and
    the outage would not end.
    Given a platform service in virtual time
    And 280 platform clients with reads, a write and a watch
    When the service is down for 60 seconds
    Then no second of the outage saw more than 250 calls
    When the service is back and 10 seconds pass
    Then no second since saw more than 1400 calls
    And all platform clients have their answers and watches

  Scenario: The bound on calls detects clients without back-off
    The same outage with clients that retry every 50 ms exceeds the bound, so that
    the scenario above can fail.
    Given a platform service in virtual time
    And 280 platform clients with reads, a write and a watch
    But the clients do not back off
    When the service is down for 13 seconds
    Then some second of the outage saw more than 250 calls

  Scenario: One process has many pending calls when the service recovers
    Its call budget fills up during the outage. If every process of the fleet spent
    its budget at once, the service that has just recovered would be overloaded.
    Given a platform service in virtual time
    And one platform client with 40 pending reads while the service is down
    When the service is back and 10 seconds pass
    Then no second since saw more than 12 calls

  Scenario: One process exceeds its call budget
    A fault in one process makes it read without end. Without a budget the calls of
    all other processes would starve.
    Given a platform service in virtual time
    When one platform client reads without pause for 60 seconds
    Then the service has seen at most 340 calls

  Scenario: Budget and back-off keep their bounds for any sequence of calls
    A process makes at most burst + rate * time calls, and its waits stay within
    their bounds. The capacity calculation for the fleet depends on it.
    Then no sequence of calls spends more than the call budget has gained
    And no sequence of failures leads to a wait outside its bounds

  Scenario: Failures over HTTP are classified
    A connection that is refused or closed, a frozen service and an error response
    must be told apart: only a call that was certainly not executed is refused.
    Given a platform service over HTTP
    When the reply of a swap over HTTP is lost
    Then the swap is reported as applied
    And the write is in the history exactly once
    When a watch over HTTP is cut between two changes
    Then both changes have been received
    And a call to a port without a listener is known not to be sent
    And a call to a frozen service is not known not to be sent
    And a call with a wrong token is refused with a remedy
    And the calls by the client are counted exactly
    And a value of a megabyte is read back and watched, and no larger one is sent
    And with two endpoints the second is used while the first has no listener
