Feature: A refusal says what is true of the call
  Callers act on the word "not run". A host that does not own the key of a
  call can't know whether a copy runs elsewhere, and so it says "unknown".

  Scenario Outline: Who refuses decides what is said
    Given the error "<kind>"
    When a host that <owns> the key refuses the call
    Then the caller reads the outcome "<outcome>"

    Examples:
      | kind             | owns         | outcome |
      | no_backend       | owns         | not_run |
      | no_backend       | does not own | unknown |
      | over_limit       | does not own | unknown |
      | outcome_lost     | owns         | unknown |
      | key_reused       | owns         | unknown |
