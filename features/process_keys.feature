Feature: Keys between real processes

  Scenario: A deployment with keys serves
    Someone who can listen on the network reads the vaccination records of pets
    unless what the processes say to each other is encrypted.
    Given a deployment of three workers with one key pair
    When the deployment with keys starts
    Then each entry of the deployment with keys serves
    And what a process of the deployment with keys says can't be read on the way

  Scenario Outline: An agent <how> gets nowhere
    A host outside the fleet reaches the network and the key-value service, and
    starts an agent there. Were it let in, callers' work would land on it and
    its answers would be believed.
    Given a deployment of three workers with one key pair
    And a stranger's agent <how> beside them
    When the deployment with keys starts
    And the stranger's agent runs until it has been counted
    Then each entry of the deployment with keys serves
    And the stranger's agent is on no roster and got no work

    Examples:
      | how                          |
      | without a key                |
      | with a key that is not known |
