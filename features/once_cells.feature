Feature: One service on several cells
  Cells come and go, and entries learn of it at different times. Callers' replies
  and the upstreams' records are the judges.

  Scenario: Two entries know different cells of one service
    A second cell has just come up, and only one entry has heard of it. A caller
    whose connection broke sends its booking again, through the other entry. With
    each entry choosing among the cells that it knows, two pens would be taken.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at both entries
    Then every submission at either entry is answered and ran once

  Scenario: A cell vanishes from an entry's view
    An entry is restarted while a cell has no owner that it could have heard of.
    Keys that ran in that cell come again there. With the choice left to what the
    entry knows, they would all run again in the other cell.
    Given two cells of one service and an entry that knows only the first
    When 40 keys are submitted at the entry that knows both and then at the other
    Then every submission at either entry is answered and ran once
