Feature: Refusals by the scheduler state the true reason

  Scenario: A job that can never run is distinguished from one that can't run now
    The only worker with an accelerator is being replaced. A caller that is told
    "never" gives up on work that could run in a second; one that is told "later"
    about a size that no worker has retries without end.
    Given a scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a job of 1 accelerator is offered after "w0" has left
    Then the scheduler refuses it as "no_worker_now" with a retry delay
    When a job of 2 accelerators is offered
    Then the scheduler refuses it as "never_fits" without a retry delay
    When a job of 100 MB is offered
    Then the scheduler refuses it as "never_fits" without a retry delay
    When a job with the selector "tier=lead" is offered
    Then the scheduler refuses it as "never_fits" without a retry delay
    When a job with the selector "tier=" is offered
    Then the scheduler refuses it as "never_fits" without a retry delay
    When a job of another service is offered
    Then the scheduler refuses it as "no_worker_now" with a retry delay

  Scenario: A refused caller that retries after the given delay is admitted
    A caller is refused because the queue is long. With an arbitrary retry delay it
    would be refused again, or wait while slots are idle.
    Given a scheduler whose queue is full for deadlines of 2 seconds
    When a job with 2 seconds left is refused and retried after the delay given
    Then it is admitted and the slots were never idle before

  Scenario: A job whose deadline can't be met is refused at once
    A task usually takes 300 ms and its caller allows 20 ms. If it were started, it
    would hold a slot for an answer that comes too late.
    Given a scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a job with 0.02 seconds left is offered
    Then the scheduler refuses it as "deadline_unreachable" without a retry delay

  Scenario: A queued job whose workers have all left is refused for that reason
    The last worker that a queued job can use leaves. Its caller is told that there
    was no worker, not that the queue was long.
    Given a scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a queued job of 1 accelerator loses "w0" and its deadline comes
    Then the scheduler sheds it as "no_worker_now"

  Scenario: A team never exceeds its quota, even if slots are idle
    A team has a quota of concurrent tasks. Jobs that it can't run by their deadline
    are refused because of the quota, so that its callers know that they need a
    larger quota instead of retries.
    Given a scheduler where team "small" may run 2 tasks at a time
    When team "small" offers 40 jobs with 2 seconds left
    Then 2 tasks of team "small" run and further jobs are refused as "quota_exceeded"
    And each finished task of team "small" lets the next one start
