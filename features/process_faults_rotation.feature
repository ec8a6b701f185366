Feature: Rotation of keys between real processes under load

  Scenario: Keys are rotated under load
    An operator replaces the key pair in three steps (allow the new key, use it,
    remove the old one), restarting one process after another. Guards against a step
    that cuts a process off from the others.
    Given a deployment of three workers with one key pair
    When the deployment with keys starts
    And its load runs while the keys are rotated in three steps
    Then the rotation's load was answered completely, nothing cut off or refused
    And the old key of the deployment is refused by each process
