Feature: Counts of messages, bytes and calls are checked against a baseline

  Scenario: A new run of the small series gives the checked-in counts
    Guards against a change whose cost shows only in large cells. An owner that sent
    its whole roster with each ping would look harmless in a cell of four, but use a
    node's whole control budget at the target size and delay starts.
    When the small series of slopes are measured again
    Then each of their counts equals the one in tools/counts.json

  Scenario: A fit through too few sizes is refused
    Any two points lie on a line, so a fit through few sizes takes a quadratic cost for
    a linear one, and the error shows only at the target size.
    When a line is fitted to 3 sizes
    Then the fit is refused

  Scenario: A quadratic cost is distinguished from a linear one
    When lines are fitted to the sizes 4, 8, 16, 32 and to their squares
    Then only the fit of the squares is marked as curved
