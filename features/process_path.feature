Feature: The whole path as separate processes

  Scenario: Both users' work is answered whole and started once
    Depot dispatchers, school offices, vets and pet owners send at once, through
    two entries. If a task were started twice, or an answer went to another
    caller, two pupils would get one wheelchair space; the upstreams' own records
    tell it whatever the product says of itself.
    Given a small deployment of both users' services
    When a few seconds of both users' traffic are sent and it is stopped as planned
    Then every arrival of the small deployment was answered
    And the upstreams' records prove no fault of it
    And its entries and agents ended with status 0

  Scenario: The demo's judge finds what the records prove wrong
    A judge that finds nothing is as good as none. A doubled start, a refusal
    that was no truth and a start that is missing must each be named.
    When the judge is given a doubled start, a false "not run" and a missing start
    Then the judge names each of the three
