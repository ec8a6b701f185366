Feature: What is kept is bounded, and what is forgotten is called too old

  Scenario: An owner keeps no more answers than it has room for
    Requests come by the hundred in a second and each answer is kept for a caller
    who asks again. Memory must not grow with them. A caller whose key has been
    forgotten is told so; run as a new one, a pen would be booked twice.
    Given a settled cell with room for 20 kept answers
    When 300 requests of 120 ms are answered
    Then the owner keeps no more than it has room for, but for the last ten seconds
    When the first of those requests is submitted again through the other entry
    Then it is told that it is too old to know, and it has started once
    When the last of those requests is submitted again through the other entry
    Then it gets its kept answer, and it has started once
    And a new request is answered

  Scenario: Bodies of answers go before the submissions
    Answers are large, and the room for their bodies is taken. Whoever asks again
    for an older one learns that it ran; it does not run again.
    Given a settled cell with room for 1 kept answers
    When 200 requests of 120 ms are answered
    When one from the middle is submitted again through the other entry
    Then it is told that its answer is no longer kept, and it has started once
    When the last of those requests is submitted again through the other entry
    Then it gets its kept answer, and it has started once

  Scenario: An answer is kept as it was given, to everyone who waits for it
    Answers are kept packed. Were a part lost on the way, a caller who asks again
    would get half an answer; were a second entry forgotten, a repeated message of
    its would be taken for a new try.
    Given a settled cell with room for 20 kept answers
    When a job of 3 tasks is answered and submitted again through the other entry
    Then both entries get the same whole answer, and the owner knows both

  Scenario: An agent goes on when its records are full
    An agent's room for records is full of settled ones. Declining every start
    would stop the worker until the retention window ends.
    Given a settled cell with room for 20 records on each agent
    When 200 requests of 120 ms are answered
    Then no agent keeps more records than it has room for
    And a new request is answered

  Scenario: A new owner does not take what was forgotten for new
    Agents have dropped their oldest records for want of room, then the owner
    dies. The new one finds no record of a request that has run.
    Given a settled cell with room for 20 records on each agent
    When 200 requests of 120 ms are answered
    And the owner of that cell dies and another takes over
    When the first of those that ran elsewhere is submitted again
    Then it is told that it is too old to know, and it has started once
    And a new request is answered

  Scenario: Who was refused and comes back is not too old
    A cell is full and a caller is refused; it comes back with the same key, as it
    was told to. Meanwhile older submissions have been forgotten, but not this one.
    Given a settled cell with room for 20 kept answers
    When a request is refused as not run since all slots are taken
    And what is as old as that request is forgotten, and slots are free
    When that request is submitted again with its key
    Then it is answered and has started once

  Scenario: An answer larger than the room for records
    An upstream answers with more than the agent may keep. Its caller should get
    the answer all the same; only asking for it again is in vain.
    Given a settled cell with room for 20 records on each agent
    When a request is answered with more bytes than fit into the records
    Then its caller gets all of them
