Feature: Second attempts stay within their budgets and their rights

  Scenario: Only requests declared idempotent are hedged, and few of them
    A worker pauses and a request there hangs. A second worker is asked for it only
    if the caller said that this does no harm: a pen would otherwise be booked twice.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When an idempotent request, another request and a job hang for 3 seconds
    Then only the idempotent request is hedged, on another worker
    And it is not hedged again

  Scenario: A few hedges shorten the longest waits
    One request in a hundred hangs for three seconds on its worker, and its caller with
    it. Asked of a second worker once it takes unusually long, it is answered
    before the first comes back; asking for every request twice would double the work.
    When the stragglers are run with and without hedging
    Then hedging brings the p999 slowdown of the stragglers to half or less
    And at most 2.5% of the stragglers' requests were hedged

  Scenario: Retries end when too much fails
    Everything behind the upstreams fails. If each failed request were tried again
    without limit, the load would double just when it must not.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 100 idempotent requests fail and ask to be tried again
    Then at most 18 of those retries are allowed
    And a request that is not idempotent is never allowed a retry

  Scenario: One job whose tasks all fail ejects no worker
    A caller sends a job that no worker can parse. Were its workers ejected for it,
    one bad job would take the whole service down.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When one job of 24 tasks fails everywhere
    Then no worker of the hedging scheduler is ejected

  Scenario: When every worker fails none is ejected
    A database behind all upstreams is down. Ejecting workers would not help, and
    would leave too few of them when it is back.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 200 requests in turn fail on all workers
    Then at most 1 worker of the hedging scheduler is ejected

  Scenario: Callers that cancel or leave too little time eject no worker
    A planning run is called off while its tasks run, and a client asks with
    deadlines that no worker can meet. Their tasks are stopped and count as failed.
    Were workers ejected for it, a cancellation wave would take the service down.
    Given a hedging scheduler with 3 workers that has finished 200 tasks of 100 ms
    When 30 running jobs are cancelled and end as failed
    And 30 requests in turn fail at a deadline after 60 ms
    Then no worker of the hedging scheduler is ejected

  Scenario: A worker that fails more than others is ejected, though others fail too
    A third of all requests are malformed and fail everywhere; one worker fails
    everything. Ejected by five failures in a row, sound workers would go as well,
    since that happens by chance every few hundred tasks.
    Given a hedging scheduler with 6 workers that has finished 200 tasks of 100 ms
    When every third of 3000 requests fails, and all of worker "w2"
    Then only worker "w2" of the hedging scheduler was ever ejected

  Scenario: A guarded worker deals with the task that outgrew its declaration
    A task takes ten times its declared memory. Left alone, the operating system
    ends one of its neighbours, and a member is told that a booking is unknown.
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
