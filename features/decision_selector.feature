Feature: Label selectors decide where work may land

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

  Scenario Outline: A selector that can't be read is refused at its character
    An operator mistypes a selector. Taken for an empty one it would let work
    land anywhere, so it is refused before anything is placed by it, and the
    operator sees the place of the mistake.
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

  Scenario: Any text is either read or refused with its place
    Then 500 drawn selector texts are each read or refused inside the text

  Scenario: Names of places are read as they are written
    The data centres of Lăbuța Unită are Brașov and Mureș. A selector that can't
    name them would leave an operator without a way to choose between them.
    Given a worker in rack "r1" of data centre "Brașov" with labels "echipă=zi"
    When the selector "data-centre in (Brașov, Mureș), echipă!=nopți" is matched against that worker
    Then the selector's verdict is yes
    When the selector "data-centre=Mureș" is matched against that worker
    Then the selector's verdict is no
