Feature: Rotation of keys between real processes under load

  Scenario: Keys are rotated without a stop
    An operator replaces the key pair in the three steps of the keys page, one
    process after another, while callers work. A caller would notice a process
    that is cut off from the others.
    Given a deployment of three workers with one key pair
    When the deployment with keys starts
    And its load runs while the keys are rotated in three steps
    Then the load during the rotation was answered whole, nothing cut off or refused
    And the old key of the deployment is refused by each process
