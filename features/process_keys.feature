Feature: CURVE keys between real processes

  Scenario: A deployment with keys serves
    Unless messages between processes are encrypted, anyone with access to the
    network can read the contents of callers' tasks.
    Given a deployment of three workers with one key pair
    When the deployment with keys starts
    Then each entry of the deployment with keys serves
    And messages between processes of the deployment with keys are encrypted

  Scenario Outline: An agent <how> is refused
    Someone starts an agent on a host outside the fleet that can reach the network,
    including the key-value service. If it were accepted, it would get callers'
    tasks, with its answers trusted.
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
