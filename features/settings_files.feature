Feature: Settings are checked whole at start

  Scenario Outline: The example settings are right
    Given the example settings "<file>" of an <kind>
    When the settings are loaded
    Then the settings name the data centre "<data_centre>"

    Examples:
      | file                       | kind  | data_centre |
      | glenmorrow-entry.ini       | entry | Inverness   |
      | glenmorrow-agent.ini       | agent | Dingwall    |
      | labuta-unita-entry.ini     | entry | Brașov      |
      | labuta-unita-agent.ini     | agent | Mureș       |

  Scenario: All mistakes of a file come at once
    Somebody writes a new host's settings in a hurry. If each start told of one
    mistake only, the buses would have left before the entry was up.
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

  Scenario: Mistakes of an agent's file come at once
    An agent that listens beyond the loopback would let any host withdraw its
    upstream; one that pings too seldom would lose its cell with one message.
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

  Scenario: A peer may be written with the key to be found there
    Given settings of an agent with these options changed
      | section | option    | value                                                                                              |
      | peers   | addresses | tcp://10.1.0.4:7000, tcp://[::1]:7000?key=00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff00ff |
    When the settings are loaded
    Then the settings name the data centre "Dingwall"

  Scenario: A missing file and a file that is no INI are told apart
    When settings are loaded from a file that is not there
    Then the settings mistakes are
      | section | option | remedy                 |
      | file    |        | Give the path          |
    When settings are loaded from the text "swordfish-without-section"
    Then the settings mistakes are
      | section | option | remedy                 |
      | file    |        | Write '[section]'      |
    And the settings error has exit code 2 and shows no "swordfish"

  Scenario: Any text is either taken or refused with remedies
    A half-written file must never end in a traceback.
    When Hypothesis writes settings of both kinds
    Then each is loaded or refused with a remedy for each mistake
