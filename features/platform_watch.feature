Feature: The platform's service: watches and leases

  Scenario: A watch is cut and opened again
    A connection to the service breaks while operators make changes. A node that
    missed one would go on with a setting that is no longer in force.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b" are written
    And every watch is cut
    And keys "c a" are written
    Then the watch has brought each change once and in order

  Scenario: The missed changes have been compacted
    The node was cut off for so long that the service has dropped what it missed.
    A key deleted meanwhile would stay in force on that node for ever.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b" are written
    And the service is down for a while
    And key "a" is deleted and "c" written and the history compacted
    And the service is back
    Then the watch has brought a whole list without "a" last

  Scenario: A watch that hears nothing is opened again
    The service's process hangs with its connections open. A node that trusted
    the silence would never hear of another change.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When the service freezes
    And 40 seconds pass
    Then the watch has been opened again
    When the service is back
    And keys "a" are written
    Then the watch has brought each change once and in order

  Scenario: Watches under any order of cuts, outages and compactions
    Changes, broken connections, outages and compactions come in any order. A
    node must end with what the service holds and never go back on the way.
    Then no order of faults makes a platform watch miss a change or go back

  Scenario: A lease ends while its holder is unaware
    The holder is paused past its lease and then renews it. Going on as if it had
    been held all the time, it would act beside the next holder.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    When 6 seconds pass
    Then renewing the lease says that it has lapsed

  Scenario: The service ends a lease early
    An operator revokes a lease. The holder learns it with its next renewal.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    When the service lapses the lease
    Then renewing the lease says that it has lapsed

  Scenario: The reply to a renewal is slow
    The renewal is carried out at once and its reply takes seconds. Counted from
    the reply the lease would seem to outlive what the service grants.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    And the service takes 900 ms for each call
    When the lease is renewed
    Then the holder counts the lease from before the renewal was sent

  Scenario: The reply to a grant is lost
    The lease is granted and the reply lost. A second lease for the same holder
    would leave the first one's keys behind it.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And a platform lease of 5 seconds
    Then the service holds 1 lease

  Scenario: A member that was left behind repeats old changes
    The connection is opened again at a member of the service that sends what the
    node has had long ago. A setting that was replaced would come back.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b a" are written
    And the service repeats its whole history to every watch
    And every watch is cut
    And keys "b" are written
    Then the watch has brought each change once and in order
    And changes that came again are counted
