Feature: Callers name an operators' job template

  Background:
    Given a callers' application before a fake entry
    And the job template "rebuild" of "routes" that declares 400 ms and 64 MB

  Scenario: A template says what the caller leaves out
    Depots do not know what a rebuild takes; the operators do, and declare it once.
    When a caller posts {"route": 1} to "routes" by the template "rebuild"
    Then the entry was given a task of 400 ms and 64 MB with the selector "size=large"
    When a caller that declares 90 ms for "rack=r1" posts {"route": 1} to "routes" by the template "rebuild"
    Then the entry was given a task of 90 ms and 64 MB with the selector "size=large,rack=r1"

  Scenario: A template that is changed between a submission and its repetition
    The caller's connection broke. Meanwhile the operators raised the memory. Taken
    for another submission, the repetition would be refused, and the family at the
    gate not told that its pen is booked.
    When a caller posts {"route": 1} to "routes" by the template "rebuild"
    And the operators raise the template "rebuild" to 128 MB
    And a caller posts {"route": 1} to "routes" by the template "rebuild"
    Then both submissions have the same fingerprint
    When a caller posts {"route": 1} to "routes" without a template
    Then the last submission has another fingerprint

  Scenario Outline: A template that is not in force here is refused
    Run without it, the work would land where the operators did not want it.
    When a caller posts {"route": 1} to "<service>" by the template "<name>"
    Then the caller gets the problem "<code>" with status 400 and outcome "not_run"
    And the entry was given nothing

    Examples:
      | service | name    | code             |
      | routes  | rebuilt | no_such_template |
      | booking | rebuild | no_such_template |
      | routes  | a b     | invalid_header   |
