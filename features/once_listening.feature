Feature: An entry that knows many cells asks each only now and then

  Scenario: A quiet cell whose owner is gone is given nothing
    The owner's host fails while the key-value service is away, so that nobody
    takes the cell over. The entry asks it every five seconds and does not know
    yet. Were the seat check sent all the same, its caller would be told unknown
    of a check that nobody ever had.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    And the key-value service is away and the owner dies
    When a new request with 2 seconds left comes to that entry
    Then its caller is told no_owner, not run

  Scenario: A quiet cell is there at once when it is needed
    A request comes for a cell whose last stamp is old. Waiting for the next
    report would cost its caller seconds, and an old stamp would be refused.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When a new request with 2 seconds left comes to that entry
    Then it was answered within a round trip more than its task takes

  Scenario: A takeover is noticed as soon where a caller waits
    The owner dies with a request whose entry would ask the cell again in five
    seconds. Its caller would wait as long, though another owner serves.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When a request of 600 ms is under way there and the owner dies
    Then the entry knows the next owner 3 seconds later

  Scenario: A list of workers that was lost comes with the next report
    A frame with the cell's new workers is lost. An entry that was never sent them
    again would show operators a worker too few until the next change.
    Given a cell whose entry has its workers
    When a worker joins and the report that says so is lost
    Then the entry lists it 2 seconds later

  Scenario: Operators hear at once that a change is in force
    A change has reached all nodes of a cell that its entries ask every five
    seconds. An operator who waits for it would believe it slow, or lost.
    Given a cell that an entry with 130 cells has not needed for 4 seconds
    When its nodes put a change of the configuration in force
    Then that entry counts all of them 1 second later

  Scenario: Answers spare questions
    Requests come five times a second. An entry that asked for a stamp before
    each would double the messages that a request costs.
    Given a cell whose entry has its workers
    When 25 requests come to it in 5 seconds
    Then it has asked the cell nothing meanwhile
