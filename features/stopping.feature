Feature: An entry host that stops says so and cuts no request
  A planned stop answers what is in hand. Each answer tells the caller, or the
  balancer, to use another connection.

  Scenario Outline: A caller is connected while its entry host stops
    Given a call that takes <seconds> seconds
    When the host is asked to stop <when> the call is sent
    Then the caller gets the whole answer
    And the answer <closes> the connection

    Examples:
      | seconds | when            | closes |
      | 1       | 0.5 s before    | closes |
      | 3       | 0.5 s after     | closes |
      | 1       | 2 s after       | keeps  |
