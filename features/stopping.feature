Feature: An entry host that stops completes the requests in flight
  A host that shuts down gracefully completes the requests in flight. Each
  response tells the caller, or the load balancer, to use another connection.

  Scenario Outline: A caller is connected while its entry host stops
    Given a call that takes <seconds> seconds
    When the host is asked to stop <when> the call is sent
    Then the caller gets the complete response
    And the response <effect>

    Examples:
      | seconds | when         | effect                    |
      | 1       | 0.5 s before | closes the connection     |
      | 3       | 0.5 s after  | closes the connection     |
      | 1       | 2 s after    | keeps the connection open |
