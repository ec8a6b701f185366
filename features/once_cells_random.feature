Feature: One service on several cells in random runs
  Moves of several steps each, drawn and put in order by Hypothesis.

  Scenario: Cells come, cede, die and go while keys come again everywhere
    A new cell asks for its share and the ceding owner is killed, sleeps, is cut off
    or loses its replies at any step of it; upstreams withdraw, whole cells die, and
    entries start that know only one cell. A caller who comes back through another
    entry would notice a booking made twice.
    Given 60 scripts of cells that come and go, from seed 0
    When each is run on the reducers of several cells
    Then no promise was broken, and no key ever fell to two cells
