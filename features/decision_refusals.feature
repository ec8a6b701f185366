Feature: Refusals by the scheduler tell the truth

  Scenario: A job that can never run is told apart from one that can't run now
    The only worker with an accelerator is being replaced. Told "never", a caller
    gives up on work that would run in a second; told "later" about a size that no
    worker has, it asks for ever.
    Given a refusing scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a job of 1 accelerator is offered after "w0" has left
    Then the scheduler refuses it as "no_worker_now" with a time to come back
    When a job of 2 accelerators is offered
    Then the scheduler refuses it as "never_fits" without a time to come back
    When a job of 100 MB is offered
    Then the scheduler refuses it as "never_fits" without a time to come back
    When a job with the selector "tier=lead" is offered
    Then the scheduler refuses it as "never_fits" without a time to come back
    When a job with the selector "tier=" is offered
    Then the scheduler refuses it as "never_fits" without a time to come back
    When a job of another service is offered
    Then the scheduler refuses it as "no_worker_now" with a time to come back

  Scenario: A refused caller that comes back when it was told to is taken
    A depot is refused because the queue is long. If the time to come back were made
    up, it would be refused again, or wait needlessly while slots stand idle.
    Given a refusing scheduler whose queue is full for deadlines of 2 seconds
    When a job with 2 seconds left is refused and comes back after the time given
    Then it is taken and the slots were never idle before

  Scenario: A job whose deadline can't be met is refused at once
    A check takes 300 ms as a rule and its caller leaves 20 ms. Started, it would
    hold a slot for an answer that nobody waits for.
    Given a refusing scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a job with 0.02 seconds left is offered
    Then the scheduler refuses it as "deadline_unreachable" without a time to come back

  Scenario: A queued job whose workers have all gone is refused truly
    The last worker that a queued job can use leaves. Its caller is told that there
    was no worker, not that the queue was long.
    Given a refusing scheduler with workers of 64 MB, of which "w0" has an accelerator
    When a queued job of 1 accelerator loses "w0" and its deadline comes
    Then the scheduler sheds it as "no_worker_now"

  Scenario: A team may not run more than its quota, and no idle slot changes that
    A team has bought four tasks at a time. Beyond what it can run by the deadline it
    is refused by name of the quota, so that it asks for more and not for patience.
    Given a refusing scheduler where team "small" may run 2 tasks at a time
    When team "small" offers 40 jobs with 2 seconds left
    Then 2 tasks of team "small" run and further jobs are refused as "quota_exceeded"
    And each finished task of team "small" lets the next one start
