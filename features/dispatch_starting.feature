Feature: A process starts quickly after a power failure

  No task runs until the first entry and the first agents have loaded, on hosts with
  half a core. So they import only what they need, and accept connections before the
  slow imports.

  Scenario Outline: The dispatch programs import no modules of the cells' engine
    Then the process of "<module>" loads without "<unneeded>"

    Examples:
      | module                            | unneeded                       |
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
      | cactuswalk.runtime.dispatchagent  | eliot                          |
      | cactuswalk.runtime.dispatchentry  | eliot                          |
      | cactuswalk.runtime.dispatchagent  | statsd                         |
      | cactuswalk.runtime.dispatchentry  | statsd                         |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.settings.entry      |
      | cactuswalk.runtime.dispatchentry  | cactuswalk.settings.agent      |
      | cactuswalk.runtime.dispatchagent  | cactuswalk.dispatch.placement  |
      | cactuswalk.commands.dispatch_agent | click                         |
      | cactuswalk.commands.dispatch_entry | click                         |

  Scenario Outline: A process listens before the slow imports
    Otherwise a worker's heartbeats are refused and repeated at ever longer intervals;
    the load balancer retries only a second later.
    Then "<command>" with "<settings>" listens before aiohttp is loaded

    Examples:
      | command        | settings                    |
      | dispatch_agent | examples/dispatch-agent.ini |
      | dispatch_entry | examples/dispatch-entry.ini |

  Scenario: Each phase of a start is logged and measured once
    The operators see from it what a recovery waited for. A phase that is reached again,
    as an agent's restart is, is not part of the start.
    Given an entry whose process started 0.3 seconds before its reducer
    When it hears of its first agent after 0.1 seconds, and of another one
    Then the phase "first agent" is logged and measured once, at 0.4 seconds
    And a process whose start is not measured logs no phases

  Scenario: The start of a process is read from the system
    Then the start of this process is not later than now and not before the host's

  Scenario Outline: A start that the system tells wrongly is not used
    The clock of a host may not agree with its proc file system. Phases would be logged
    with seconds of hours or below zero.
    Then a start told as <told> at 100.0 is taken for <taken>

    Examples:
      | told    | taken |
      | 99.5    | 99.5  |
      | -9000.0 | 100.0 |
      | 101.0   | 100.0 |

  Scenario: An address in use is reported with a remedy
    Given a socket that listens
    Then another one can't listen there, and the error names the remedy

  Scenario: A job that comes before the first configuration is served once it arrives
    After a power failure callers are there before the store has answered. Refused, they
    would come back a second later at the earliest.
    Given an entry without a configuration
    When a job comes, and the configuration 0.05 seconds later
    Then the job is submitted

  Scenario: A job that comes while no configuration arrives is refused
    The platform's store is down, and no other entry has the configuration yet.
    Given an entry without a configuration
    When a job comes, and no configuration
    Then the job is refused with status 503 within 0.5 seconds
