Feature: No task runs twice at once on random days of one kind of fault

  Scenario Outline: Random days of single kinds of faults: <mix>
    Each mix of the search has few kinds of faults, in many places at once. These
    keep every guarantee; the search also plays others.
    Then search days 2000 and 2001 of <mix> keep every guarantee

    Examples: lost starts and polls
      | mix    |
      | starts |
      | polls  |

    Examples: tasks that crash their workers, and other crashes
      | mix            |
      | crashing       |
      | crashing-kills |

    Examples: capacity that shrinks and grows, of processors or of all sizes
      | mix                      |
      | capacity                 |
      | capacity-unguarded       |
      | capacity-sizes           |
      | capacity-sizes-unguarded |

    Examples: messages that come after their process has gone
      | mix          |
      | restarts     |
      | entries-late |
