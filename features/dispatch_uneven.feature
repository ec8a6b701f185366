Feature: Workers of unlike speed, and demand in waves, with the setting place_by_end

  Sixteen workers in four data centres, one of four at 0.55 times the nominal speed and
  the others at 1.2; 3 of 100 jobs take seven times as long as usual; the data centres'
  demand varies by 55% with a period of 15 s, out of step.

  Scenario Outline: More jobs are on time than with the setting off
    With it off slow workers get tasks of any kind that ends late there, and jobs that
    take longer than usual make healthy workers look slow.
    When the uneven load is played at <rate> times the room with the setting off and on
    Then no smaller part of the jobs is on time with it, in total and of the work
    And no kind is served worse with it by more than 2 of 100 jobs
    And no task ran twice, and no worker got more than its capacity

    Examples:
      | rate |
      | 0.65 |
      | 0.8  |
      | 1.0  |
      | 1.2  |

  Scenario: In normal load no more bytes are sent between data centres
    Otherwise an entry that asks before its jobs wait would pay for capacity elsewhere
    that it does not need.
    When the uneven load is played at 0.65 times the room with the setting off and on
    Then the bytes between data centres are at most a tenth above those without it

  Scenario: Slow workers run short tasks, and few long ones
    If a slow worker were left with probes, an eighth of all capacity would be idle; if
    it got long tasks, their jobs would be late.
    When the uneven load is played at 1.0 times the room with the setting off and on
    Then slow workers start at least 20 lookup tasks for each rebuild task

  Scenario: A worker becomes as slow as the slow ones, and recovers
    A pace that followed too late would send it long tasks that end late there.
    Given the fleet of unlike workers with the setting on
    When a fast worker takes 2.2 times as long from 3 to 9 seconds of 0.65 times the room
    Then from 5 to 9 seconds it starts at most 2 rebuild tasks
    And from 12 to 16 seconds it starts half as many tasks as the fast ones of its size
    And rebuild tasks are among them

  Scenario: A worker becomes seven times slower, and its recovery is noticed
    Without probes an entry would never learn that it has recovered.
    Given the fleet of unlike workers with the setting on
    When a fast worker takes 7 times as long from 3 to 9 seconds of 0.65 times the room
    Then from 5 to 9 seconds it starts at most 2 rebuild tasks
    And from 12 to 16 seconds it starts half as many tasks as the fast ones of its size
    And rebuild tasks are among them

  Scenario: A worker that fails everything gets hardly any work
    Its capacity is always free, and its pace says nothing.
    Given the fleet of unlike workers with the setting on
    When a fast worker fails everything from 3 to 9 seconds of 0.65 times the room
    Then from 5 to 9 seconds it starts at most 40 tasks
    And no job has failed for it

  Scenario: A data centre is cut off while others send to it
    The others' entries place tasks on its agents when their own are full. Tasks that
    are lost there have to run again elsewhere, once.
    Given the fleet of unlike workers with the setting on
    When a data centre is cut off from 6 to 9 seconds of 0.8 times the room
    Then no task ran twice, and no worker got more than its capacity
    And of the jobs that came elsewhere 9 of 10 of those before the cut are on time after it

  Scenario: A task waits for the rack of its data only if it ends sooner there
    Outside the rack it takes 1.5 times as long. A task that went outside at once would
    end later; one that waited for a long run would, too.
    Given an entry with a full worker in a rack and an empty one outside it
    When the run in the rack ends in 0.1 seconds and a task of 1 second comes
    Then the task runs in the rack
    When the run in the rack ends in 3 seconds and a task of 1 second comes
    Then the task runs outside the rack

  Scenario: A task that only a slow worker may run is run there
    Its label is that of the slow worker. If it waited for a worker that ends it in
    time, its job would be refused though its worker is empty.
    Given three workers, of which the slow one alone has the label of a task
    When a task of 1 second with that label comes
    Then it is completed at the slow worker
