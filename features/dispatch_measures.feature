Feature: Tools measure the benefit of each decision mechanism

  Scenario: Each mechanism of the ablation is still in the sources
    If its quoted source text were outdated, the ablation would compare two equal
    versions, and report that the mechanism has no benefit.
    Then each mechanism can be removed from the source that it names

  Scenario: An unknown mechanism is reported with a list of the known ones
    When the ablation is asked for a copy without "magic"
    Then it ends with status 2 and names "trial of a worker that fails"

  Scenario: The reasons for late and refused jobs are read from the log
    Given a log of a late answer after a lost run, one that ran longer than expected and a refusal
    When the losses of the log are listed
    Then "| 1 | late | checks | a run of it was lost or failed |" is among the lines
    And "| 1 | on time | checks | by its own run time, longer than expected |" is among the lines
    And "| 1 | refused | checks | no worker was known |" is among the lines
    And "| 4 | 1 | 1 | 1 |" is among the lines
