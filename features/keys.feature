Feature: A call with an idempotency key runs at most once
  Callers send a call again when the response is late or lost. The owner of the
  key runs the call at most once and gives each request the same response.

  Scenario Outline: A booking is sent again with its key
    Given a backend server that <action> the call
    When the booking is sent <sends> times with one key <order>
    Then the backend server ran the call <runs> times
    And each response has the outcome "<outcome>"

    Examples:
      | action              | sends | order        | runs | outcome |
      | answers             | 3     | sequentially | 1    | ran     |
      | answers             | 5     | concurrently | 1    | ran     |
      | refuses             | 3     | sequentially | 0    | not_run |
      | runs and interrupts | 3     | sequentially | 1    | unknown |
