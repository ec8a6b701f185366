Feature: An entry that resumes from a pause runs nothing for callers that have gone

  Scenario: A caller's second attempt runs while its first entry resumes
    The entry's host is paused, and its caller's connection breaks. The entry's agents
    stop the tasks. When the entry resumes it learns that first, and runs the tasks
    again before it learns that the caller has gone and has sent the job elsewhere.
    Given a fleet of 2 entries and 4 workers
    When a job of 4 tasks of 3 seconds comes to e0
    And e0 is paused for 1.35 seconds and its caller's leaving is known 0.02 seconds later
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: A caller that came and went during the pause
    Its request waits in the entry's socket until the entry resumes.
    Given a fleet of 2 entries and 4 workers
    When e0 is paused for 1.5 seconds
    And a job of 4 tasks of 3 seconds comes to e0
    And its caller's leaving is known 0.02 seconds after the pause
    And the same job comes to e1 1.3 seconds later
    Then no task has run twice at once
    And the job is completed at e1

  Scenario: Pauses of any length, and callers whose leaving is known late
    Then no task runs twice at once in pauses of 0.4 to 3 seconds

  Scenario: The leaving of callers reaches an entry long after it has resumed
    What tells it of a broken connection is sent again in ever longer intervals, so that
    no wait after the pause is long enough.
    Then no task runs twice at once in pauses of 0.6 to 3 seconds, known up to 1 later

  Scenario: A job whose time has passed is not placed, whatever comes first
    After a pause a message of an agent may be handled before the tick that gives up
    overdue jobs. Their callers may have sent them elsewhere.
    Given a fleet of 1 entries and 2 workers
    When a caller that waits for 1 second submits a job to e0
    And the end of its task is the first event after its time
    Then the job is not placed again

  Scenario: An entry that waits after a pause takes no new callers
    If it pauses again and again it places nothing, and its callers are better off at
    another entry.
    Given a fleet of 1 entries and 1 workers
    When e0 freezes for 0.6 seconds after 0.1 seconds
    And the fleet runs on for 0.7 seconds
    Then e0 is not ready, and ready 0.3 seconds later
