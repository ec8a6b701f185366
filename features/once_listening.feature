Feature: An entry that knows many cells requests reports from each at long intervals

  Scenario: A rarely asked cell whose owner is lost gets no submission
    The owner's host fails during an outage of the key-value service, so no process
    takes the cell over. The entry asks the cell every five seconds and has not noticed
    yet. If it sent the seat check, the outcome of a check that never ran would be
    unknown.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    And the key-value service is away and the owner dies
    When a new request with 2 seconds left comes to that entry
    Then its caller is told no_owner, not run

  Scenario: A rarely asked cell is available at once when it is needed
    A request comes for a cell whose last stamp is too old to be accepted. Waiting for
    the next report would cost its caller seconds.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When a new request with 2 seconds left comes to that entry
    Then it was answered within a round trip more than its task takes

  Scenario: A takeover is noticed as soon where a caller waits
    The owner dies while a request is open, and its entry would ask the cell again
    only in five seconds. The caller would wait as long although a new owner serves.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When a request of 600 ms is under way there and the owner dies
    Then the entry knows the next owner 3 seconds later

  Scenario: A list of workers that was lost comes with the next report
    A frame with the cell's new workers is lost. Unless they are sent again, the entry
    shows operators one worker too few until the next change.
    Given a cell whose entry has its workers
    When a worker joins and the report that says so is lost
    Then the entry lists it 2 seconds later

  Scenario: Operators are told at once that a change is in force
    A change has reached all nodes of a cell that entries ask every five seconds. To an
    operator who waits for it, it would seem slow or lost.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When its nodes put a change of the configuration in force
    Then that entry counts all of them 1 second later

  Scenario: Answers make report requests unnecessary
    Load pattern: five requests a second. Asking for a stamp before each would double
    the number of messages per request.
    Given a cell whose entry has its workers
    When 25 requests come to it in 5 seconds
    Then it has asked the cell nothing meanwhile
