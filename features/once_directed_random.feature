Feature: Once, whole and truthful in random runs that aim at takeovers
  Moves of several steps each, drawn and put in order by Hypothesis.

  Scenario: Takeovers that meet other faults
    A second owner dies while it takes over, a cut leaves an owner half of its
    members, the service goes away between two owners, a planned stop meets a cut.
    A caller would notice a doubled seat check, a partial answer, or a seat that was
    taken although it was told that nothing ran.
    Given 120 scripts of moves that aim at takeovers, from seed 0
    When each targeted script is run on the reducers
    Then no promise was broken in any targeted script

  Scenario Outline: Clocks that run at different rates
    The quartz of one host is warm, that of another is broken and loses three seconds
    a minute. Spans that two hosts measure differ, and an owner might count itself in
    force when another has begun. Callers would notice as above.
    Given <count> scripts of moves that aim at takeovers, from seed 5
    When each targeted script is run on the reducers, with clocks that differ by <drift>
    Then no promise was broken in any targeted script

    Examples:
      | count | drift   |
      | 30    | 200 ppm |
      | 30    | 5%      |
