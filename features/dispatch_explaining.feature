Feature: Explaining a failure from logs alone

  Scenario: A job's story from the logs of several processes
    Given a deployment of 2 entries and 2 workers
    When a job of 12 tasks of 1500 ms is under way at entry 0
    And agent-0 is killed and started again
    Then the job under way is answered with 200 and the state completed
    And cactuswalk trace tells of the lost runs and of the answer, in order
    And cactuswalk trace finds nothing of a job that never came

  Scenario: Every decision of a faulty day leaves its line
    Who is on call has the logs and nothing else. A refusal, a run that ended in any
    way but well, another run of a task, a worker that was lost or met and a change
    of the configuration can each be found under the job's id or the process's name.
    Given the logs of random days 100 to 104, and a new configuration after each
    Then each refused or unfinished job has its line, with the reason
    And each refusal for want of room tells what room was known, and how old that was
    And each run that did not end well has its line
    And each further run of a task has its line
    And each life of a worker that ran tasks has its line
    And each entry has its line about the new configuration

  Scenario: A reader of the log that has stopped costs lines, not time
    A process writes its log into a pipe, and whoever reads it hangs. A write that
    waits would hold up every caller of the process.
    Given a log that goes into a pipe that nobody reads
    When 5000 lines are written
    Then no write has waited
    When the pipe is read again and another line is written
    Then the log says how many lines were left out

  Scenario: Settings of dispatch are checked, with every mistake
    Given settings of a dispatch entry without a store and with a wrong address
    Then cactuswalk check-settings names both mistakes and exits with 2
