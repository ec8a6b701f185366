Feature: Second attempts stay within their budgets and only repeat idempotent requests

  Scenario: Only requests declared idempotent are hedged, and few of them
    A worker pauses and a request there hangs. It is sent to a second worker only if
    the caller declared it idempotent; otherwise a booking could be made twice.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When an idempotent request, another request and a job hang for 3 seconds
    Then only the idempotent request is hedged, on another worker
    And it is not hedged again

  Scenario: A few hedges shorten the longest waits
    One request in a hundred hangs for three seconds on its worker. Sent to a second
    worker once it takes unusually long, it is answered before the first one
    returns; hedging every request would double the load.
    When the straggler workload runs with and without hedging
    Then hedging at least halves the workload's p999 slowdown
    And at most 2.5% of the workload's requests were hedged

  Scenario: Retries stop when too many requests fail
    A dependency of all upstreams fails. If each failed request were retried without
    limit, the load would double during the outage.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 100 idempotent requests fail and request a retry
    Then at most 18 of those retries are allowed
    And a request that is not idempotent is never allowed a retry

  Scenario: One job whose tasks all fail ejects no worker
    A caller sends a job that no worker can parse. If that ejected the workers, one
    bad job would take the whole service down.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When one job of 24 tasks fails everywhere
    Then no worker of the hedging scheduler is ejected

  Scenario: When all workers fail they are not ejected
    A database behind all upstreams is down. Ejecting workers would not help, and
    would leave too few of them when it returns.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 200 requests in turn fail on all workers
    Then at most 1 worker of the hedging scheduler is ejected

  Scenario: Callers that cancel or leave too little time eject no worker
    Running jobs are cancelled, and a client sends deadlines that no worker can
    meet. Their tasks are stopped and count as failed. If that ejected workers, a
    wave of cancellations would take the service down.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 30 running jobs are cancelled and end as failed
    And 30 requests in turn fail at a deadline after 60 ms
    Then no worker of the hedging scheduler is ejected

  Scenario: A worker that fails more than others is ejected, though others fail too
    A third of all requests are malformed and fail everywhere; one worker fails
    everything. A limit of five consecutive failures would eject healthy workers as
    well, since they reach it by chance every few hundred tasks.
    Given a hedging scheduler with 6 workers that has finished 200 tasks of 100 ms
    When every third of 3000 requests fails, and all of worker "w2"
    Then only worker "w2" of the hedging scheduler was ever ejected

  Scenario: The guard acts on the task that exceeds its declared memory
    A task takes ten times its declared memory. Without the guard the operating
    system kills another task of the worker, and its caller gets an unknown outcome.
    When usage of a worker with 1000 MB and 4 slots is reported as
      | task  | declared | used | repeatable | checkpoints |
      | good  | 300      | 300  | yes        | no          |
      | grown | 60       | 600  | no         | no          |
      | small | 60       | 90   | yes        | no          |
    Then the guard's actions are "grown: stop, small: throttle"
    When usage of a worker with 1000 MB and 4 slots is reported as
      | task  | declared | used | repeatable | checkpoints |
      | good  | 300      | 300  | yes        | no          |
      | grown | 60       | 620  | no         | yes         |
    Then the guard's actions are "grown: checkpoint"
    When usage of a worker with 1000 MB and 4 slots is reported as
      | task  | declared | used | repeatable | checkpoints |
      | grown | 60       | 600  | no         | no          |
    Then the guard's actions are ""
