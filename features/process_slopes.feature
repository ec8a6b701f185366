Feature: Counts of messages, bytes and calls are known and watched

  Scenario: A fresh small run gives the checked-in counts
    A change that makes an owner send its whole roster with each ping looks
    harmless in a cell of four. At the target it would take a node's whole
    budget for control, and its user would see starts delayed by pings.
    When the small series of slopes are measured afresh
    Then each of their counts equals the one in tools/counts.json

  Scenario: A fit through too few sizes is refused
    Two points always lie on a line, so that a quadratic cost passes for a
    straight one and the operators learn of it at the target.
    When a line is asked for through 3 sizes
    Then the fit is refused

  Scenario: A quadratic cost is told from a straight one
    When lines are fitted to the sizes 4, 8, 16, 32 and to their squares
    Then only the fit of the squares is marked as curved
