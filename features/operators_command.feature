Feature: The cactuswalk command for operators

  Background:
    Given an operators' interface over a fake service

  Scenario: Apply, get, label, describe, history and delete
    When an operator applies '[{"kind":"team","name":"rebuild","weight":3},{"kind":"worker","name":"w1"}]'
    Then the operators' command ends with 0 and prints "team/rebuild: created at revision 1"
    When an operator runs "label worker w1 tier=gold"
    Then the operators' command ends with 0 and prints "+ labels.tier: "gold""
    When an operator runs "get -l tier=gold"
    Then the operators' command ends with 0 and prints "worker  w1    3         tier=gold  drained=False"
    When an operator runs "describe worker w1"
    Then the operators' command ends with 0 and prints "last change: 3  2027-01-15 08:00:00 UTC  ana  patch"
    When an operator runs "history worker w1 --json"
    Then the operators' command ends with 0 and prints ""write_id""
    When an operator runs "delete team rebuild"
    Then the operators' command ends with 0 and prints "team/rebuild: deleted at revision 4"
    When an operator runs "get team rebuild"
    Then the operators' command ends with 3 and prints "there is no team/rebuild"

  Scenario: A dry run writes nothing, and an equal object is not written again
    When an operator applies '{"kind":"service","name":"routes","selector":"tier=gold"}' with "--dry-run"
    Then the operators' command ends with 0 and prints "service/routes: would be created"
    And the fake service holds 0 operators' writes
    When an operator applies '{"kind":"service","name":"routes"}'
    And an operator applies '{"kind":"service","name":"routes"}'
    Then the operators' command ends with 0 and prints "service/routes: unchanged"
    And the fake service holds 1 operators' writes

  Scenario: Draining a worker that has no object yet
    When an operator runs "drain w7 --wait 5"
    Then the operators' command ends with 0 and prints "revision 1: in force on 3 of 3 nodes"
    When an operator runs "undrain w7"
    Then the operators' command ends with 0 and prints "- drained: true"

  Scenario: Every mistake is shown and nothing is written
    A file has several mistakes. Writing only its valid objects would leave the
    configuration in a state that no operator intended.
    When an operator applies '[{"kind":"team","name":"a"},{"kind":"team","name":"b","weight":0},{"kind":"service","name":"c","selector":"tier=="}]'
    Then the operators' command ends with 2 and prints "[1].weight = 0: give a whole number from 1 to 1000"
    And the operators' command prints "[2].selector"
    And the fake service holds 0 operators' writes

  Scenario: The key-value service is unavailable
    Reads continue to work. A change is refused, and the operator is told reliably
    that nothing was written.
    When an operator applies '{"kind":"team","name":"a"}'
    And the fake service becomes unavailable
    And an operator runs "get team a"
    Then the operators' command ends with 0 and prints "weight=1"
    When an operator runs "delete team a"
    Then the operators' command ends with 5 and prints "Nothing was written"
    And the fake service holds 1 operators' writes

  Scenario: The outcome of a write is not known
    The request or its reply is lost between the entry and the service. Reporting
    "not written" could be wrong, so the operator is told how to find out.
    When the fake service loses the next request of an operator
    And an operator applies '{"kind":"team","name":"a"}' with "--write-id 8c0c1e05-7d0d-4a3c-9c0f-0d2f4b6c2a11"
    Then the operators' command ends with 6 and prints "may or may not have taken effect"
    When an operator applies '{"kind":"team","name":"a"}' with "--write-id 8c0c1e05-7d0d-4a3c-9c0f-0d2f4b6c2a11"
    Then the operators' command ends with 0 and prints "created at revision 1"

  Scenario: A change whose reply to the operator is lost is made once
    The entry's host is replaced just after the write, and the command sends the
    change again with the same write id. Made twice, it would revert a change that
    another operator made in between.
    When the operators' interface loses the next reply to a change
    And an operator applies '{"kind":"team","name":"a"}'
    Then the operators' command ends with 0 and prints "created at revision 1"
    And the fake service holds 1 operators' writes

  Scenario: A change that is not in force everywhere in time
    One node has lost its network. The change is accepted, but must not be reported
    as in force on that node.
    When the operators' interface knows a node that receives nothing
    And an operator applies '{"kind":"team","name":"a"}' with "--wait 0.2"
    Then the operators' command ends with 8 and prints "is in force on 0 of 1 nodes"
    And the fake service holds 1 operators' writes

  Scenario: Without a valid token nothing is shown or changed
    Anyone on the network could otherwise drain workers.
    When an operator without a valid token runs "drain w1"
    Then the operators' command ends with 7 and prints "no token that this entry knows"
    When an operator without a valid token runs "get"
    Then the operators' command ends with 7 and prints "no token that this entry knows"
    And the fake service holds 0 operators' writes

  Scenario: No entry answers
    When an operator runs "get" against a port without a listener
    Then the operators' command ends with 9 and prints "no entry answered"

  Scenario: Explain, status, version and help
    When an operator runs "explain routes --selector tier=gold --memory 5"
    Then the operators' command ends with 0 and prints "w2      no    tier is silver"
    When an operator runs "explain routes --selector tier="
    Then the operators' command ends with 2 and prints "expected a value"
    When an operator runs "status"
    Then the operators' command ends with 0 and prints "configuration: 0"
    When an operator runs "--version"
    Then the operators' command ends with 0 and prints "0.1.0"
    And each operators' command has a page and an example in its help

  Scenario: Endpoint and token from an INI file
    When an operator runs "status" with an INI file that names endpoint and token
    Then the operators' command ends with 0 and prints "entry: e1"
    When an operator runs "status" with an INI file that has an unknown field
    Then the operators' command ends with 2 and prints "[operator] colour = red is unknown"

  Scenario: Settings are checked before a daemon starts with them
    A replaced host has a mistake in its settings. Found only when the daemon starts,
    the host would be missing until somebody notices.
    When an operator checks the settings of an agent that have mistakes
    Then the operators' command ends with 2 and prints "Error [settings]"

  Scenario: A cell is retired only if the operator confirms that its hosts are off
    A cell that still runs behind a network partition would start the same keys as
    the cell that takes over its slots, and a caller's booking could be made twice.
    The command therefore requires a confirmation.
    Given cells north and south in the fake service
    When an operator runs "retire north --to south"
    Then the operators' command ends with 2 and prints "Switch all hosts of the cell off"
    When an operator runs "retire north --to south --hosts-are-off"
    Then the operators' command ends with 0 and prints "north: retired; new keys go to south"
    When an operator runs "retire north --to south --hosts-are-off"
    Then the operators' command ends with 0 and prints "north: was retired before"
    When an operator runs "retire west --to south --hosts-are-off"
    Then the operators' command ends with 3 and prints "there is no cell west"

  Scenario: The shell completes commands and options
    The handbook tells operators to load the completion; a broken one would be noticed
    only in an incident.
    When a shell asks for the completion script of the operators' command
    Then the completion has the line "_cactuswalk_completion() {"
    When a shell completes "cactuswalk dr"
    Then the completion has the line "plain,drain"
    When a shell completes "cactuswalk drain --wa"
    Then the completion has the line "plain,--wait"
