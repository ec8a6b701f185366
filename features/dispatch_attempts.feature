Feature: A job that a caller submits to a second entry runs once at a time

  Scenario Outline: An entry is cut off for a moment, and never learns of its caller's leaving
    What told of the broken connection was lost in a cut of <cut> s, which ends no lease.
    The tasks run on, and the caller's second attempt comes to another entry.
    Then no task runs twice at once in cuts of <cut> seconds, at any moment of a job

    Examples: cuts that end no lease, and some that do
      | cut  |
      | 0.05 |
      | 0.2  |
      | 0.3  |
      | 0.35 |
      | 0.4  |
      | 0.45 |
      | 0.5  |
      | 0.7  |

  Scenario: What an entry sends is lost for a moment
    It hears its agents all the while, and returns their stamps too late to be thought
    isolated. Its lists of jobs are lost as well.
    Then no task runs twice at once when what an entry sends is lost for 0.2 to 0.9 seconds

  Scenario Outline: Random days on which entries learn late or never who has gone: <mix>
    On these days tasks ran twice at once while entries didn't list their jobs.
    Then days <first> to <last> of <mix> with 10 entries, 12 workers and 4 data centres keep every guarantee

    Examples: mixes
      | mix          | first | last |
      | callers-late | 9506  | 9507 |
      | callers-late | 9565  | 9565 |
      | all-late     | 9515  | 9515 |
      | all-late     | 9527  | 9527 |

  Scenario: The second entry is paused, and reads the request before the lists
    It handles its callers first when it resumes, and knows of no earlier attempt then.
    Then search days 7004 and 7004 of all-late keep every guarantee
    And day 7103 of all-late in the shape ten keeps every guarantee

  Scenario: A caller comes back while its first entry still runs the job
    It gets no "not run", since tasks have run, and no second run beside the first.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1
    And the job at e0 is answered as unfinished

  Scenario: The first entry ends right after it has listed the job
    Nobody answers that its attempt has ended. The second one is placed when its leases
    have expired, not at the caller's timeout.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And the fleet runs on for 1 seconds
    And e0 is killed after 0 seconds
    And the same job comes to e1 0.1 seconds later
    Then no task has run twice at once
    And the job is completed at e1
    And its first start at e1 was at most 1.2 seconds after it came

  Scenario: A caller comes back after its first entry has ended the job
    The entry learns at once that the connection has broken. By the time of the second
    attempt it lists the job no more, and nothing is waited for.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And the fleet runs on for 1 seconds
    And the connection of e0's caller breaks
    And the same job comes to e1 1.3 seconds later
    Then the job is completed at e1
    And its first start at e1 was at most 0.01 seconds after it came

  Scenario: An answer to an earlier request doesn't release a job
    The job comes to e1 for the second time, and what e0 answered the first time arrives
    only now, while e0 runs the job again.
    Given a fleet of 2 entries and 6 workers
    When a job of 2 tasks of 3 seconds comes to e0
    And the same job comes to e1 1.3 seconds later, which waits for e0
    And an answer of e0 to a request before that reaches e1
    Then e1 still waits for the end of the attempt at e0

  Scenario: Two entries are cut off in turn, and neither hears the other's lists: day 7303
    Both hear some of their agents all the while. The lists of the first are too old when
    the second one places the job, and the first has its tasks run again.
    Then day 7303 of callers-late in the shape ten keeps every guarantee

  Scenario: Two entries are cut off in turn, and neither hears the other's lists: day 7306
    Then day 7306 of callers-late in the shape ten keeps every guarantee
