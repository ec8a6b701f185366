Feature: Label selectors determine which workers may run a job

  Scenario Outline: A selector is matched against a worker's labels
    Given a worker in rack "r1" of data centre "cluj" with labels "tier=gold,gpu=2"
    When the selector "<selector>" is matched against that worker
    Then the selector's verdict is <verdict>

    Examples:
      | selector                     | verdict |
      |                              | yes     |
      | tier=gold                    | yes     |
      | tier==gold, gpu              | yes     |
      | tier!=gold                   | no      |
      | colour!=red                  | yes     |
      | tier in (silver, gold)       | yes     |
      | tier notin (silver)          | yes     |
      | colour in (red)              | no      |
      | colour notin (red)           | yes     |
      | !gpu                         | no      |
      | !colour,rack=r1              | yes     |
      | data-centre=cluj,worker=w1   | yes     |
      | service in (booking)         | yes     |
      | rack=r2                      | no      |

  Scenario Outline: A selector that can't be parsed is refused with the position of the error
    An operator mistypes a selector. Treated as an empty one, it would allow work on
    every worker; so it is refused before it is used, and the error names the
    position of the mistake.
    When the selector "<selector>" is parsed
    Then the selector is refused at character <position> with a remedy

    Examples:
      | selector        | position |
      | tier=           | 6        |
      | tier=gold,      | 11       |
      | =gold           | 1        |
      | tier in gold    | 9        |
      | tier in (gold   | 14       |
      | tier in ()      | 10       |
      | tier gold       | 6        |
      | tier=$gold      | 6        |
      | a=b c=d         | 5        |
      | !               | 2        |

  Scenario: Any text is either parsed or refused with a position
    Then 500 random selector texts are each parsed or refused with a position inside

  Scenario: Label values may contain non-ASCII letters
    Two data centres are called Brașov and Mureș. If selectors could not contain
    these letters, an operator could not choose between them.
    Given a worker in rack "r1" of data centre "Brașov" with labels "echipă=zi"
    When the selector "data-centre in (Brașov, Mureș), echipă!=nopți" is matched against that worker
    Then the selector's verdict is yes
    When the selector "data-centre=Mureș" is matched against that worker
    Then the selector's verdict is no
