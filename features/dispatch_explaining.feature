Feature: Explaining a failure from logs alone

  Scenario: The history of a job from the logs of several processes
    Given a deployment of 2 entries and 2 workers
    When a job of 12 tasks of 1500 ms is in progress at entry 0
    And agent-0 is killed and restarted
    Then the job in progress is answered with 200 and the state completed
    And cactuswalk trace prints the lost runs and the answer in order
    And cactuswalk trace finds no line of an unknown job

  Scenario: Every decision in a day with faults is logged
    An operator on call has only the logs. Refusals, runs that did not succeed, reruns
    of tasks, lost and discovered workers and changes of the configuration can each be
    found by the job's identifier or the process's name.
    Given the logs of random days 100 to 104, and a new configuration after each
    Then each refused or unfinished job has a log line with the reason
    And each refusal for lack of capacity logs the known capacity and its age
    And each run that did not succeed has a log line
    And each further run of a task has a log line
    And each incarnation of a worker that ran tasks has a log line
    And each entry has a log line about the new configuration

  Scenario: A log reader that hangs costs log lines, not time
    A process writes its log into a pipe whose reader hangs. A blocking write would
    delay every caller of the process.
    Given a log that is written into a pipe without a reader
    When 5000 lines are written
    Then no write has blocked
    When the pipe is read again and another line is written
    Then the log says how many lines were dropped

  Scenario: A check of dispatch settings names every mistake
    Given settings of a dispatch entry without a store and with a wrong address
    Then cactuswalk check-settings names both mistakes and exits with 2
