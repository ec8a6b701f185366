Feature: A process serves as soon as it can after a power cut

  Everything stands still until the first entry and the first agents have loaded, on
  hosts of half a core. What they don't need is not loaded, and who speaks to them
  meanwhile is heard when they have.

  Scenario Outline: The dispatch programs load nothing of the cells' engine
    Then the process of "<module>" loads without "<needless>"

    Examples:
      | module                            | needless                       |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.decisions.scheduler |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.platform.store      |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.decisions.scheduler |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.platform.store      |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.state               |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.messages            |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.model               |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.state               |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.messages            |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.model               |
      | cactuswalk.runtime.dispatchagent  | prometheus_client              |
      | cactuswalk.runtime.dispatchagent  | aiohttp.web_app                |
      | cactuswalk.runtime.dispatchentry  | prometheus_client              |
      | cactuswalk.runtime.dispatchentry  | aiohttp.web_app                |

  Scenario Outline: A process listens before it loads what takes long
    Without it a worker's heartbeats find nobody, and come at ever longer pauses; and
    the balancer comes back a second later.
    Then "<command>" with "<settings>" listens before aiohttp is loaded

    Examples:
      | command        | settings                    |
      | dispatch_agent | examples/dispatch-agent.ini |
      | dispatch_entry | examples/dispatch-entry.ini |

  Scenario: An address that is taken is named, with what to do
    Given a socket that listens
    Then another one can't listen there, and the error names the remedy
