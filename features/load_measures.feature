Feature: The two measures

  Scenario: A job's ideal is its longest task and one empty round trip
    Given measures with an empty round trip of 4 ms
    When a job with tasks of 96 and 46 ms is answered after 200 ms
    And a measured job fails after 3 wasted messages and 1 wasted call
    And a measured job is refused after 2 ms
    Then the measured job slowdown p50 is 2.0
    And the measured waste is 4.0 per answered request
    And 3 measured jobs were offered, 1 answered, 1 refused, 1 failed
