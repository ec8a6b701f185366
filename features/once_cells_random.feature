Feature: One service on several cells in random runs
  Hypothesis draws the actions, each of several steps, and their order.

  Scenario: Cells are added, cede, fail and are removed while keys are resubmitted
    A new cell asks for its share, and at any step the ceding owner is killed, paused,
    cut off or loses replies; upstreams withdraw, whole cells fail, and entries start
    that know only one cell. A key resubmitted through another entry must not run twice.
    Given 60 scripts of cells that are added and removed, from seed 0
    When each is run on the reducers of several cells
    Then no guarantee was violated, and no key was ever held by two cells
