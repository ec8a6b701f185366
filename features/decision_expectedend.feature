Feature: On which workers a task is expected to end in time

  Scenario Outline: The slowest worker that ends a task in time
    A task of 0.1 s is due after 0.22 s and one of 1.5 s after 2.46 s. Taken for the same,
    either short tasks would leave slow workers idle or long ones would be late there.
    When a task of <seconds> s has <left> s left and the median pace is 1.0
    Then a worker of pace 1.2 is <usual>, and one of pace 1.82 is <slow>

    Examples:
      | seconds | left | usual        | slow         |
      | 0.1     | 0.22 | eligible     | eligible     |
      | 1.5     | 2.46 | eligible     | not eligible |
      | 1.5     | 1.6  | not eligible | not eligible |
      | 0.1     | 0.0  | not eligible | not eligible |

  Scenario: A task is no more eligible for being less in time
    Otherwise a task that waits would be sent to slower workers the longer it waits.
    When a task of 0.4 s has 2.0 s left, and less each time, down to -1.0 s
    Then the highest pace never rises

  Scenario: Tasks that have time take slow workers first, at equal utilization
    Otherwise short tasks fill the fast workers, and long ones find slow ones only.
    When two workers of pace 0.8 and 1.8 are equally free and the median pace is 0.8
    Then a patient task costs less on the slower one

  Scenario: A worker that is far too slow costs no less than one at the bound
    An outlier of the pace would otherwise outweigh any utilization.
    When two workers of pace 4 and 400 are equally free and the median pace is 1
    Then a patient task costs the same on both for their pace

  Scenario: The shortest of the recent kinds
    A probe by a long job would be late for seconds; a kind that has stopped coming would
    leave a recovered worker idle.
    When jobs of 0.1 s and of 2 s have come
    Then the kind of 0.1 s is the shortest
    When for 3 s only jobs of 2 s come
    Then the kind of 2 s is the shortest

  Scenario: A long job is not a slow worker
    All tasks of such a job take seven times as long as usual. Two such jobs on a worker
    made it look slow, and its tasks were stopped and run again elsewhere.
    When four tasks of each of two jobs run at 7 times and tasks of three others at 1
    Then the predicted pace is 1

  Scenario: A slow worker is noticed from its running tasks
    When the running tasks of four jobs all run at 5 times
    Then the predicted pace is 5

  Scenario: One long run hardly moves the usual pace
    When a worker of pace 0.83 has run 100 tasks, and one that takes 7 times as long
    Then its usual pace is within 3 of 100 of 0.83

  Scenario: The usual pace follows a lasting change
    When a worker of pace 0.83 has run 100 tasks, and then 100 at pace 1.82
    Then its usual pace is within 10 of 100 of 1.82

  Scenario Outline: Asking for agents before jobs wait
    Traffic between data centres is paid for: nothing is asked for while there is capacity
    near, or where others are as full.
    When <free> of 100 cores near are free and another data centre reports <elsewhere>
    Then agents are <asked>

    Examples:
      | free | elsewhere | asked     |
      | 30   | 90        | not asked |
      | 4    | 90        | asked     |
      | 4    | 10        | not asked |
      | 0    | 1         | not asked |
