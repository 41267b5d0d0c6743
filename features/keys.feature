Feature: A call that must run once runs once, however often it is sent
  Callers send again when an answer is late or lost. The owner of the key runs
  the call once and gives each send the same answer.

  Scenario Outline: A booking is sent again under its key
    Given a backend server that <ends> the call
    When the booking is sent <sends> times under one key <how>
    Then the backend server ran it <runs> times
    And each send reads the outcome "<outcome>"

    Examples:
      | ends              | sends | how            | runs | outcome |
      | answers           | 3     | in turn        | 1    | ran     |
      | answers           | 5     | at once        | 1    | ran     |
      | refuses           | 3     | in turn        | 0    | not_run |
      | runs and cuts off | 3     | in turn        | 1    | unknown |
