Feature: Requests through all components as separate processes

  Scenario: The traffic of both users is answered completely and started once
    Callers of both users send through two entries at once. Duplicate starts and
    responses to the wrong caller are detected by the upstreams' own records,
    independently of what cactuswalk reports.
    Given a small deployment of both users' services
    When a few seconds of both users' traffic are sent and it is stopped as planned
    Then every arrival of the small deployment was answered
    And the upstreams' records show no fault
    And its entries and agents ended with status 0

  Scenario: The demo's check finds the faults in the records
    Guards against a check that finds nothing: a duplicate start, a false refusal as
    not run and a missing start must each be reported.
    When the check is given a duplicate start, a false "not run" and a missing start
    Then the check reports each of the three
