Feature: A process does not come to do more work unnoticed

  Scenario: No count on a fixed day has grown by more than a tenth
    More work a process shows in no other scenario until whole fleets are short of
    processor time. A change that needs more rewrites the figures with "make work".
    When the fixed day is played
    Then no count exceeds the committed figures by more than a tenth

  Scenario: Agents report more often
    When the fixed day is played with reports at least every 0.02 seconds
    Then the count "busy, agent, message Report" exceeds the committed figures

  Scenario: Agents work with more entries
    When the fixed day is played with 4 home entries
    Then the count "at rest, agent, frames sent" exceeds the committed figures
