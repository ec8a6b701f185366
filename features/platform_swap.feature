Feature: Key-value service: the outcome of every write is known or reported as unknown

  Scenario: The write is applied and its reply is lost
    The service applies a takeover and the connection breaks before the reply. If
    the client reported a refusal, the new owner of the cell would not know that it
    is the owner, and callers would wait.
    Given a platform service in virtual time
    And the service loses the replies of the next 2 writes
    When a platform client swaps the key
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: The write request is lost
    The connection breaks before the request arrives. Without a retry an operator's
    change would be lost.
    Given a platform service in virtual time
    And the service loses the next 2 writes
    When a platform client swaps the key
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: Another writer replaces the value before it is read back
    The write is applied, its reply is lost, and another operator changes the same
    object, so that the value read back is the other one's. If the write were
    reported as lost, the first operator would repeat a change that was in effect.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    When a platform client swaps the key
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: Another writer wins while the first copy is still in flight
    The network delays a write, another operator's write is applied first, and the
    delayed one arrives long after it was reported as lost.
    Given a platform service in virtual time
    And the service holds back the next 1 writes
    And another writer replaces the value as soon as a call fails
    When a platform client swaps the key
    Then the swap is reported as lost
    When the writes held back arrive
    Then the write is not in the history

  Scenario: A write is applied after the client has given up
    The service goes down with a write in its queue, and applies it after it has
    recovered. A client that reported a refusal would mislead the operator.
    Given a platform service in virtual time
    And the service holds back the next 1 writes
    And the service goes down as soon as a call fails
    When a platform client swaps the key
    Then the swap is reported as unknown
    When the service is back
    And the writes held back arrive
    And the client repeats the swap
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: Nothing was sent while the service was down
    The service refuses connections for longer than a swap is retried. The swap is
    reported as unknown, and is applied when it is repeated after the outage.
    Given a platform service in virtual time
    And the service is down
    When a platform client swaps the key
    Then the swap is reported as unknown
    When the service is back
    And the client repeats the swap
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: Every reply takes longer than the initial timeout
    The overloaded service answers after 3 s and applies all writes in the end. With
    a fixed timeout no reply would be received during the overload, and each change
    would be reported as unknown.
    Given a platform service in virtual time
    And the service takes 3000 ms for each call
    When a platform client swaps the key
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario: The history that holds the outcome has been compacted
    The reply is lost, the value is replaced, and the service compacts its history.
    The outcome can't be determined any more and is reported as unknown.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    And the service compacts its history as soon as a call fails
    When a platform client swaps the key
    Then the swap is reported as unknown

  Scenario: A write id is a prefix of another one
    Two writes of a node have the ids node-1 and node-12. If one were mistaken for
    the other, a lost write would be reported as applied.
    Then a value of write "node-12" does not contain write id "node-1"
    And a value without its write id is refused before it is sent

  Scenario: The service is restored from a backup
    After a disk failure the service is restored from yesterday's backup, and its
    revisions decrease. Settings that operators have since replaced would return.
    Given a platform service in virtual time
    When a platform client swaps the key
    And the service is restored from an earlier state
    Then a read by the same client has no known result
    And the client's last error has the code "platform_revision_went_back"

  Scenario: Concurrent swaps under every fault
    Several clients swap the same keys while the service is down at times, and drops
    or delays requests or replies. A swap reported as applied is in the history
    once, one reported as lost never is, and each one in doubt can be resolved.
    Then no race of swaps contradicts the outcomes reported to its clients
    And no race does so with clients that remember only one swap in doubt

  Scenario: A process is replaced while a swap is in doubt
    A write is applied, its reply is lost, another operator changes the object, and
    the host is replaced. The next process repeats the swap from its records. If it
    were reported as lost, the process would make the change a second time.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    And the service goes down as soon as a call fails
    When a platform client swaps the key
    Then the swap is reported as unknown
    When the service is back
    And the client is replaced and the next one repeats the swap
    Then the swap is reported as applied
    And the write is in the history exactly once

  Scenario Outline: The race detects a faulty client
    This client <fault>. It would lead to two owners of one cell, or to a change
    by an operator that is applied and then lost.
    Then the race detects a client that <fault>

    Examples:
      | fault                             |
      | reports a timeout as lost         |
      | trusts a single read              |
      | ignores the history               |
      | forgets its swaps in doubt        |
