Feature: The platform's service: outages, budget and back-off

  Scenario: The service is down for minutes and comes back
    One process of each of 280 cells has reads, a write and a watch waiting. If
    they all came in the moment of its return the service would go away again, so
    that operators would see an outage that does not end.
    Given a platform service in virtual time
    And 280 platform clients with reads, a write and a watch
    When the service is down for 60 seconds
    Then no second of the outage saw more than 250 calls
    When the service is back and 10 seconds pass
    Then no second since saw more than 1400 calls
    And all platform clients have their answers and watches

  Scenario: Clients without back-off would be seen
    The same outage with clients that wait a twentieth of a second between tries.
    The count of calls shows it, so the bound above means something.
    Given a platform service in virtual time
    And 280 platform clients with reads, a write and a watch
    But the clients don't back off
    When the service is down for 13 seconds
    Then some second of the outage saw more than 250 calls

  Scenario: One process has many calls waiting when the service returns
    Its budget has filled up during the outage. Spent at once, by every process
    of the fleet, it would meet a service that has only just come back.
    Given a platform service in virtual time
    And one platform client with 40 reads waiting while the service is down
    When the service is back and 10 seconds pass
    Then no second since saw more than 12 calls

  Scenario: One process asks for far too much
    A fault in one process makes it read without end. The other processes' calls
    would starve, and every cell would seem to be cut off from the service.
    Given a platform service in virtual time
    When one platform client reads without pause for 60 seconds
    Then the service has seen at most 340 calls

  Scenario: Budget and back-off hold for any use of them
    Whatever a process does, its calls stay below burst plus rate times time, and
    its waits within their bounds; otherwise the sums for the fleet are wrong.
    Then no use of the call budget spends more than it gained
    And no run of failures waits longer or shorter than its bounds

  Scenario: The same over HTTP
    The connection is refused, closed, frozen or answered with an error by a real
    service. Every one of these must count as a failure, none as a refusal.
    Given a platform service over HTTP
    When the reply of a swap over HTTP is lost
    Then the swap is told as applied
    And the write is in the history exactly once
    When a watch over HTTP is cut between two changes
    Then both changes have come
    And a call to a port where nobody listens is known not to be sent
    And a call to a frozen service is not known not to be sent
    And a call with a wrong token is refused with a remedy
    And the calls by the client are counted exactly
    And a value of a megabyte comes back and through a watch, and no larger one
    And with two endpoints the second serves while nobody listens at the first
