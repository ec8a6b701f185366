Feature: What less urgent tasks leave free, and the turns of queues

  Scenario: Without more urgent callers nothing is left free
    Otherwise capacity would be idle while callers are refused.
    When the more urgent priorities need nothing
    Then the share is 0

  Scenario: The share is the mean demand and two deviations, less what is in use
    When 10 jobs a second need 4 cores for 0.1 s, 4 cores are in use and the part is 100
    Then the share is 0.08

  Scenario: It is never more than three tenths
    A burst of the urgent kind would keep all others from starting.
    When 100 jobs a second need 4 cores for 0.1 s, 0 cores are in use and the part is 100
    Then the share is 0.3

  Scenario: Entries that share workers leave less each for their deviations
    All of them leave the same share free: together they would leave far more than all
    demand needs.
    When three entries share the workers and each has the same demand
    Then each leaves less than one that has the workers for itself

  Scenario: Demand that has stopped counts for two seconds
    Capacity that is kept for callers who have gone is idle.
    When jobs come for 5 seconds and then none
    Then the demand is at most half after 1.1 seconds and nothing after 2.1 seconds

  Scenario: A short history tells no rate
    The constant share applies until then.
    When the first job came 0.5 seconds ago
    Then there is no history

  Scenario: A queue that uses most is over its part, and one alone never is
    The cost of a burst should fall on the queue that brings it.
    When two queues use 10 and 90 cores
    Then the second is over its part, and the first is not
    When a queue uses 90 cores alone
    Then no queue is over its part

  Scenario: Equal queues take no turns
    By chance one uses a little more; its jobs would wait longer for that.
    When two queues use 48 and 52 cores
    Then no queue is over its part

  Scenario: A priority leaves less if less urgent ones use more of the capacity
    They leave capacity for it too, and it could not use that. But where its own tasks
    use most of it, they have to leave it.
    When tasks use 10 cores, or 90, beside less urgent ones that use 90, or 10
    Then they leave less in the first case, and not nothing
    And in the second case nearly what they leave alone
