Feature: All settings are checked at start

  Scenario Outline: The example settings are valid
    Given the example settings "<file>" of an <kind>
    When the settings are loaded
    Then the settings name the data centre "<data_centre>"

    Examples:
      | file                       | kind  | data_centre |
      | glenmorrow-entry.ini       | entry | Inverness   |
      | glenmorrow-agent.ini       | agent | Dingwall    |
      | labuta-unita-entry.ini     | entry | Brașov      |
      | labuta-unita-agent.ini     | agent | Mureș       |

  Scenario: All mistakes of a file are reported at once
    If each start reported only one mistake, setting up a new host would take as
    many starts as its settings have mistakes.
    Given settings of an entry with these options changed
      | section | option              | value           |
      | process | address             | tcp://depot:70  |
      | http    | port                | 70000           |
      | htpp    | port                | 80              |
      | limits  | body_byte           | 10              |
      | limits  | default_deadline_ms | 70000           |
      | callers | desk                | planning, swordfish |
      | logs    | level               | chatty          |
    When the settings are loaded
    Then the settings mistakes are
      | section | option              | remedy                          |
      | process | address             | Write tcp://IP:PORT             |
      | http    | port                | Give a whole number from 0      |
      | limits  | default_deadline_ms | Lower the default               |
      | callers | desk                | Give 64 hexadecimal digits      |
      | logs    | level               | Give one of: debug              |
      | limits  | body_byte           | Did you mean 'body_bytes'?      |
      | htpp    |                     | Did you mean 'http'?            |
    And the settings error has exit code 2 and shows no "swordfish"

  Scenario: All mistakes of an agent's file are reported at once
    If an agent accepted announcements from other addresses than the loopback, any
    host could withdraw its upstream. If it pinged too seldom, one lost message
    would cost it the ownership of its cell.
    Given settings of an agent with these options changed
      | section | option         | value    |
      | http    | host           | 10.0.0.1 |
      | cell    | ping_period_ms | 600      |
      | labels  | no_space       | a b      |
      | process | rack           |          |
      | peers   | addresses      | tcp://10.1.0.4:7000?key=1 |
    When the settings are loaded
    Then the settings mistakes are
      | section | option         | remedy              |
      | process | rack           | Use up to 63        |
      | labels  | no_space       | Use up to 63        |
      | http    | host           | Give 127.0.0.1      |
      | peers   | addresses      | Write tcp://IP:PORT?key=HEX |
      | cell    | ping_period_ms | Give at most 333    |

  Scenario: A peer address may contain the public key to expect
    Given settings of an agent with these options changed
      | section | option    | value                                                                                              |
      | peers   | addresses | tcp://10.1.0.4:7000, tcp://[::1]:7000?key=00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff |
    When the settings are loaded
    Then the settings name the data centre "Dingwall"

  Scenario: A missing file and a file that is not INI have different remedies
    When settings are loaded from a missing file
    Then the settings mistakes are
      | section | option | remedy                 |
      | file    |        | Give the path          |
    When settings are loaded from the text "swordfish-without-section"
    Then the settings mistakes are
      | section | option | remedy                 |
      | file    |        | Write '[section]'      |
    And the settings error has exit code 2 and shows no "swordfish"

  Scenario: Any text is either loaded or refused with remedies
    An incomplete file must never cause a traceback.
    When Hypothesis generates settings of both kinds
    Then each is loaded or refused with a remedy for each mistake
