Feature: The safeguards that mutants take away
  ``make mutants`` breaks one safeguard at a time and shows which scenario notices.

  Scenario: Every mutant still finds its safeguard
    The source is rearranged and a mutant's text stands there no longer. It would be
    tried on source that is whole, and a promise would be without its proof.
    When each mutant's text is looked for in the source
    Then each stands there exactly once and names a feature that exists
