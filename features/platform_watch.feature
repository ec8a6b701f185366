Feature: Key-value service: watches and leases

  Scenario: A watch is cut and reopened
    The connection breaks while operators make changes. A node that missed a change
    would go on with an outdated setting.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b" are written
    And every watch is cut
    And keys "c a" are written
    Then the watch has delivered each change once and in order

  Scenario: The missed changes have been compacted
    A node is disconnected until the service has compacted the changes that it
    missed. A key that was deleted meanwhile would stay in effect on that node.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b" are written
    And the service is down for a while
    And key "a" is deleted and "c" written and the history compacted
    And the service is back
    Then the last result of the watch is a snapshot without "a"

  Scenario: A watch that receives nothing is reopened
    The service hangs with its connections open. A node that went on waiting would
    never receive another change.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When the service freezes
    And 40 seconds pass
    Then the watch has been reopened
    When the service is back
    And keys "a" are written
    Then the watch has delivered each change once and in order

  Scenario: Watches under any sequence of cuts, outages and compactions
    Changes, broken connections, outages and compactions come in any order. A node
    must end with the service's state, and its revision must never decrease.
    Then no sequence of faults makes a platform watch miss a change or go back

  Scenario: A lease expires while its holder is suspended
    The holder is suspended past the end of its lease and then renews it. If it went
    on as before, it could act at the same time as the next holder.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    When 6 seconds pass
    Then renewing the lease says that it has lapsed

  Scenario: A lease is revoked
    An operator revokes a lease. The holder detects it at its next renewal.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    When the service revokes the lease
    Then renewing the lease says that it has lapsed

  Scenario: The reply to a renewal is slow
    The renewal is executed at once and its reply is delayed. Counted from the
    reply, the lease would end later on the holder's clock than in the service.
    Given a platform service in virtual time
    And a platform lease of 5 seconds
    And the service takes 900 ms for each call
    When the lease is renewed
    Then the holder counts the lease from before the renewal was sent

  Scenario: The reply to a grant is lost
    The lease is granted and the reply is lost. A second lease for the same holder
    would orphan the first one.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And a platform lease of 5 seconds
    Then the service holds 1 lease

  Scenario: A lagging member repeats old changes
    A watch is reopened at a member of the service that sends changes the node has
    already received. A replaced setting would return.
    Given a platform service in virtual time
    And a platform watch from the beginning
    When keys "a b a" are written
    And the service repeats its whole history to every watch
    And every watch is cut
    And keys "b" are written
    Then the watch has delivered each change once and in order
    And repeated changes are counted
