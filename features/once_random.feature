Feature: Once, whole and truthful in long random runs
  The real reducers of entries, agents and owners, joined by a bag of messages
  and a virtual clock. Hypothesis chooses submissions and faults; the upstreams'
  own records and the callers' replies are the judges.

  Scenario: Faults of every kind at any moment
    Hosts die and come back, processes sleep through their standing and wake,
    links are cut one way or both, messages are lost, late and repeated, and the
    key-value service goes away or loses replies, several at once. A caller
    would notice a doubled seat check, a partial answer, or a seat that was
    taken although it was told that nothing ran.
    Given 150 scripts of submissions and faults, from seed 0
    When each is run on the reducers
    Then no promise was broken in any of them
