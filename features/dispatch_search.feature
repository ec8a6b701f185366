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

  Scenario: A day on which callers join jobs that came before a pause
    A caller had no answer in its own time, since an earlier one would have waited longer.
    Then search days 7001 and 7001 of callers-paused-late keep every guarantee

  Scenario Outline: Random days of a fleet with many entries: <mix>, <shape>
    Agents have eight home entries of ten, or only those of their own data centre, and
    entries use agents elsewhere while theirs are full. None of this is in play in the
    small fleet of the other days.
    Then day 2000 of <mix> in the shape <shape> keeps every guarantee
    And home sets have changed on it, and overflow agents were used

    Examples: entries that come, go and are silent
      | mix   | shape    |
      | homes | eighteen |

    Examples: runs that stand still, and stops that are answered and not done
      | mix        | shape |
      | ill        | ten   |
      | ill-starts | ten   |

    Examples: all processes end at once, and come back in any order
      | mix     | shape |
      | at-once | ten   |

    Examples: orders that are carried out 2 to 12 s late
      | mix         | shape    |
      | late-orders | eighteen |

    Examples: event loops that are late
      | mix        | shape    |
      | late-loops | ten      |
      | starved    | eighteen |

    Examples: all of them
      | mix         | shape |
      | grown       | ten   |
      | grown-light | ten   |
