Feature: What the store holds that can't be read disturbs nothing else

  Scenario: Keys of the store that can't be read don't disturb the others
    If one ended the watch, an entry would never learn of another entry any more.
    Given a store with keys of entries that can't be read, and one that can
    When an entry lists its keys
    Then it knows the one entry alone, and has logged each of the others

  Scenario: A configuration that can't be read leaves the last one in force
    Given a store with a configuration that can't be read, and an evacuation
    When an entry lists its keys
    Then it has logged the configuration, and applied the evacuation

  Scenario: A message to an address that is none is dropped
    When messages are sent to addresses that are none, and to one that is
    Then the last one has arrived
