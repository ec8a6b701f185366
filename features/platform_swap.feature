Feature: The platform's service: the outcome of every write is known or said to be unknown

  Scenario: The write is applied and its reply is lost
    The service applies a takeover and the connection breaks before the reply.
    A client that took this for a refusal would leave the cell to an owner that
    doesn't know of its office, and callers would wait.
    Given a platform service in virtual time
    And the service loses the replies of the next 2 writes
    When a platform client swaps the key
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: The write is lost on its way
    The connection breaks before the request arrives. An operator's change would
    be gone, though nobody refused it.
    Given a platform service in virtual time
    And the service loses the next 2 writes
    When a platform client swaps the key
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: Another writer replaces the value before it is read back
    The write is applied, its reply is lost, and another operator changes the
    same object at once. The value read back is the other's. Told that he lost,
    the first operator would repeat a change that has been in force.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    When a platform client swaps the key
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: Another writer wins while the first copy is still under way
    A switch holds a write back, another operator's write goes first, and the
    one held back arrives long after its sender was told that it lost.
    Given a platform service in virtual time
    And the service holds back the next 1 writes
    And another writer replaces the value as soon as a call fails
    When a platform client swaps the key
    Then the swap is told as lost
    When the writes held back arrive
    Then the write is not in the history

  Scenario: A write lands after the client has given up
    The service goes away with a write in its queue, and applies it when it is
    back. A client that had said "refused" would have told an operator the
    opposite of what is in force.
    Given a platform service in virtual time
    And the service holds back the next 1 writes
    And the service goes down as soon as a call fails
    When a platform client swaps the key
    Then the swap is told as unknown
    When the service is back
    And the writes held back arrive
    And the client asks again for the same swap
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: Nothing was sent while the service was down
    The service refuses connections for longer than a swap may take. The client
    can't tell when it will be back, and the change is made once it is.
    Given a platform service in virtual time
    And the service is down
    When a platform client swaps the key
    Then the swap is told as unknown
    When the service is back
    And the client asks again for the same swap
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: Every answer takes longer than the usual time-out
    The service is overloaded and answers after 3 s, and all that was sent to it
    is applied in the end. With a fixed time-out nothing would be heard for as
    long as it lasts, and operators would see each change as unknown.
    Given a platform service in virtual time
    And the service takes 3000 ms for each call
    When a platform client swaps the key
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario: The history that would tell has been compacted
    The reply is lost, the value is replaced, and the service drops its history
    in the same moment. Nobody can know now, and an operator is told so.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    And the service compacts its history as soon as a call fails
    When a platform client swaps the key
    Then the swap is told as unknown

  Scenario: A write id that begins another one
    Two writes of one node are called node-1 and node-12. Taken for the other,
    a lost write would be told as applied.
    Then a value of write "node-12" does not name write "node-1"
    And a value without its write id is refused before it is sent

  Scenario: The service comes back from a backup
    After a disk is lost the service is restored from yesterday's backup, and its
    revisions go back. Settings that operators replaced since would return.
    Given a platform service in virtual time
    When a platform client swaps the key
    And the service is restored from an earlier state
    Then a read by the same client is not known
    And the client's problem has the code "platform_revision_went_back"

  Scenario: Racing swaps under every fault
    Several clients swap the same keys while the service loses, holds back,
    delays and repeats. Whoever is told "applied" is in the history once, whoever
    is told "lost" never is, and every doubt can be settled in the end.
    Then no race of swaps contradicts what its clients were told
    And nor does it where clients remember one doubt only

  Scenario: A process is replaced with a swap in doubt
    A write is applied, its reply is lost, another operator changes the object, the
    host is replaced. The next process repeats the swap from its records;
    told that it lost, it would make the change a second time.
    Given a platform service in virtual time
    And the service loses the replies of the next 1 writes
    And another writer replaces the value as soon as a call fails
    And the service goes down as soon as a call fails
    When a platform client swaps the key
    Then the swap is told as unknown
    When the service is back
    And the client is replaced and the next one asks for the same swap
    Then the swap is told as applied
    And the write is in the history exactly once

  Scenario Outline: The race finds a client that guesses
    This client <guess>. Two owners of one cell, or an operator's change that
    comes and goes, would be what a user notices.
    Then the race finds a client that <guess>

    Examples:
      | guess                             |
      | takes a time-out for a refusal    |
      | reads back once and believes it   |
      | doesn't look at the history       |
      | forgets what it left unsettled    |
