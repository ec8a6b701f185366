Feature: Callers refer to job templates of the operators

  Background:
    Given a callers' application with a fake entry
    And the job template "rebuild" of "routes" that declares 400 ms and 64 MB

  Scenario: A template supplies what the caller leaves out
    Callers may not know the resources that a job needs; operators declare them once.
    When a caller posts {"route": 1} to "routes" by the template "rebuild"
    Then the entry was given a task of 400 ms and 64 MB with the selector "size=large"
    When a caller that declares 90 ms for "rack=r1" posts {"route": 1} to "routes" by the template "rebuild"
    Then the entry was given a task of 90 ms and 64 MB with the selector "size=large,rack=r1"

  Scenario: A template that is changed between a submission and its resubmission
    A caller resubmits after a broken connection; meanwhile the operators changed the
    template. If the resubmission had another fingerprint, it would be refused, and
    the caller would never get its answer.
    When a caller posts {"route": 1} to "routes" by the template "rebuild"
    And the operators raise the template "rebuild" to 128 MB
    And a caller posts {"route": 1} to "routes" by the template "rebuild"
    Then both submissions have the same fingerprint
    When a caller posts {"route": 1} to "routes" without a template
    Then the last submission has another fingerprint

  Scenario Outline: A template that is not in force on this entry is refused
    Run without it, the work could be placed where the operators don't want it.
    When a caller posts {"route": 1} to "<service>" by the template "<name>"
    Then the caller gets the problem "<code>" with status 400 and outcome "not_run"
    And the entry was given nothing

    Examples:
      | service | name    | code             |
      | routes  | rebuilt | no_such_template |
      | booking | rebuild | no_such_template |
      | routes  | a b     | invalid_header   |
